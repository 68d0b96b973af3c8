//! One step of a trainer: its slots, what fills them and what is handed over.
//!
//! A sample is a named slot: step, group and index. Attempts compete for the
//! slot; the trainer's own list of the groups that it has is the acknowledgement,
//! so nothing about a handover needs to be written to the platform.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::{Ranges, Span, floor, order, priority};
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

    /// Whether its label covers every token from the first on, without a hole.
    pub fn touching(&self) -> bool {
        let mut next = 0;
        self.label.iter().all(|span| {
            let touches = span.from == next && span.to > span.from;
            next = span.to;
            touches
        })
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
    /// Slots that have not begun, in the order in which they will.
    waiting: VecDeque<Slot>,
    running: BTreeSet<Slot>,
    taken: BTreeSet<u32>,
}

impl Step {
    /// A step with nothing filled. `bound` is the staleness bound in versions.
    pub fn new(spec: Spec, bound: u64) -> Self {
        let version = spec.version;
        let waiting = slots(&spec.groups).into();
        Self {
            spec,
            waiting,
            bound,
            version,
            filled: BTreeMap::new(),
            running: BTreeSet::new(),
            taken: BTreeSet::new(),
        }
    }

    /// The slots to start now, so that at most `most` run; they count as running
    /// from here on.
    pub fn start(&mut self, most: usize) -> Vec<Slot> {
        let mut begun = Vec::new();
        while self.running.len() < most
            && let Some(slot) = self.waiting.pop_front()
        {
            if self.wanted(slot) && self.running.insert(slot) {
                begun.push(slot);
            }
        }
        begun
    }

    /// The same before the trainer asks for the step: no more samples than `early` in all.
    pub fn start_early(&mut self, most: usize, early: usize) -> Vec<Slot> {
        self.start(most.min(early.saturating_sub(self.filled.len())))
    }

    /// Samples of all groups together.
    pub fn samples(&self) -> u32 {
        self.spec.groups.iter().map(|prompt| prompt.samples).sum()
    }

    /// The priority of a slot that begins now.
    pub fn priority(&self, slot: Slot) -> i32 {
        let size = self.prompt(slot).map_or(1, |p| p.samples);
        let open = (0..size).filter(|&index| self.wanted(Slot { index, ..slot })).count();
        priority(open, size as usize, self.waiting.len())
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

    /// Takes in samples that another node finished before it let the step go.
    /// Returns how many were of use.
    pub fn adopt(&mut self, parts: Vec<Group>) -> usize {
        let mut adopted = 0;
        for Group { group, samples } in parts {
            for sample in samples {
                let slot = Slot { group, index: sample.index };
                let known = self.prompt(slot).is_some_and(|p| slot.index < p.samples);
                if known && sample.touching() && self.fill(slot, sample) == Fill::Kept {
                    adopted += 1;
                }
            }
        }
        adopted
    }

    /// The samples of groups that are not whole, for the node that goes on: those of
    /// whole groups go to the trainer.
    pub fn parts(&self) -> Vec<Group> {
        let groups = 0..self.spec.groups.len() as u32;
        let part = |group| {
            let slots = Slot { group, index: 0 }..=Slot { group, index: u32::MAX };
            let samples: Vec<Sample> =
                self.filled.range(slots).map(|(_, sample)| sample.clone()).collect();
            Group { group, samples }
        };
        groups
            .filter(|&group| !self.taken.contains(&group) && self.whole(group).is_none())
            .map(part)
            .filter(|part| !part.samples.is_empty())
            .collect()
    }

    /// The oldest version that a sample may have now.
    pub fn floor(&self) -> u64 {
        floor(self.version, self.bound)
    }

    /// The staleness bound, in versions.
    pub fn bound(&self) -> u64 {
        self.bound
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
    ///
    /// Groups that the step does not have count for nothing.
    pub fn acknowledge(&mut self, version: u64, have: &Ranges) {
        self.version = self.version.max(version);
        self.taken.extend(have.below(self.spec.groups.len() as u32));
        let taken = &self.taken;
        self.filled.retain(|slot, _| !taken.contains(&slot.group));
        let stale: Vec<Slot> =
            self.filled.iter().filter(|(_, s)| !self.fresh(s)).map(|(slot, _)| *slot).collect();
        for slot in stale {
            self.filled.remove(&slot);
            self.waiting.push_front(slot);
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
        sample.oldest().is_none_or(|oldest| oldest >= self.floor())
    }
}

/// Every slot of a step, in the order in which they begin.
fn slots(prompts: &[Prompt]) -> Vec<Slot> {
    let groups = prompts.iter().zip(0..);
    let mut slots: Vec<Slot> = groups
        .flat_map(|(prompt, group)| (0..prompt.samples).map(move |index| Slot { group, index }))
        .collect();
    order(&mut slots, prompts);
    slots
}
