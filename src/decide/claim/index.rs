//! The claims of a partition, as its journal tells them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::{ClaimKey, Entry, Record};

/// How long a claim is kept at least.
///
/// A caller may ask again under a key for so long. Retries of programs come
/// within minutes; a day also covers a platform outage of hours and a nightly
/// job that is started again by hand the next morning.
pub const RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// How far the clocks of two nodes may be apart.
const SKEW: Duration = Duration::from_secs(600);

/// The last claim of each key.
#[derive(Debug, Clone, Default)]
pub struct Index {
    records: HashMap<ClaimKey, Record>,
    /// The newest claim of each segment, in seconds since 1970.
    newest: BTreeMap<u64, u64>,
}

impl Index {
    /// Takes in an entry of a segment.
    pub fn apply(&mut self, segment: u64, entry: &Entry) {
        match entry {
            Entry::Claim { ask, at } => {
                let newest = self.newest.entry(segment).or_default();
                *newest = (*newest).max(*at);
                let record = Record {
                    fingerprint: ask.fingerprint,
                    nonce: ask.nonce,
                    runner: ask.runner.clone(),
                    segment,
                    end: None,
                };
                self.records.insert(ask.key, record);
            }
            Entry::End { key, nonce, end } => {
                if let Some(record) = self.records.get_mut(key)
                    && record.nonce == *nonce
                {
                    record.end = Some(*end);
                }
            }
        }
    }

    /// The last claim of a key.
    pub fn get(&self, key: ClaimKey) -> Option<&Record> {
        self.records.get(&key)
    }

    /// How many keys are held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops the segments from `first` on, below `next`, whose claims are all
    /// older than [`RETENTION`]. Returns the first that is still needed.
    pub fn expire(&mut self, first: u64, next: u64, wall: u64) -> u64 {
        let keep = (RETENTION + SKEW).as_secs();
        let old = |n: &u64| self.newest.get(n).is_none_or(|at| at + keep <= wall);
        let kept = (first..next).find(|n| !old(n)).unwrap_or(next);
        if kept > first {
            self.newest = self.newest.split_off(&kept);
            self.records.retain(|_, r| r.segment >= kept);
        }
        kept
    }
}
