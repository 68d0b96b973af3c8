//! A settable time of day on top of the runtime's clock, which tests may pause.

use std::sync::Arc;
use std::time::Duration;

use mulberrycourse::edge::clock::{Clock, ClockReading};
use parking_lot::Mutex;
use tokio::time::Instant;

/// The time of day when a test starts, since the Unix epoch.
const START_TIME: Duration = Duration::from_secs(1_800_000_000);

/// The clocks of one VM. Clones share them.
#[derive(Debug, Clone)]
pub struct TestClock {
    started: Instant,
    offset: Arc<Mutex<Duration>>,
}

impl Default for TestClock {
    fn default() -> Self {
        Self { started: Instant::now(), offset: Arc::default() }
    }
}

impl TestClock {
    /// Sets how far the time of day is ahead of the true one from now on.
    pub fn set_offset(&self, offset: Duration) {
        *self.offset.lock() = offset;
    }

    /// The clocks of another VM: the same true time, and an offset of their own.
    pub fn other_vm(&self) -> Self {
        Self { started: self.started, offset: Arc::default() }
    }

    /// The true time of day.
    pub fn true_time(&self) -> Duration {
        START_TIME + self.started.elapsed()
    }
}

impl Clock for TestClock {
    fn read(&self) -> ClockReading {
        let since_boot = self.started.elapsed();
        ClockReading { since_boot, since_epoch: START_TIME + since_boot + *self.offset.lock() }
    }
}
