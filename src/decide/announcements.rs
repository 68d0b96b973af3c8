//! Which of several announcements of the same event a node passes on.
//!
//! Load pattern: several of hundreds of nodes find within milliseconds that a service is back, and
//! each announces it to all others along a tree of its own. A node that passes on every tree sends
//! as many times its part as there are announcements. If each node passed on only the first one
//! that it received, a node could be left out: on its way in each tree, some node may have
//! received another tree first. So a node passes on an announcement only if its id is lower than
//! that of all earlier ones. The one with the lowest id then reaches every node, and of `n`
//! announcements in random order a node passes on about `ln n`.

use std::time::Duration;

use crate::Moment;

/// Announcements within this time belong to the same event. A tree of three levels, with a time-out
/// for an unreachable node on each, takes about a second.
const SAME_EVENT_WINDOW: Duration = Duration::from_secs(3);

/// The announcement with the lowest id that a node has passed on.
#[derive(Debug, Clone, Copy, Default)]
pub struct Announcements {
    lowest: Option<(u64, Moment)>,
}

impl Announcements {
    /// Whether an announcement is to be passed on, which is recorded as done.
    pub fn passes_on(&mut self, id: u64, now: Moment) -> bool {
        let known = self.current(now).is_some_and(|lowest| lowest <= id);
        if !known {
            self.lowest = Some((id, now));
        }
        !known
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
        self.lowest = None;
    }
}
