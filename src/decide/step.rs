//! One step of a trainer: its sample slots, the samples that fill them, and the groups that are
//! handed over.
//!
//! A sample slot is identified by step, group and index. Attempts compete for the
//! slot; the trainer's own list of the groups that it has is the acknowledgement,
//! so nothing about a handover needs to be written to the platform.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use serde::{Deserialize, Serialize};

use super::{Ranges, Span, min_fresh_version, order_slots, sample_priority};
use crate::Name;

/// The step that a trainer requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepSpec {
    /// The weight version that the trainer is at.
    pub version: u64,
    /// The groups, by their number in the step.
    pub groups: Vec<GroupSpec>,
}

/// The group of samples that a trainer requests for one prompt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupSpec {
    /// The text that every sample continues.
    pub prompt: String,
    /// Number of samples in the group.
    pub samples: u32,
    /// Maximum number of tokens of one sample.
    pub max_tokens: u32,
}

/// The position of one sample in its step.
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
    /// The generated text.
    pub text: String,
    /// Which version produced which tokens.
    pub label: Vec<Span>,
    /// The upstream that finished it.
    pub upstream: Name,
}

impl Sample {
    /// Returns the oldest version in the label; none for a sample without tokens.
    pub fn oldest(&self) -> Option<u64> {
        self.label.iter().map(|s| s.version).min()
    }

    /// Whether the label covers every token from the first on, without a gap.
    pub fn is_contiguous(&self) -> bool {
        let mut next = 0;
        self.label.iter().all(|span| {
            let adjacent = span.from == next && span.to > span.from;
            next = span.to;
            adjacent
        })
    }
}

/// The samples of a group. Complete groups are handed over at once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Number of the group.
    pub group: u32,
    /// Its samples, by index.
    pub samples: Vec<Sample>,
}

/// The result of offering a finished sample to its slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FillOutcome {
    /// The sample fills its slot.
    Kept,
    /// The slot was already filled, or the trainer has the group.
    Late,
    /// The sample is older than the bound, and the slot has to be started again.
    Stale,
}

/// The state of one step.
#[derive(Debug, Clone)]
pub struct Step {
    spec: StepSpec,
    /// The staleness bound, in versions.
    bound: u64,
    /// The latest weight version of the trainer.
    version: u64,
    filled: BTreeMap<Slot, Sample>,
    /// Slots whose samples have not started, in the order in which they will.
    waiting: VecDeque<Slot>,
    running: BTreeSet<Slot>,
    /// Numbers of the groups that the trainer has.
    delivered: BTreeSet<u32>,
}

impl Step {
    /// A step without samples. `bound` is the staleness bound in versions.
    pub fn new(spec: StepSpec, bound: u64) -> Self {
        let version = spec.version;
        let waiting = slots(&spec.groups).into();
        Self {
            spec,
            waiting,
            bound,
            version,
            filled: BTreeMap::new(),
            running: BTreeSet::new(),
            delivered: BTreeSet::new(),
        }
    }

    /// Returns the slots to start now, so that at most `max_running` run; they count as running
    /// from now on.
    pub fn start(&mut self, max_running: usize) -> Vec<Slot> {
        let mut started = Vec::new();
        while self.running.len() < max_running
            && let Some(slot) = self.waiting.pop_front()
        {
            if self.wanted(slot) && self.running.insert(slot) {
                started.push(slot);
            }
        }
        started
    }

    /// Returns the slots to start before the trainer asks for the step: as [`Step::start`], but
    /// at most `early` samples in total.
    pub fn start_early(&mut self, max_running: usize, early: usize) -> Vec<Slot> {
        self.start(max_running.min(early.saturating_sub(self.filled.len())))
    }

    /// Returns the number of samples of all groups.
    pub fn sample_count(&self) -> u32 {
        self.spec.groups.iter().map(|group| group.samples).sum()
    }

    /// Returns the priority of a slot that begins now.
    pub fn priority(&self, slot: Slot) -> i32 {
        let size = self.group(slot).map_or(1, |g| g.samples);
        let open = (0..size).filter(|&index| self.wanted(Slot { index, ..slot })).count();
        sample_priority(open, size as usize, self.waiting.len())
    }

    /// Returns the requested group of a slot.
    pub fn group(&self, slot: Slot) -> Option<&GroupSpec> {
        self.spec.groups.get(slot.group as usize)
    }

