//! How long a call to a service may stay without an answer.
//!
//! Load pattern: the service usually answers in milliseconds and now and then loses an
//! answer, so that each second of patience is a second in which a step stands still; on
//! other days every answer takes a quarter of a second, and impatience would repeat every
//! call without ever hearing one.

use std::time::Duration;

/// The least patience: three times the slowest answers of a service that is sixty times as
/// slow as its usual 4 ms, less what a lost answer may cost a waiting trainer.
const LEAST: Duration = Duration::from_millis(350);
/// The most: longer than any answer that is still of use.
const MOST: Duration = Duration::from_millis(2_000);
/// Patience over the time of the last answer.
const TIMES: u32 = 4;

/// The patience of one caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Patience {
    limit: Duration,
}

impl Default for Patience {
    fn default() -> Self {
        Self { limit: LEAST }
    }
}

impl Patience {
    /// How long the next call may take.
    pub fn limit(self) -> Duration {
        self.limit
    }

    /// A call was answered after so long.
    pub fn answered(&mut self, took: Duration) {
        self.limit = (took * TIMES).clamp(LEAST, MOST);
    }

    /// A call was given up.
    pub fn gave_up(&mut self) {
        self.limit = (self.limit * 2).min(MOST);
    }
}
