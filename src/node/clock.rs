//! The runtime's clock, as moments since the process started.

use tokio::time::Instant;

use crate::Moment;

/// The clock. Copies tell the same time.
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
    /// The present moment.
    pub fn now(&self) -> Moment {
        self.start.elapsed()
    }

    /// The runtime's instant of a moment.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.start + moment
    }
}
