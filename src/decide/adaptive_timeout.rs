//! Timeout of calls to a service, adapted to the service's response time.
//!
//! Load pattern: the service usually answers in milliseconds and now and then loses an
//! answer, so that with a long timeout a step is blocked for that time; at other times every
//! answer takes a quarter of a second, and a short timeout would repeat every call without
//! ever receiving an answer.

use std::time::Duration;

/// Shortest timeout: three times the slowest answers of a service that is sixty times as
/// slow as its usual 4 ms, less what a lost answer may cost a waiting trainer.
const MIN_TIMEOUT: Duration = Duration::from_millis(350);
/// Longest timeout: longer than any answer that is still of use.
const MAX_TIMEOUT: Duration = Duration::from_millis(2_000);
/// Timeout as a multiple of the last response time.
const RESPONSE_TIME_FACTOR: u32 = 4;

/// The timeout of one client's calls to a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AdaptiveTimeout {
    timeout: Duration,
}

impl Default for AdaptiveTimeout {
    fn default() -> Self {
        Self { timeout: MIN_TIMEOUT }
    }
}

impl AdaptiveTimeout {
    /// The timeout of the next call.
    pub fn timeout(self) -> Duration {
        self.timeout
    }

    /// Adapts the timeout to a call that was answered after `took`.
    pub fn answered(&mut self, took: Duration) {
        self.timeout = (took * RESPONSE_TIME_FACTOR).clamp(MIN_TIMEOUT, MAX_TIMEOUT);
    }

    /// Doubles the timeout after a call that timed out.
    pub fn timed_out(&mut self) {
        self.timeout = (self.timeout * 2).min(MAX_TIMEOUT);
    }
}
