//! The failures of one request, and whether it may run again.

use serde::{Deserialize, Serialize};

/// How many times the attempts of its route a request may run once it has failed, over all jobs and
/// owners.
const MAX_RUN_FACTOR: u32 = 3;

/// How often one request has failed in a job, over all owners of the job, and in earlier jobs.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FailureCount {
    /// Responses of replicas that ran it and failed.
    pub failed: u32,
    /// Runs that brought nothing and whose outcome is unknown.
    pub unknown: u32,
    /// The same as `failed`, in earlier jobs.
    pub earlier_failed: u32,
    /// The same as `unknown`, in earlier jobs.
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

    /// Whether a retry has to wait until this count is stored. A request that has only been
    /// interrupted is not known to fail, and goes on at once.
    pub fn must_be_stored(&self) -> bool {
        self.failed > 0 || self.earlier_failed > 0 || self.rejected
    }

    /// Returns the part of earlier jobs.
    pub fn earlier(&self) -> Self {
        Self { failed: 0, unknown: 0, ..*self }
    }

    /// Takes over the failures in another job with the same request, whose owners may have missed
    /// this many. Of several jobs the one with the most counts, as it had those of the others.
    pub fn add_earlier(&mut self, other: &Self, missed: u32) {
        let failed = other.failed + other.earlier_failed;
        let unknown = other.unknown + other.earlier_unknown + missed;
        if failed + unknown > self.earlier_failed + self.earlier_unknown {
            (self.earlier_failed, self.earlier_unknown) = (failed, unknown);
        }
        self.rejected |= other.rejected;
    }

    /// Decides whether the request may run again on a route that allows `max_attempts`, after this
    /// many takeovers of its job. An owner stores each failure before the next run, so that one run
    /// at most is not counted when it ends.
    pub fn decide(&self, max_attempts: u32, takeovers: u32) -> RetryDecision {
        let max_runs = MAX_RUN_FACTOR * max_attempts;
        if self.rejected || self.failed >= max_attempts {
            return RetryDecision::GiveUp;
        }
        let failed = self.failed + self.earlier_failed;
        if failed == 0 {
            return RetryDecision::Run;
        }
        let runs = failed + self.unknown + self.earlier_unknown + takeovers;
        if runs < max_runs {
            RetryDecision::Run
        } else if failed >= max_attempts {
            RetryDecision::GiveUp
        } else {
            RetryDecision::Hold
        }
    }
}
