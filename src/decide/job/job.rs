//! The state of a batch job at the node that owns it.
//!
//! A result has a position only once it is written durably: a result that a trainer has read
//! keeps its position, whichever node owns the job later.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{ItemSpec, Score};
use crate::Name;
use crate::decide::StepDemand;
use crate::decide::load::MemoryUse;

/// Bytes that a result takes up in addition to its parts.
const RESULT_OVERHEAD_BYTES: usize = 64;

/// Results become urgent once at most one in this many of the wanted groups, plus one group, is
/// still missing: the trainer also waits for groups left over from an earlier step, in addition to
/// the number that is wanted.
const URGENT_MISSING_DIVISOR: usize = 10;

/// Samples begin by length, the longest first, if they fill the slots at most this many times in
/// succession: such a step takes little longer than its longest samples, which are five times as
/// long as usual.
const MAX_ROUNDS_BY_LENGTH: usize = 3;

/// Number of fields that were added at the end of a submission since its first format.
const ADDED_FIELD_COUNT: usize = 3;
/// The encoding of an added field without a value, or of zero.
const ENCODED_NONE: u8 = 0;

/// A batch job as it was submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Id of the job.
    pub id: Name,
    /// The host that it was submitted to.
    pub host: Name,
    /// The path that it was submitted to.
    pub path: Name,
    /// The model that generates its texts; none if the route names no model.
    pub model: Option<Name>,
    /// The oldest version of the model that may generate them.
    pub min_version: u64,
    /// The samples, in order.
    pub items: Vec<Arc<ItemSpec>>,
    /// The number of complete groups that its trainer waits for; none if not given.
    pub wanted_groups: Option<usize>,
    /// The organisation that submitted it; none if it came without a key.
    pub organisation: Option<Name>,
    /// The version of the configuration that it was accepted under; 0 if not known. A node with an
    /// older one can't judge its route.
    pub routes_version: u64,
}

impl JobSpec {
    /// Decodes a stored submission. An earlier format ends before the last one to three
    /// fields, which are none or zero then. Fails if the bytes are not a submission of any format.
    pub fn decode(mut bytes: Vec<u8>) -> Result<Self, bincode::error::DecodeError> {
        let config = bincode::config::standard();
        for _ in 0..ADDED_FIELD_COUNT {
            match bincode::serde::decode_from_slice(&bytes, config) {
                Err(bincode::error::DecodeError::UnexpectedEnd { .. }) => bytes.push(ENCODED_NONE),
                decoded => return decoded.map(|(spec, _)| spec),
            }
        }
        bincode::serde::decode_from_slice(&bytes, config).map(|(spec, _)| spec)
    }

    /// Returns the work of all samples by the senders' estimates; a sample without an estimate
    /// counts as the mean.
    pub fn estimated_work(&self) -> u64 {
        let known: Vec<u64> = self.items.iter().filter_map(|item| item.length_hint).collect();
        let sum: u64 = known.iter().sum();
        let count = known.len().max(1) as u64;
        let mean = (sum / count).max(1);
        sum + mean * (self.items.len() - known.len()) as u64
    }

    /// Returns its demand as a step of its model.
    pub fn step_demand(&self) -> StepDemand {
        StepDemand { work: self.estimated_work(), samples: self.items.len() as u64 }
    }

    /// Returns the memory that it is expected to take at its owner, in bytes.
    pub fn expected_memory(&self) -> usize {
        MemoryUse::of_job(self.approx_bytes(), self.items.len())
    }

    /// Returns its approximate size in bytes.
    pub fn approx_bytes(&self) -> usize {
        self.items.iter().map(|item| item.body.len() + 2 * RESULT_OVERHEAD_BYTES).sum()
    }
}

/// How a sample ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemState {
    /// A text was generated, and scored if there is a scorer.
    Completed {
        /// The text.
        output: String,
        /// The versions that generated it, oldest first.
        versions: Vec<u64>,
        /// The score, if there is a scorer.
        score: Option<Score>,
    },
    /// The sample was given up.
    Dead,
}

/// The result of a sample.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// Id of the sample.
    pub id: Name,
    /// How the sample ended.
    pub state: ItemState,
}

impl ItemResult {
    /// Returns its approximate size in bytes.
    pub fn approx_bytes(&self) -> usize {
        let state = match &self.state {
            ItemState::Completed { output, versions, score } => {
                let score = score.as_ref().map_or(0, |score| score.len());
                output.len() + versions.len() * size_of::<u64>() + score
            }
            ItemState::Dead => 0,
        };
        self.id.len() + state + RESULT_OVERHEAD_BYTES
    }
}

/// The effect of a sample's end on its group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinishEffect {
    /// Other samples of its group are unfinished, so nothing waits for this result alone.
    Sample,
    /// Its group is complete.
    Group,
    /// The sample had ended before, or the job has been ended.
    Unwanted,
}

/// A batch job at the node that owns it.
#[derive(Debug)]
pub struct Job {
    /// The submission.
    pub spec: Arc<JobSpec>,
    /// Durably written results, by position.
    written: Vec<Arc<ItemResult>>,
    /// Results that are not written yet, in the order of their arrival.
    unwritten: Vec<Arc<ItemResult>>,
    /// Index of each sample that has no result yet, by its id.
    open_samples: HashMap<Name, usize>,
    /// Number of samples without a result of each incomplete group.
    open_groups: HashMap<Name, usize>,
    /// Total number of groups.
    group_count: usize,
    /// Whether the trainer has ended the job.
    ended: bool,
}

