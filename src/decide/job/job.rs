//! The state of a batch job at its home.
//!
//! A result has a position only once it is written where it lasts: what a trainer has read
//! stands there for good, whichever node is home.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use super::{ItemSpec, Score};
use crate::Name;

/// Bytes that a result takes up beside its parts.
const FRAME: usize = 64;

/// One in so many of the wanted groups may still be missing as results become urgent: groups
/// that came along from an earlier step are waited for beside the number that is wanted.
const NEAR: usize = 10;

/// Up to so many turns of the places a step takes little longer than its longest samples, which
/// are five times as long as usual.
const TURNS: usize = 3;

/// Fields that were added to a submission since its first format.
const LATER_FIELDS: usize = 2;
/// How an optional field without a value is encoded.
const ABSENT: u8 = 0;

/// A batch job as it was submitted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Its id.
    pub id: Name,
    /// The host and path that it came to.
    pub host: Name,
    /// The path.
    pub path: Name,
    /// The model that makes its texts; none where the route names no model.
    pub model: Option<Name>,
    /// The oldest version that may make them.
    pub min_version: u64,
    /// The samples, in order.
    pub items: Vec<Arc<ItemSpec>>,
    /// The number of whole groups that its trainer waits for; none if it did not say.
    pub wanted_groups: Option<usize>,
    /// Whose it is; none where it came without a key.
    pub organisation: Option<Name>,
}

impl JobSpec {
    /// Decodes a submission as it lies in the store. An earlier format ends before the last
    /// one or two fields, which are none then.
    pub fn decode(mut bytes: Vec<u8>) -> Result<Self, bincode::error::DecodeError> {
        let config = bincode::config::standard();
        for _ in 0..LATER_FIELDS {
            match bincode::serde::decode_from_slice(&bytes, config) {
                Err(bincode::error::DecodeError::UnexpectedEnd { .. }) => bytes.push(ABSENT),
                decoded => return decoded.map(|(spec, _)| spec),
            }
        }
        bincode::serde::decode_from_slice(&bytes, config).map(|(spec, _)| spec)
    }

    /// What all its samples come to, by their senders' estimates; one without counts as the
    /// mean.
    pub fn estimated_work(&self) -> u64 {
        let known: Vec<u64> = self.items.iter().filter_map(|item| item.length_hint).collect();
        let sum: u64 = known.iter().sum();
        let count = known.len().max(1) as u64;
        let mean = (sum / count).max(1);
        sum + mean * (self.items.len() - known.len()) as u64
    }

    /// About how many bytes it takes up.
    pub fn approx_bytes(&self) -> usize {
        self.items.iter().map(|item| item.body.len() + 2 * FRAME).sum()
    }
}

/// How a sample ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ItemState {
    /// With a text, the versions that made it, and its score.
    Completed {
        /// The text.
        output: String,
        /// The versions, oldest first.
        versions: Vec<u64>,
        /// The score, where there is a scorer.
        score: Option<Score>,
    },
    /// It was given up.
    Dead,
}

/// A result at its position.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ItemResult {
    /// The sample's id.
    pub id: Name,
    /// How it ended.
    pub state: ItemState,
}

impl ItemResult {
    /// About how many bytes it takes up.
    pub fn approx_bytes(&self) -> usize {
        let state = match &self.state {
            ItemState::Completed { output, versions, score } => {
                let score = score.as_ref().map_or(0, |score| score.len());
                output.len() + versions.len() * size_of::<u64>() + score
            }
            ItemState::Dead => 0,
        };
        self.id.len() + state + FRAME
    }
}

/// What the end of a sample comes to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinishEffect {
    /// Others of its group are still to come: nobody waits for it alone.
    Sample,
    /// Its group is whole.
    Group,
    /// It had ended before, or nobody wants it any more.
    Unwanted,
}

/// The job at its home.
#[derive(Debug)]
pub struct Job {
    /// What was submitted.
    pub spec: Arc<JobSpec>,
    /// Results that last, by position.
    listed: Vec<Arc<ItemResult>>,
    /// Results that are not written yet, in the order in which they came.
    fresh: Vec<Arc<ItemResult>>,
    /// Index of each sample that has no result yet.
    open: HashMap<Name, usize>,
    /// How many of these each group has that is not whole.
    groups: HashMap<Name, usize>,
    /// The number of groups.
    total: usize,
    ended: bool,
}

