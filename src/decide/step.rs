//! One step of a trainer: its slots, what fills them and what is handed over.
//!
//! A sample is a named slot: step, group and index. Attempts compete for the
//! slot; the trainer's own list of the groups that it has is the acknowledgement,
//! so nothing about a handover needs to be written to the platform.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::Span;
use crate::Name;

/// What a trainer asks for in a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spec {
    /// The version that the trainer is at.
    pub version: u64,
    /// The groups, by their number in the step.
    pub groups: Vec<Prompt>,
}

/// One group's prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Prompt {
    /// The text that every sample continues.
    pub prompt: String,
    /// How many samples the group has.
    pub samples: u32,
    /// The most tokens of one sample.
    pub max_tokens: u32,
}

/// The name of one sample in its step.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Slot {
    /// Number of the group.
    pub group: u32,
    /// Index in the group.
    pub index: u32,
}

/// A finished, labelled sample.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Index in the group.
    pub index: u32,
    /// The text.
    pub text: String,
    /// Which version produced which tokens.
    pub label: Vec<Span>,
    /// The upstream that finished it.
    pub upstream: Name,
}

impl Sample {
    /// The oldest version in the label; a sample without tokens has none.
    pub fn oldest(&self) -> Option<u64> {
        self.label.iter().map(|s| s.version).min()
    }
}

/// A whole group, handed over at once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Number of the group.
    pub group: u32,
    /// Its samples, by index.
    pub samples: Vec<Sample>,
}

/// What became of a finished sample.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fill {
    /// It fills its slot.
    Kept,
    /// The slot was filled already, or the trainer has the group.
    Late,
    /// It is older than the bound: the slot has to be started again.
    Stale,
}

/// The state of one step.
#[derive(Debug, Clone)]
pub struct Step {
    spec: Spec,
    bound: u64,
    version: u64,
    filled: BTreeMap<Slot, Sample>,
    running: BTreeSet<Slot>,
    taken: BTreeSet<u32>,
}

impl Step {
    /// A step with nothing filled. `bound` is the staleness bound in versions.
    pub fn new(spec: Spec, bound: u64) -> Self {
        let version = spec.version;
        Self {
            spec,
            bound,
            version,
            filled: BTreeMap::new(),
            running: BTreeSet::new(),
            taken: BTreeSet::new(),
        }
    }

    /// The slots to start now; they count as running from here on.
    pub fn start(&mut self) -> Vec<Slot> {
        let slots: Vec<Slot> = self
            .slots()
            .filter(|s| !self.taken.contains(&s.group))
            .filter(|s| !self.filled.contains_key(s) && !self.running.contains(s))
            .collect();
        self.running.extend(&slots);
        slots
    }

    /// The prompt of a slot.
    pub fn prompt(&self, slot: Slot) -> Option<&Prompt> {
        self.spec.groups.get(slot.group as usize)
    }

    /// The sample of a slot is there.
    pub fn fill(&mut self, slot: Slot, sample: Sample) -> Fill {
        if self.taken.contains(&slot.group) || self.filled.contains_key(&slot) {
            self.running.remove(&slot);
            return Fill::Late;
        }
        if !self.fresh(&sample) {
            return Fill::Stale;
        }
        self.running.remove(&slot);
        self.filled.insert(slot, sample);
        Fill::Kept
    }

    /// Whether a sample for this slot is still wanted.
    pub fn wanted(&self, slot: Slot) -> bool {
        !self.taken.contains(&slot.group) && !self.filled.contains_key(&slot)
    }

    /// What the trainer asked for.
    pub fn spec(&self) -> &Spec {
        &self.spec
    }

    /// The trainer says where it is: its version, and the groups that it has.
    pub fn acknowledge(&mut self, version: u64, have: &[u32]) {
        self.version = self.version.max(version);
        self.taken.extend(have);
        let taken = &self.taken;
        self.filled.retain(|slot, _| !taken.contains(&slot.group));
        let stale: Vec<Slot> =
            self.filled.iter().filter(|(_, s)| !self.fresh(s)).map(|(slot, _)| *slot).collect();
        for slot in stale {
            self.filled.remove(&slot);
        }
    }

    /// The whole groups that the trainer does not have yet, at most `most`.
    pub fn ready(&self, most: usize) -> Vec<Group> {
        let groups = 0..self.spec.groups.len() as u32;
        groups
            .filter(|g| !self.taken.contains(g))
            .filter_map(|g| self.whole(g))
            .take(most)
            .collect()
    }

    /// Whether the trainer has every group.
    pub fn complete(&self) -> bool {
        self.taken.len() == self.spec.groups.len()
    }

    fn whole(&self, group: u32) -> Option<Group> {
        let count = self.spec.groups[group as usize].samples;
        let samples: Option<Vec<Sample>> =
            (0..count).map(|index| self.filled.get(&Slot { group, index }).cloned()).collect();
        samples.map(|samples| Group { group, samples })
    }

    fn fresh(&self, sample: &Sample) -> bool {
        sample.oldest().is_none_or(|oldest| oldest + self.bound >= self.version)
    }

    fn slots(&self) -> impl Iterator<Item = Slot> + '_ {
        self.spec.groups.iter().enumerate().flat_map(|(group, prompt)| {
            let group = group as u32;
            (0..prompt.samples).map(move |index| Slot { group, index })
        })
    }
}