impl Job {
    /// A job with the results that are already written durably.
    pub fn new(spec: Arc<JobSpec>, written: Vec<Arc<ItemResult>>) -> Self {
        let mut open_samples: HashMap<Name, usize> =
            spec.items.iter().enumerate().map(|(i, item)| (item.id.clone(), i)).collect();
        for result in &written {
            open_samples.remove(&result.id);
        }
        let mut open_groups: HashMap<Name, usize> = HashMap::new();
        for index in open_samples.values() {
            *open_groups.entry(spec.items[*index].group.clone()).or_default() += 1;
        }
        let group_count = spec.items.iter().map(|item| &item.group).collect::<HashSet<_>>().len();
        Self {
            spec,
            written,
            unwritten: Vec::new(),
            open_samples,
            open_groups,
            group_count,
            ended: false,
        }
    }

    /// Returns the samples without a result in the order in which they are to begin, given the
    /// number of slots at which they can run: the longest first, or group by group.
    ///
    /// Load pattern: a few samples of a step are five times as long as the rest, and the step
    /// waits for them. If they began last, they would end a whole round of the slots later. A
    /// step that needs many rounds may not be complete in time; if its samples began by length,
    /// all its groups would be nearly complete then, and none of use to its trainer.
    pub fn pending_items(&self, slots: usize) -> Vec<Arc<ItemSpec>> {
        if self.ended {
            return Vec::new();
        }
        let mut left: Vec<usize> = self.open_samples.values().copied().collect();
        left.sort_unstable_by_key(|i| (std::cmp::Reverse(self.spec.items[*i].length_hint), *i));
        if self.begins_by_group(slots) {
            let mut first: HashMap<&Name, usize> = HashMap::new();
            for (index, item) in self.spec.items.iter().enumerate() {
                first.entry(&item.group).or_insert(index);
            }
            left.sort_by_key(|i| first[&self.spec.items[*i].group]);
        }
        left.into_iter().map(|i| self.spec.items[i].clone()).collect()
    }

    /// Whether the samples without a result begin group by group, given the number of slots: a step
    /// that needs many rounds may not be complete in time.
    pub fn begins_by_group(&self, slots: usize) -> bool {
        self.open_samples.len() > MAX_ROUNDS_BY_LENGTH * slots
    }

    /// Records the end of a sample.
    pub fn finish(&mut self, id: &str, state: ItemState) -> FinishEffect {
        if self.ended {
            return FinishEffect::Unwanted;
        }
        let Some((id, index)) = self.open_samples.remove_entry(id) else {
            return FinishEffect::Unwanted;
        };
        self.unwritten.push(Arc::new(ItemResult { id, state }));
        let group = &self.spec.items[index].group;
        let Some(open) = self.open_groups.get_mut(group) else { return FinishEffect::Group };
        *open -= 1;
        if *open > 0 {
            return FinishEffect::Sample;
        }
        self.open_groups.remove(group);
        FinishEffect::Group
    }

    /// Whether its trainer may be waiting for the next results in order to continue: the groups
    /// that it wants are complete, or all but one in ten and one more. Until then results are of
    /// no use to it.
    pub fn is_urgent(&self) -> bool {
        let wanted = self.spec.wanted_groups.unwrap_or_default().min(self.group_count);
        let complete = self.group_count - self.open_groups.len();
        complete + wanted.div_ceil(URGENT_MISSING_DIVISOR) + 1 >= wanted || self.all_finished()
    }

    /// Returns the position of the next result to be written.
    pub fn next_position(&self) -> usize {
        self.written.len()
    }

    /// Returns the results to write next and the position of the first of them: as many as fit
    /// into `max_bytes`, but at least one if there is one.
    ///
    /// Load pattern: all results of an outage are written at once after it. Those of a step of
    /// 128 samples exceed the maximum size of a value, one megabyte.
    pub fn next_batch(&self, max_bytes: usize) -> (usize, Vec<Arc<ItemResult>>) {
        let mut size = 0;
        let mut batch = Vec::new();
        for result in &self.unwritten {
            size += result.approx_bytes();
            if size > max_bytes && !batch.is_empty() {
                break;
            }
            batch.push(result.clone());
        }
        (self.written.len(), batch)
    }

    /// Whether some results are not written yet.
    pub fn has_unwritten(&self) -> bool {
        !self.unwritten.is_empty()
    }

    /// Records that the first `count` unwritten results are written durably.
    pub fn mark_written(&mut self, count: usize) {
        self.written.extend(self.unwritten.drain(..count));
    }

    /// Returns the durably written results, by position.
    pub fn written_results(&self) -> &[Arc<ItemResult>] {
        &self.written
    }

    /// Ends the job at the request of its trainer, which wants no more results.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// Whether the trainer has ended the job.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// Whether every sample has a durably written result.
    pub fn all_written(&self) -> bool {
        self.written.len() == self.spec.items.len()
    }

    /// Whether every sample has a result, written or not.
    pub fn all_finished(&self) -> bool {
        self.open_samples.is_empty()
    }
}
