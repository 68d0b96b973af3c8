//! The clock of the runtime. It measures time as the duration since the process started.

use tokio::time::Instant;

use crate::Moment;

/// A monotonic clock. Copies share the same start.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    start: Instant,
}

impl Default for Clock {
    fn default() -> Self {
        Self { start: Instant::now() }
    }
}

impl Clock {
    /// Returns the current time.
    pub fn now(&self) -> Moment {
        self.start.elapsed()
    }

    /// Converts a time of this clock to an instant of the runtime.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.start + moment
    }
}
