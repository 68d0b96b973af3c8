//! The port, and the clocks of the VM.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Two clocks, read together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// A clock that only runs, also while the VM is suspended.
    pub since_boot: Duration,
    /// The time of day, since 1970.
    pub since_epoch: Duration,
}

/// Tells the time of day.
pub trait Clock: std::fmt::Debug + Send + Sync + 'static {
    /// Reads both clocks.
    fn read(&self) -> ClockReading;
}

/// The clocks of the VM.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn read(&self) -> ClockReading {
        let since_boot = Duration::try_from(clock_gettime(ClockId::Boottime)).unwrap_or_default();
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        ClockReading { since_boot, since_epoch }
    }
}
