//! The failures of one request, and whether it may run again.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How many times the attempts of its route a request may run without success, over all jobs and
/// owners.
const MAX_RUN_FACTOR: u32 = 3;
/// How many runs of a request an owner may send before the store has them.
pub(super) const MAX_UNSTORED_RUNS: u32 = 2;
/// The delay before a request runs again. It is doubled with each run without a response after the
/// first [`FAST_RETRIES`], up to [`MAX_RETRY_DELAY`], so that replicas that break connections for
/// some seconds do not use up the runs of a sound request.
const RETRY_BASE_DELAY: Duration = Duration::from_millis(50);
/// The longest such delay.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(3_200);
/// The runs after which the delay grows. A replica that works is mostly found by then.
const FAST_RETRIES: u32 = 2;

/// How often one request has failed in a job, over all owners of the job, and in other jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureCount {
    /// Responses of replicas that ran it and failed.
    pub failed: u32,
    /// Runs without a response, also those that have not ended.
    pub unknown: u32,
    /// The same as `failed`, in other jobs.
    pub earlier_failed: u32,
    /// The same as `unknown`, in other jobs.
    pub earlier_unknown: u32,
    /// Whether a replica responded that the request can never succeed.
    pub rejected: bool,
}

/// A failure of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RequestFailure {
    /// A replica ran it and failed.
    Failed,
    /// It may have run, and brought nothing.
    Unknown,
    /// A replica responded that it can never succeed.
    Rejected,
}

/// What follows from the failures of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// It may run.
    Run,
    /// It does not run until one of its open runs has ended.
    Await,
    /// It does not run again, and is not given up before its retention ends: some of its runs may
    /// have failed without a response, but fewer responses than its route allows say so.
    Hold,
    /// It is given up.
    GiveUp,
}

impl RequestFailure {
    /// The name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Failed => "failed",
            Self::Unknown => "unknown",
            Self::Rejected => "rejected",
        }
    }
}

impl FailureCount {
    /// Counts a failure.
    pub(super) fn record(&mut self, failure: RequestFailure) {
        match failure {
            RequestFailure::Failed => self.failed += 1,
            RequestFailure::Unknown => self.unknown += 1,
            RequestFailure::Rejected => self.rejected = true,
        }
    }

    /// Counts a run that was counted as unknown by its response.
    pub(super) fn settle(&mut self, failure: Option<RequestFailure>) {
        self.unknown = self.unknown.saturating_sub(1);
        if let Some(failure) = failure {
            self.record(failure);
        }
    }

    /// Whether the next run may be sent before the store has it: an outage of the store must not stop
    /// a request whose one answer was lost.
    pub(super) fn may_run_unstored(&self) -> bool {
        self.runs() == self.unknown && self.unknown < MAX_UNSTORED_RUNS
    }

    /// Charges for the runs that a former owner may have sent before the store had them.
    pub(super) fn add_unstored(&mut self) {
        if self.may_run_unstored() {
            self.unknown = MAX_UNSTORED_RUNS;
        }
    }

    /// The runs without success, in all jobs.
    fn runs(&self) -> u32 {
        self.failed + self.unknown + self.earlier_failed + self.earlier_unknown
    }

    /// Sets the part of other jobs, unless a larger one is known.
    pub fn set_earlier(&mut self, other: &EarlierRuns) {
        let (failed, unknown) = other.counts();
        if failed + unknown > self.earlier_failed + self.earlier_unknown {
            (self.earlier_failed, self.earlier_unknown) = (failed, unknown);
        }
        self.rejected |= other.rejected;
    }

    /// Whether the counts of other jobs are to be read again before the next run, since two open
    /// jobs may have the same request.
    pub fn wants_other_jobs(&self, max_attempts: u32) -> bool {
        self.failed + self.unknown >= max_attempts
    }

    /// The delay before the request runs again.
    pub fn retry_delay(&self) -> Duration {
        let doublings = self.unknown.saturating_sub(FAST_RETRIES).min(8);
        (RETRY_BASE_DELAY * (1 << doublings)).min(MAX_RETRY_DELAY)
    }

    /// Decides whether the request may run again on a route that allows `max_attempts`. `may_open`
    /// tells whether it may have one more open run.
    pub fn decide(&self, max_attempts: u32, may_open: bool) -> RetryDecision {
        if self.rejected || self.failed >= max_attempts {
            RetryDecision::GiveUp
        } else if !may_open {
            RetryDecision::Await
        } else if self.runs() < MAX_RUN_FACTOR * max_attempts {
            RetryDecision::Run
        } else if self.failed + self.earlier_failed >= max_attempts {
            RetryDecision::GiveUp
        } else {
            RetryDecision::Hold
        }
    }
}

/// The runs of a request in other jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct EarlierRuns {
    failed: u32,
    unknown: u32,
    /// The counts of the job that knows of the most runs, those of jobs before it included.
    longest: (u32, u32),
    rejected: bool,
}

impl EarlierRuns {
    /// Adds the count of one other job. The job may be open, and then has one more run that its
    /// count does not show yet.
    pub fn add(&mut self, other: &FailureCount) {
        let unseen = u32::from(other.failed + other.unknown > 0);
        self.failed += other.failed;
        self.unknown += other.unknown + unseen;
        self.rejected |= other.rejected;
        let known =
            (other.failed + other.earlier_failed, other.unknown + other.earlier_unknown + unseen);
        if known.0 + known.1 > self.longest.0 + self.longest.1 {
            self.longest = known;
        }
    }

    /// Failures and runs without a response. The jobs that an other job counted may be deleted.
    fn counts(&self) -> (u32, u32) {
        let all = (self.failed, self.unknown);
        if self.longest.0 + self.longest.1 > all.0 + all.1 { self.longest } else { all }
    }
}
