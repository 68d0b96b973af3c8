//! Which of several announcements of the same event a node passes on.
//!
//! Load pattern: several of hundreds of nodes find within milliseconds that a service is back, and
//! each announces it to all others along a tree of its own. A node that passes on every tree sends
//! as many times its part as there are announcements. If each node passed on only the first one
//! that it received, a node could be left out: on its way in each tree, some node may have
//! received another tree first. So a node passes on an announcement only if its id is lower than
//! that of the ones before, and at most two. Of two announcements the lower one reaches every node.
//! Of more, a part of one is dropped only where two others were passed on.

use std::time::Duration;

use crate::Moment;

/// Announcements within this time belong to the same event. A tree of three levels, with a time-out
/// for an unreachable node on each, takes about a second.
const SAME_EVENT_WINDOW: Duration = Duration::from_secs(3);

/// The most announcements of one event that a node passes on.
const MAX_PASSED_ON: u32 = 2;

/// The announcements of the last event that a node has passed on.
#[derive(Debug, Clone, Copy, Default)]
pub struct Announcements {
    /// The lowest id, and when it was passed on.
    lowest: Option<(u64, Moment)>,
    /// Their number.
    count: u32,
}

impl Announcements {
    /// Whether an announcement is to be passed on, which is recorded as done.
    pub fn passes_on(&mut self, id: u64, now: Moment) -> bool {
        let current = self.current(now);
        if current.is_none() {
            self.count = 0;
        }
        let passes = current.is_none_or(|lowest| id < lowest) && self.count < MAX_PASSED_ON;
        if passes {
            self.lowest = Some((id, now));
            self.count += 1;
        }
        passes
    }

    /// Whether an announcement of the same event has been passed on.
    pub fn is_under_way(&self, now: Moment) -> bool {
        self.current(now).is_some()
    }

    /// The lowest announcement of the same event.
    fn current(&self, now: Moment) -> Option<u64> {
        let (lowest, at) = self.lowest?;
        (now.saturating_sub(at) < SAME_EVENT_WINDOW).then_some(lowest)
    }

    /// Records that the service became unreachable: later announcements are of another return.
    pub fn outage_began(&mut self) {
        *self = Self::default();
    }
}
