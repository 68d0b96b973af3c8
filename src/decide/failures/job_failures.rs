//! The failures of all requests of a job.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use super::failure_count::MAX_UNSTORED_RUNS;
use super::{EarlierRuns, FailureCount, RequestFailure, RetryDecision};
use crate::Name;

/// How many runs of a request may be open: sent, and neither answered nor known to have ended. Their
/// replicas may still reject each of them, and a rejected request must not run a fourth time.
const MAX_OPEN_RUNS: usize = 2;
/// The same if runs of a former owner or another job may be open as well.
const MAX_OPEN_LATER_RUNS: usize = 1;

/// The failures of all requests of a job, and how many of them the store has.
///
/// A request that has a count is counted once more before each run, so that the store has the run
/// whatever ends its owner or job. The first run of a request is not counted before, and the second
/// one is not waited for if the first brought no response.
#[derive(Debug, Default)]
pub struct JobFailures {
    counts: HashMap<Name, FailureCount>,
    /// The runs that have not ended.
    running: HashMap<Name, Run>,
    /// The requests with runs of former owners that had no response.
    inherited: HashSet<Name>,
    /// The earlier owners of the job, each of which may have sent unstored runs of any request.
    owners: u32,
    /// Number of recorded changes at this owner.
    recorded: u64,
    /// Value of `recorded` at the last change that must be stored before a run.
    urgent: u64,
    /// Value of `recorded` up to which the store has them.
    stored: u64,
}

/// A run that has not ended.
#[derive(Debug)]
struct Run {
    /// Whether it is part of the request's count.
    counted: bool,
    /// Whether the request was sent.
    sent: RunSent,
}

/// Whether a run has been sent to a replica. Clones share the state.
#[derive(Debug, Clone, Default)]
pub struct RunSent(Arc<AtomicBool>);

impl RunSent {
    /// Sets whether the run has been sent, and may have begun.
    pub fn set(&self, sent: bool) {
        self.0.store(sent, Ordering::Relaxed);
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

impl JobFailures {
    /// The failures that the store has of a job which has had this many owners before.
    pub fn restored(mut counts: HashMap<Name, FailureCount>, owners: u32) -> Self {
        counts.values_mut().for_each(FailureCount::add_unstored);
        let unanswered = counts.iter().filter(|(_, count)| count.unknown > 0);
        let inherited = unanswered.map(|(request, _)| request.clone()).collect();
        Self { counts, inherited, owners, ..Self::default() }
    }

    /// Returns the count of a request.
    pub fn count(&self, request: &str) -> FailureCount {
        self.counts.get(request).copied().unwrap_or_default()
    }

    /// Decides whether a request may run on a route that allows `max_attempts`, while this many of
    /// its runs are open. A run that is counted already may be made.
    pub fn decide(&self, request: &str, max_attempts: u32, open_runs: usize) -> RetryDecision {
        if self.running.contains_key(request) {
            return RetryDecision::Run;
        }
        let count = self.count(request);
        let others = self.inherited.contains(request) || count.earlier_unknown > 0;
        let fails = count.failed + count.earlier_failed > 0;
        let limit = if others && !fails { MAX_OPEN_LATER_RUNS } else { MAX_OPEN_RUNS };
        count.decide(max_attempts, open_runs < limit)
    }

    /// Counts the next run of a request that has a count. Returns the number that the store must
    /// have before the run; none if the run need not wait.
    pub fn reserve(&mut self, request: &Name) -> Option<u64> {
        let count = self.counts.get_mut(request)?;
        let mut may_run = false;
        if !self.running.contains_key(request) {
            may_run = count.may_run_unstored();
            count.unknown += 1;
            let run = Run { counted: true, sent: RunSent::default() };
            self.running.insert(request.clone(), run);
            self.recorded += 1;
            self.urgent = self.recorded;
        }
        (!may_run).then_some(self.urgent)
    }

    /// Begins a run of a request.
    pub fn begin(&mut self, request: &Name) -> RunSent {
        let first = || Run { counted: false, sent: RunSent::default() };
        self.running.entry(request.clone()).or_insert_with(first).sent.clone()
    }

    /// Ends the run of a request that has begun, if it has not ended yet. Returns the new count
    /// after a failure.
    pub fn end(&mut self, request: &Name, failure: Option<RequestFailure>) -> Option<FailureCount> {
        let run = self.running.remove(request)?;
        if run.counted {
            let count = self.counts.get_mut(request)?;
            match failure {
                // It stays counted as one without a response.
                Some(RequestFailure::Unknown) => {}
                failure => count.settle(failure),
            }
        } else {
            self.first_failure(request, failure?);
        }
        self.record_change(failure);
        failure.map(|_| self.count(request))
    }

    /// Counts a change. A rejection is stored soon, as no later run of the request stores it.
    fn record_change(&mut self, failure: Option<RequestFailure>) {
        self.recorded += 1;
        if failure == Some(RequestFailure::Rejected) {
            self.urgent = self.recorded;
        }
    }

    /// Adds a request that fails for the first time in this job.
    fn first_failure(&mut self, request: &Name, failure: RequestFailure) {
        let lost = self.unstored_runs();
        let count = self.counts.entry(request.clone()).or_default();
        count.unknown += lost;
        count.record(failure);
    }

    /// The runs that earlier owners may have sent of a request without a count.
    fn unstored_runs(&self) -> u32 {
        self.owners * MAX_UNSTORED_RUNS
    }

    /// Counts the response to a run that had ended as unknown. Without a failure the request has no
    /// count again if that run was the only one.
    pub fn settle(&mut self, request: &Name, failure: Option<RequestFailure>) {
        let before_first = FailureCount { unknown: self.unstored_runs(), ..Default::default() };
        let Some(count) = self.counts.get_mut(request) else { return };
        count.settle(failure);
        let is_new = !self.inherited.contains(request) && !self.running.contains_key(request);
        if is_new && *count == before_first {
            self.counts.remove(request);
        }
        self.record_change(failure);
    }

    /// Forgets a request that has succeeded.
    pub fn remove(&mut self, request: &str) {
        self.running.remove(request);
        if self.counts.remove(request).is_some() {
            self.recorded += 1;
        }
    }

    /// Adds what the records of other jobs have of the requests.
    pub fn set_earlier(&mut self, earlier: &HashMap<Name, EarlierRuns>) {
        for (request, runs) in earlier {
            self.counts.entry(request.clone()).or_default().set_earlier(runs);
        }
    }

    /// Whether a run waits for its count to be stored.
    pub fn must_be_stored(&self) -> bool {
        self.stored < self.urgent
    }

    /// Returns all counts and the number that confirms them, if the store lacks some.
    pub fn unstored(&self) -> Option<(Vec<(Name, FailureCount)>, u64)> {
        let counts = self.counts.iter().map(|(id, count)| (id.clone(), *count));
        (self.stored < self.recorded).then(|| (counts.collect(), self.recorded))
    }

    /// The same for the last write of an owner that stops: with the first runs that it has sent and
    /// does not see the end of.
    pub fn unstored_at_end(&mut self) -> Option<(Vec<(Name, FailureCount)>, u64)> {
        let unseen: Vec<Name> = self
            .running
            .extract_if(|_, run| !run.counted && run.sent.get())
            .map(|(request, _)| request)
            .collect();
        for request in unseen {
            self.first_failure(&request, RequestFailure::Unknown);
            self.recorded += 1;
        }
        self.unstored()
    }

    /// Records that the store has the counts up to a number.
    pub fn mark_stored(&mut self, number: u64) {
        self.stored = self.stored.max(number);
    }
}
