//! The order in which the waiting samples of one trainer get slots.
//!
//! Load pattern: the slots are insufficient, so that a step is not complete when it is due. In the
//! order of submission, or by length, nearly all of its groups would then be nearly complete, and
//! none of use to its trainer; a step that is late already would hold up the next one, which could
//! still be in time. So a step that can be in time goes first, and in it the groups that lack the
//! fewest samples.

use std::collections::HashMap;
use std::time::Duration;

use crate::{Moment, Name};

/// How long after the deadline of a step a group still counts in full.
const GRACE: Duration = Duration::from_millis(700);
/// Time that a sample needs from its slot to its result: a text of 18 events takes 750 ms, its
/// reward call 80 ms. A group that needs more is late, but then its step may have others that
/// need less.
const SAMPLE_TIME: Duration = Duration::from_millis(830);

/// The rank of a waiting sample among those of its trainer. The smallest is served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct SampleRank {
    /// Whether its step can no longer be in time.
    pub late: bool,
    /// The priority of its job; 0 is highest.
    priority: u8,
    /// When its step is due, in milliseconds. The steps of a trainer have about the same size, so
    /// that the earliest deadline has the least slack.
    due: u64,
    /// The start tag of its step.
    order: u64,
    /// The id of its step.
    pub step: u64,
    /// Number of samples of its group without a result.
    missing: usize,
    /// Index of the first sample of its group.
    group: u64,
    /// Its index in its step.
    pub index: u64,
}

impl SampleRank {
    /// Returns a rank behind all samples of the same step.
    pub fn end_of_step(&self) -> Self {
        Self { missing: usize::MAX, group: u64::MAX, index: u64::MAX, ..*self }
    }

    /// Returns the first rank of steps that can no longer be in time.
    pub fn first_late() -> Self {
        Self { late: true, priority: 0, due: 0, order: 0, step: 0, missing: 0, group: 0, index: 0 }
    }
}

/// A step with unfinished samples at this node.
#[derive(Debug, Clone)]
pub struct OpenStep {
    /// Identifies it at this node, and is never used again.
    pub id: u64,
    /// Its start tag, see [`JobOrder`](crate::decide::job::JobOrder). Another step may have the same
    /// one while the samples of a step that was stopped are dropped.
    pub order: u64,
    /// The priority of its job; 0 is highest.
    pub priority: u8,
    /// The services at which its samples may run.
    pub services: Vec<Name>,
    /// The model; none if any replica will do.
    pub model: Option<Name>,
    /// The organisation that submitted it; none if it came without a key.
    pub organisation: Option<Name>,
    /// When its results are due; none if its route has no deadline for them.
    pub due: Option<Moment>,
}

/// The order of the samples of one step.
#[derive(Debug, Clone)]
pub struct StepOrder {
    /// The step.
    pub open: OpenStep,
    /// The index of the first sample of the group of each sample.
    groups: Vec<u64>,
    /// The number of samples without a result of each group, at the index of its first sample.
    missing: Vec<usize>,
    /// Whether other trainers use the service too.
    shared: bool,
    /// Whether it can no longer be in time.
    late: bool,
}

impl StepOrder {
    /// The order of a step whose samples belong to these groups, in the order in which they would
    /// begin if no other trainer used the service.
    pub fn new<'a>(open: OpenStep, groups: impl Iterator<Item = &'a str>) -> Self {
        let mut first = HashMap::new();
        let groups: Vec<u64> =
            groups.enumerate().map(|(i, g)| *first.entry(g).or_insert(i as u64)).collect();
        let mut missing = vec![0; groups.len()];
        for group in &groups {
            missing[*group as usize] += 1;
        }
        Self { open, groups, missing, shared: false, late: false }
    }

    /// The order of a step whose samples keep the order in which they begin, the longest first. Its
    /// longest samples would end last if their groups had to wait for others.
    pub fn by_length(open: OpenStep) -> Self {
        Self { open, groups: Vec::new(), missing: Vec::new(), shared: false, late: false }
    }

    /// Returns the present rank of a sample.
    pub fn rank(&self, index: u64) -> SampleRank {
        let OpenStep { id: step, order, priority, .. } = self.open;
        if !self.shared {
            let (late, due, missing, group) = (false, 0, 0, 0);
            return SampleRank { late, priority, due, order, step, missing, group, index };
        }
        let group = if self.groups.is_empty() { 0 } else { self.group(index) };
        let missing = self.missing.get(group as usize).copied().unwrap_or(0);
        let due = self.open.due.map_or(u64::MAX, |due| due.as_millis() as u64);
        SampleRank { late: self.late, priority, due, order, step, missing, group, index }
    }

    /// Returns the group of a sample, as the index of the group's first sample.
    pub fn group(&self, index: u64) -> u64 {
        self.groups.get(index as usize).copied().unwrap_or(index)
    }

    /// Records the result of a sample. True if that changes the ranks of its group.
    pub fn finish(&mut self, index: u64) -> bool {
        let group = self.group(index) as usize;
        let Some(missing) = self.missing.get_mut(group) else { return false };
        *missing = missing.saturating_sub(1);
        self.shared
    }

    /// Whether other trainers use the service too, as last set.
    pub fn shared(&self) -> bool {
        self.shared
    }

    /// Sets whether other trainers use the service too, and the present time. True if that changes
    /// the ranks of its samples.
    pub fn refresh(&mut self, shared: bool, now: Moment) -> bool {
        let late = shared && self.open.due.is_some_and(|due| now + SAMPLE_TIME > due + GRACE);
        let changed = (shared, late) != (self.shared, self.late);
        (self.shared, self.late) = (shared, late);
        changed
    }
}
