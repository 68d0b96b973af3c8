//! The clock interface, and its implementation by the clocks of the VM.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// The time by two clocks, read together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// The time since boot. It never jumps, and it goes on while the VM is suspended.
    pub since_boot: Duration,
    /// The time of day, since the Unix epoch.
    pub since_epoch: Duration,
}

/// Reads the time since boot and the time of day.
pub trait Clock: std::fmt::Debug + Send + Sync + 'static {
    /// Reads both clocks.
    fn read(&self) -> ClockReading;
}

/// The clocks of the VM's operating system.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn read(&self) -> ClockReading {
        let since_boot = Duration::try_from(clock_gettime(ClockId::Boottime)).unwrap_or_default();
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        ClockReading { since_boot, since_epoch }
    }
}
