//! Temporary ejection of upstreams that fail.
//!
//! Load pattern: an upstream that fails immediately always looks idle, so that load-based
//! routing sends it everything. It is ejected after a few failures in a row, for a time that
//! doubles. A cause that all upstreams share (a bad request, a network fault of this node)
//! would leave none: at most a third is ejected at a time. Three in a row, a third and the
//! doubling are in the range of Envoy's defaults for outlier detection (5 in a row, 10%, 30 s
//! times the number of ejections), faster as nodes here see fewer answers each.

use std::time::Duration;

use crate::Moment;

/// Failures in a row that eject an upstream.
const FAILURES_TO_EJECT: u32 = 3;
/// Duration of the first ejection; it doubles with each further one.
const MIN_EJECTION: Duration = Duration::from_secs(1);
/// Longest ejection.
const MAX_EJECTION: Duration = Duration::from_secs(30);
/// One in this many upstreams may be ejected at a time.
const UPSTREAMS_PER_EJECTION: usize = 3;

/// How many of `total` upstreams may be ejected at the same time.
pub fn max_ejected(total: usize) -> usize {
    if total < 2 { 0 } else { (total / UPSTREAMS_PER_EJECTION).max(1) }
}

/// The failures and ejections of one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FailureTracker {
    /// Failures in a row.
    consecutive: u32,
    /// Number of ejections, less one for each answer.
    ejections: u32,
}

impl FailureTracker {
    /// Records an attempt with a whole answer.
    pub fn answered(&mut self) {
        self.consecutive = 0;
        self.ejections = self.ejections.saturating_sub(1);
    }

    /// Records a failed attempt.
    pub fn failed(&mut self) {
        self.consecutive += 1;
    }

    /// Records a connection that could not be opened, which is enough to eject.
    pub fn unreachable(&mut self) {
        self.consecutive = self.consecutive.max(FAILURES_TO_EJECT);
    }

    /// Whether the upstream has failed often enough to be ejected.
    pub fn should_eject(&self) -> bool {
        self.consecutive >= FAILURES_TO_EJECT
    }

    /// Records an ejection. Returns when it ends.
    pub fn eject(&mut self, now: Moment) -> Moment {
        // One more failure after the return is enough to eject again.
        self.consecutive = FAILURES_TO_EJECT - 1;
        let duration = MIN_EJECTION * 2_u32.saturating_pow(self.ejections.min(10));
        self.ejections += 1;
        now + duration.min(MAX_EJECTION)
    }
}
