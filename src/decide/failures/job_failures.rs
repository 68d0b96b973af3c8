//! The failures of all requests of a job.

use std::collections::HashMap;

use super::{FailureCount, RequestFailure};
use crate::Name;

/// The failures of all requests of a job, and how many of them the store has.
#[derive(Debug, Default)]
pub struct JobFailures {
    counts: HashMap<Name, FailureCount>,
    /// Number of recorded failures at this owner.
    recorded: u64,
    /// Value of `recorded` at the last failure that must be stored before a retry.
    urgent: u64,
    /// Value of `recorded` up to which the store has them.
    stored: u64,
}

impl JobFailures {
    /// The failures that the store has of a job.
    pub fn restored(counts: HashMap<Name, FailureCount>) -> Self {
        Self { counts, ..Self::default() }
    }

    /// Returns the count of a request.
    pub fn count(&self, request: &str) -> FailureCount {
        self.counts.get(request).copied().unwrap_or_default()
    }

    /// Records a failure and returns the new count of the request.
    pub fn record(&mut self, request: &Name, failure: RequestFailure) -> FailureCount {
        let count = self.counts.entry(request.clone()).or_default();
        count.record(failure);
        self.recorded += 1;
        if count.must_be_stored() {
            self.urgent = self.recorded;
        }
        *count
    }

    /// Returns the number that [`JobFailures::mark_stored`] has to confirm before a request that
    /// has failed runs again.
    pub fn urgent(&self) -> u64 {
        self.urgent
    }

    /// Whether a retry waits for the counts to be stored.
    pub fn must_be_stored(&self) -> bool {
        self.stored < self.urgent
    }

    /// Returns all counts and the number that confirms them, if the store lacks some.
    pub fn unstored(&self) -> Option<(Vec<(Name, FailureCount)>, u64)> {
        let counts = self.counts.iter().map(|(id, count)| (id.clone(), *count));
        (self.stored < self.recorded).then(|| (counts.collect(), self.recorded))
    }

    /// Records that the store has the counts up to a number.
    pub fn mark_stored(&mut self, number: u64) {
        self.stored = self.stored.max(number);
    }
}
