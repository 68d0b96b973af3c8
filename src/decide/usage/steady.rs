//! The time of day without steps.
//!
//! Load pattern: the clocks of a third of the VMs jump by seconds and back again. Requests
//! that are counted meanwhile would fall into windows that have ended or have not begun.

use std::time::Duration;

/// A difference up to this is followed at once: clocks that are slewed.
const SLEW: Duration = Duration::from_millis(200);
/// A step counts as a correction once it has lasted so long.
const LASTING: Duration = Duration::from_secs(60);

/// The time of day, from a clock that only runs and one that may jump.
#[derive(Debug, Clone, Default)]
pub struct Steady {
    /// The time of day when the running clock stood at zero; none before the first reading.
    origin: Option<Duration>,
    /// When the time of day was first seen to have jumped.
    jumped: Option<Duration>,
}

impl Steady {
    /// The time of day as both clocks are read together.
    pub fn read(&mut self, running: Duration, wall: Duration) -> Duration {
        let seen = wall.saturating_sub(running);
        let origin = *self.origin.get_or_insert(seen);
        if seen.abs_diff(origin) <= SLEW {
            self.jumped = None;
            self.origin = Some(seen);
            return wall;
        }
        let since = *self.jumped.get_or_insert(running);
        if running.saturating_sub(since) >= LASTING {
            self.jumped = None;
            self.origin = Some(seen);
            return wall;
        }
        origin + running
    }
}
