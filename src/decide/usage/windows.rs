//! The time windows by which usage is reported.

use std::time::Duration;

/// Windows of equal length; window 0 begins with the Unix epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Windows {
    /// Length of each window.
    pub length: Duration,
    /// How long after the end of a window its report is accepted.
    pub report_grace: Duration,
}

impl Windows {
    /// Returns the window that contains a time of day.
    pub fn index_at(&self, time: Duration) -> u64 {
        (time.as_nanos() / self.length.as_nanos().max(1)) as u64
    }

    /// Returns when a window ends.
    pub fn end_of(&self, window: u64) -> Duration {
        let count = u32::try_from(window).unwrap_or(u32::MAX).saturating_add(1);
        self.length.saturating_mul(count)
    }

    /// Returns until when the report of a window is accepted.
    pub fn report_deadline(&self, window: u64) -> Duration {
        self.end_of(window).saturating_add(self.report_grace)
    }
}