impl Job {
    /// A job with the results that last already.
    pub fn new(spec: Arc<JobSpec>, listed: Vec<Arc<ItemResult>>) -> Self {
        let mut open: HashMap<Name, usize> =
            spec.items.iter().enumerate().map(|(i, item)| (item.id.clone(), i)).collect();
        for listing in &listed {
            open.remove(&listing.id);
        }
        let mut groups: HashMap<Name, usize> = HashMap::new();
        for index in open.values() {
            *groups.entry(spec.items[*index].group.clone()).or_default() += 1;
        }
        let total = spec.items.iter().map(|item| &item.group).collect::<HashSet<_>>().len();
        Self { spec, listed, fresh: Vec::new(), open, groups, total, ended: false }
    }

    /// The samples that are to be made, where so many can run at once: the longest first, or
    /// group by group.
    ///
    /// Load pattern: a few samples of a step are five times as long as the rest, and the step
    /// waits for them. Begun last, they would end a whole turn of the places later. Where the
    /// places are taken in many turns the step may not be whole in time; begun by length all
    /// its groups would be nearly whole then, and none of use to its trainer.
    pub fn pending_items(&self, places: usize) -> Vec<Arc<ItemSpec>> {
        if self.ended {
            return Vec::new();
        }
        let mut left: Vec<usize> = self.open.values().copied().collect();
        left.sort_unstable_by_key(|i| (std::cmp::Reverse(self.spec.items[*i].length_hint), *i));
        if left.len() > TURNS * places {
            let mut first: HashMap<&Name, usize> = HashMap::new();
            for (place, item) in self.spec.items.iter().enumerate() {
                first.entry(&item.group).or_insert(place);
            }
            left.sort_by_key(|i| first[&self.spec.items[*i].group]);
        }
        left.into_iter().map(|i| self.spec.items[i].clone()).collect()
    }

    /// A sample ended.
    pub fn finish(&mut self, id: &str, state: ItemState) -> FinishEffect {
        if self.ended {
            return FinishEffect::Unwanted;
        }
        let Some((id, index)) = self.open.remove_entry(id) else { return FinishEffect::Unwanted };
        self.fresh.push(Arc::new(ItemResult { id, state }));
        let group = &self.spec.items[index].group;
        let Some(left) = self.groups.get_mut(group) else { return FinishEffect::Group };
        *left -= 1;
        if *left > 0 {
            return FinishEffect::Sample;
        }
        self.groups.remove(group);
        FinishEffect::Group
    }

    /// Whether its trainer may be waiting for the next results to go on: the groups that it
    /// wants are whole, or all but one in ten and one. Until then results are of no use to it.
    pub fn is_urgent(&self) -> bool {
        let wanted = self.spec.wanted_groups.unwrap_or_default().min(self.total);
        let whole = self.total - self.groups.len();
        whole + wanted.div_ceil(NEAR) + 1 >= wanted || self.all_finished()
    }

    /// The position of the next result that is written.
    pub fn next_position(&self) -> usize {
        self.listed.len()
    }

    /// The results to write next, after the position of the first: those that come to `most`
    /// bytes, at least one if there is one.
    ///
    /// Load pattern: everything that was made in an outage is written in one go after it. A
    /// step of 128 samples comes to more than the megabyte that a value may have.
    pub fn next_batch(&self, most: usize) -> (usize, Vec<Arc<ItemResult>>) {
        let mut size = 0;
        let mut batch = Vec::new();
        for listing in &self.fresh {
            size += listing.approx_bytes();
            if size > most && !batch.is_empty() {
                break;
            }
            batch.push(listing.clone());
        }
        (self.listed.len(), batch)
    }

    /// Whether results wait to be written.
    pub fn has_unwritten(&self) -> bool {
        !self.fresh.is_empty()
    }

    /// The first `count` fresh results last now.
    pub fn mark_written(&mut self, count: usize) {
        self.listed.extend(self.fresh.drain(..count));
    }

    /// The results that last, by position.
    pub fn written_results(&self) -> &[Arc<ItemResult>] {
        &self.listed
    }

    /// The trainer wants no more of it.
    pub fn end(&mut self) {
        self.ended = true;
    }

    /// Whether the trainer wants no more of it.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// Whether every sample has a result that lasts.
    pub fn all_written(&self) -> bool {
        self.listed.len() == self.spec.items.len()
    }

    /// Whether every sample has a result, written or not.
    pub fn all_finished(&self) -> bool {
        self.open.is_empty()
    }
}
