//! The time of day without jumps.
//!
//! Load pattern: the clocks of a third of the VMs jump by seconds and back again. Requests
//! that are counted meanwhile would fall into windows that have ended or have not begun.

use std::time::Duration;

/// A difference up to this is followed at once: clocks that are slewed.
const MAX_SLEW: Duration = Duration::from_millis(200);
/// A jump counts as a correction once it has lasted this long.
const JUMP_ACCEPTANCE_DELAY: Duration = Duration::from_secs(60);

/// The time of day, from a monotonic clock and a wall clock that may jump.
#[derive(Debug, Clone, Default)]
pub struct SteadyClock {
    /// The time of day when the monotonic clock was zero; none before the first reading.
    origin: Option<Duration>,
    /// When the wall clock was first seen to have jumped, by the monotonic clock.
    jumped_at: Option<Duration>,
}

impl SteadyClock {
    /// Returns the time of day, given the monotonic clock and the wall clock read together.
    pub fn read(&mut self, since_boot: Duration, since_epoch: Duration) -> Duration {
        let seen = since_epoch.saturating_sub(since_boot);
        let origin = *self.origin.get_or_insert(seen);
        if seen.abs_diff(origin) <= MAX_SLEW {
            self.jumped_at = None;
            self.origin = Some(seen);
            return since_epoch;
        }
        let since = *self.jumped_at.get_or_insert(since_boot);
        if since_boot.saturating_sub(since) >= JUMP_ACCEPTANCE_DELAY {
            self.jumped_at = None;
            self.origin = Some(seen);
            return since_epoch;
        }
        origin + since_boot
    }
}