    /// Offers a finished sample to its slot.
    pub fn fill(&mut self, slot: Slot, sample: Sample) -> FillOutcome {
        if self.delivered.contains(&slot.group) || self.filled.contains_key(&slot) {
            self.running.remove(&slot);
            return FillOutcome::Late;
        }
        if !self.fresh(&sample) {
            return FillOutcome::Stale;
        }
        self.running.remove(&slot);
        self.filled.insert(slot, sample);
        FillOutcome::Kept
    }

    /// Adds samples that another node finished before it handed the step over.
    /// Returns how many of them fill a slot.
    pub fn adopt(&mut self, parts: Vec<Group>) -> usize {
        let mut adopted = 0;
        for Group { group, samples } in parts {
            for sample in samples {
                let slot = Slot { group, index: sample.index };
                let known = self.group(slot).is_some_and(|g| slot.index < g.samples);
                if known && sample.is_contiguous() && self.fill(slot, sample) == FillOutcome::Kept {
                    adopted += 1;
                }
            }
        }
        adopted
    }

    /// Returns the samples of incomplete groups, for the node that continues the step: those of
    /// complete groups go to the trainer.
    pub fn partial_groups(&self) -> Vec<Group> {
        let groups = 0..self.spec.groups.len() as u32;
        let part = |group| {
            let slots = Slot { group, index: 0 }..=Slot { group, index: u32::MAX };
            let samples: Vec<Sample> =
                self.filled.range(slots).map(|(_, sample)| sample.clone()).collect();
            Group { group, samples }
        };
        groups
            .filter(|&group| {
                !self.delivered.contains(&group) && self.complete_group(group).is_none()
            })
            .map(part)
            .filter(|part| !part.samples.is_empty())
            .collect()
    }

    /// Returns the oldest version that a sample may contain now.
    pub fn min_version(&self) -> u64 {
        min_fresh_version(self.version, self.bound)
    }

    /// Returns the staleness bound, in versions.
    pub fn bound(&self) -> u64 {
        self.bound
    }

    /// Whether a sample for this slot is still wanted.
    pub fn wanted(&self, slot: Slot) -> bool {
        !self.delivered.contains(&slot.group) && !self.filled.contains_key(&slot)
    }

    /// Returns the step that the trainer requested.
    pub fn spec(&self) -> &StepSpec {
        &self.spec
    }

    /// Records the trainer's progress: its version, and the groups that it has. Samples that are
    /// too old by then are discarded and begin again first.
    ///
    /// Groups that the step does not have are ignored.
    pub fn acknowledge(&mut self, version: u64, have: &Ranges) {
        self.version = self.version.max(version);
        self.delivered.extend(have.below(self.spec.groups.len() as u32));
        let delivered = &self.delivered;
        self.filled.retain(|slot, _| !delivered.contains(&slot.group));
        let stale: Vec<Slot> =
            self.filled.iter().filter(|(_, s)| !self.fresh(s)).map(|(slot, _)| *slot).collect();
        for slot in stale {
            self.filled.remove(&slot);
            self.waiting.push_front(slot);
        }
    }

    /// Returns the complete groups that the trainer does not have yet, at most `max`.
    pub fn ready_groups(&self, max: usize) -> Vec<Group> {
        let groups = 0..self.spec.groups.len() as u32;
        groups
            .filter(|g| !self.delivered.contains(g))
            .filter_map(|g| self.complete_group(g))
            .take(max)
            .collect()
    }

    /// Whether the trainer has every group.
    pub fn all_delivered(&self) -> bool {
        self.delivered.len() == self.spec.groups.len()
    }

    /// Returns a group if all its samples are there.
    fn complete_group(&self, group: u32) -> Option<Group> {
        let count = self.spec.groups[group as usize].samples;
        let samples: Option<Vec<Sample>> =
            (0..count).map(|index| self.filled.get(&Slot { group, index }).cloned()).collect();
        samples.map(|samples| Group { group, samples })
    }

    fn fresh(&self, sample: &Sample) -> bool {
        sample.oldest().is_none_or(|oldest| oldest >= self.min_version())
    }
}

/// Returns every slot of a step, in the order in which they begin.
fn slots(groups: &[GroupSpec]) -> Vec<Slot> {
    let numbered = groups.iter().zip(0..);
    let mut slots: Vec<Slot> = numbered
        .flat_map(|(spec, group)| (0..spec.samples).map(move |index| Slot { group, index }))
        .collect();
    order_slots(&mut slots, groups);
    slots
}
