//! The claims of a partition, built from the entries of its journal.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::{ClaimKey, ClaimRecord, JournalEntry};

/// Minimum time for which a claim is kept, and so a caller may retry under its key.
///
/// Retries of programs come within minutes; a day also covers a platform outage of hours
/// and a nightly job that is started again by hand the next morning.
pub const CLAIM_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Largest difference between the clocks of two nodes that retention allows for.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(600);

/// The last claim of each key.
#[derive(Debug, Clone, Default)]
pub struct ClaimIndex {
    records: HashMap<ClaimKey, ClaimRecord>,
    /// The time of the newest claim of each segment, in seconds since 1970.
    newest: BTreeMap<u64, u64>,
}

impl ClaimIndex {
    /// Adds an entry of a segment.
    pub fn apply(&mut self, segment: u64, entry: &JournalEntry) {
        match entry {
            JournalEntry::Claim { request, claimed_at } => {
                let newest = self.newest.entry(segment).or_default();
                *newest = (*newest).max(*claimed_at);
                let record = ClaimRecord {
                    fingerprint: request.fingerprint,
                    nonce: request.nonce,
                    runner: request.runner.clone(),
                    segment,
                    outcome: None,
                };
                self.records.insert(request.key, record);
            }
            JournalEntry::End { key, nonce, outcome } => {
                if let Some(record) = self.records.get_mut(key)
                    && record.nonce == *nonce
                {
                    record.outcome = Some(*outcome);
                }
            }
        }
    }

    /// The last claim of a key.
    pub fn get(&self, key: ClaimKey) -> Option<&ClaimRecord> {
        self.records.get(&key)
    }

    /// Number of keys with a claim.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Drops the segments from `first` on, below `next`, whose claims are all older than
    /// [`CLAIM_RETENTION`]. `unix_now` is in seconds since 1970. Returns the number of the
    /// first segment that is still needed.
    pub fn expire(&mut self, first: u64, next: u64, unix_now: u64) -> u64 {
        let retention = (CLAIM_RETENTION + MAX_CLOCK_SKEW).as_secs();
        let expired = |n: &u64| self.newest.get(n).is_none_or(|at| at + retention <= unix_now);
        let needed = (first..next).find(|n| !expired(n)).unwrap_or(next);
        if needed > first {
            self.newest = self.newest.split_off(&needed);
            self.records.retain(|_, r| r.segment >= needed);
        }
        needed
    }
}
