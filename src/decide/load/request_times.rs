//! How long the requests of one kind usually take.

use std::collections::VecDeque;
use std::time::Duration;

/// The number of requests whose times are kept.
const MAX_TIMES: usize = 64;
/// The percentage of requests that take at most the usual time.
const USUAL_PERCENT: usize = 90;

/// The times that the last requests of one kind took.
#[derive(Debug, Clone, Default)]
pub struct RequestTimes {
    recent: VecDeque<Duration>,
}

impl RequestTimes {
    /// Records the time of a request that was answered completely.
    pub fn record(&mut self, time: Duration) {
        if self.recent.len() >= MAX_TIMES {
            self.recent.pop_front();
        }
        self.recent.push_back(time);
    }

    /// Returns the time that nine of ten requests did not exceed; none before the first.
    pub fn usual(&self) -> Option<Duration> {
        let mut sorted: Vec<Duration> = self.recent.iter().copied().collect();
        sorted.sort_unstable();
        let rank = (sorted.len() * USUAL_PERCENT).div_ceil(100);
        sorted.get(rank.checked_sub(1)?).copied()
    }
}
