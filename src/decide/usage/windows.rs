//! The windows that usage is reported by.

use std::time::Duration;

/// Windows of equal length; window 0 begins with 1970.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Windows {
    /// The length of each.
    pub length: Duration,
    /// How long after its end a report of one is taken.
    pub late: Duration,
}

impl Windows {
    /// The window that a time of day lies in.
    pub fn at(&self, time: Duration) -> u64 {
        (time.as_nanos() / self.length.as_nanos().max(1)) as u64
    }

    /// When a window ends.
    pub fn end(&self, window: u64) -> Duration {
        let count = u32::try_from(window).unwrap_or(u32::MAX).saturating_add(1);
        self.length.saturating_mul(count)
    }

    /// Until when a report of a window is taken.
    pub fn due(&self, window: u64) -> Duration {
        self.end(window).saturating_add(self.late)
    }
}
