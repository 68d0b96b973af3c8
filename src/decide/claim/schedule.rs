//! When a partition commits.
//!
//! Load pattern: claims come one at a time all day and in bursts when a batch job starts.
//! One platform write for each would exceed the several hundred writes a second that the
//! platform takes; waiting long would delay each call. The first claim after an idle time
//! therefore waits for [`CLAIM_BATCH_DELAY`] only, and under load all claims within
//! [`COMMIT_INTERVAL`] share one write. When the platform fails, requests are refused at
//! once, and the platform is called again with exponential backoff and jitter.

use std::time::Duration;

use rand::Rng;

use crate::Moment;

/// How long the first claim waits for others to share its commit: about one network round
/// trip, in which the claims of one burst arrive.
const CLAIM_BATCH_DELAY: Duration = Duration::from_millis(3);
/// Minimum time between two commits of one partition: 16 partitions make at most 200
/// writes a second, half of what the platform takes.
pub const COMMIT_INTERVAL: Duration = Duration::from_millis(80);
/// Maximum total time that a claim request waits for its decision.
pub const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// How long outcomes wait for a claim to share the commit with.
const OUTCOME_BATCH_DELAY: Duration = Duration::from_secs(1);
/// Backoff after the first failure; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);
/// Longest backoff: the end of an outage is noticed within this time.
const MAX_BACKOFF: Duration = Duration::from_secs(4);

/// The timing of one partition's commits.
#[derive(Debug, Clone, Default)]
pub struct CommitSchedule {
    last_commit: Option<Moment>,
    /// When the queued claims are due, if there are any.
    claims_due: Option<Moment>,
    /// When the queued outcomes are due, if there are any.
    outcomes_due: Option<Moment>,
    /// Failures in a row.
    failures: u32,
    backoff_until: Option<Moment>,
}

impl CommitSchedule {
    /// Schedules a commit for a queued claim.
    pub fn claim_queued(&mut self, now: Moment) {
        self.claims_due.get_or_insert(now + CLAIM_BATCH_DELAY);
    }

    /// Schedules a commit for a queued outcome.
    pub fn outcome_queued(&mut self, now: Moment) {
        self.outcomes_due.get_or_insert(now + OUTCOME_BATCH_DELAY);
    }

    /// Makes the queued outcomes due now.
    pub fn flush(&mut self, now: Moment) {
        if let Some(due) = &mut self.outcomes_due {
            *due = now.min(*due);
        }
    }

    /// When the next commit is due, if anything is queued.
    pub fn due(&self) -> Option<Moment> {
        let wanted = self.claims_due.into_iter().chain(self.outcomes_due).min()?;
        let spaced = self.last_commit.map_or(Moment::ZERO, |l| l + COMMIT_INTERVAL);
        Some(wanted.max(spaced).max(self.backoff_until.unwrap_or_default()))
    }

    /// Records the start of a commit of all that is queued.
    pub fn commit_started(&mut self, now: Moment) {
        self.last_commit = Some(now);
        self.clear();
    }

    /// Records that nothing is queued.
    pub fn clear(&mut self) {
        self.claims_due = None;
        self.outcomes_due = None;
    }

    /// Records an answer of the platform, which ends the backoff.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.backoff_until = None;
    }

    /// Records a failure of the platform. Returns when to try again.
    pub fn failed(&mut self, now: Moment, rng: &mut impl Rng) -> Moment {
        let backoff =
            (INITIAL_BACKOFF * 2_u32.saturating_pow(self.failures.min(8))).min(MAX_BACKOFF);
        self.failures += 1;
        let until = now + backoff.mul_f64(rng.random_range(0.75..1.25));
        self.backoff_until = Some(until);
        until
    }

    /// The remaining backoff time, in which requests are refused.
    pub fn remaining_backoff(&self, now: Moment) -> Option<Duration> {
        self.backoff_until.filter(|until| *until > now).map(|until| until - now)
    }
}
