//! A time of day over the runtime's clock.

use std::sync::Arc;
use std::time::Duration;

use mulberrycourse::edge::clock::{Clock, ClockReading};
use parking_lot::Mutex;
use tokio::time::Instant;

/// The time of day as a test begins.
const START: Duration = Duration::from_secs(1_800_000_000);

/// One VM's clocks. Cloning it shares them.
#[derive(Debug, Clone)]
pub struct TestClock {
    begun: Instant,
    ahead: Arc<Mutex<Duration>>,
}

impl Default for TestClock {
    fn default() -> Self {
        Self { begun: Instant::now(), ahead: Arc::default() }
    }
}

impl TestClock {
    /// The time of day is so much ahead of the true one from now on.
    pub fn step(&self, ahead: Duration) {
        *self.ahead.lock() = ahead;
    }

    /// The clocks of another VM, which may jump by themselves.
    pub fn beside(&self) -> Self {
        Self { begun: self.begun, ahead: Arc::default() }
    }

    /// The true time of day.
    pub fn truth(&self) -> Duration {
        START + self.begun.elapsed()
    }
}

impl Clock for TestClock {
    fn read(&self) -> ClockReading {
        let running = self.begun.elapsed();
        ClockReading { since_boot: running, since_epoch: START + running + *self.ahead.lock() }
    }
}
