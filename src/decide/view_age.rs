//! How long a node may rely on what other nodes report of the store, before it reads the store
//! itself.
//!
//! Load pattern: a few nodes watch the store for all others, and several of them stop replying, or
//! lose the store, at the moment of a change. If each is waited for in turn, the change is late by
//! the sum of the waits. Here all of them end at one moment, which depends on how soon a change has
//! to be in use and on when the view was last known to be complete.

use std::time::Duration;

use crate::Moment;

/// The time that is left for the read itself: one call without an answer, one that is answered, and
/// requests that are being sent on with the view as it was.
const READ_TIME: Duration = Duration::from_millis(500);
/// If the limit is short, the read gets one part of it in this many.
const READ_TIME_DIVISOR: u32 = 4;
/// The time that is left for asking other nodes if one does not reply.
const RETRY_TIME: Duration = Duration::from_millis(400);
/// The shortest time for which another node is asked to wait for a change, and may take to reply. A
/// node whose copy is old is asked again this often.
const MIN_POLL_WAIT: Duration = Duration::from_millis(100);

/// How old a node's view of a part of the store is, and may become.
#[derive(Debug, Clone, Copy)]
pub struct ViewAge {
    /// How soon a change has to be in use.
    limit: Duration,
    /// The view contains every change that was made before this moment.
    confirmed: Moment,
}

impl ViewAge {
    /// A view whose changes have to be in use after `limit`, and which nobody has confirmed yet.
    pub fn new(limit: Duration) -> Self {
        Self { limit, confirmed: Moment::ZERO }
    }

    /// Records that the view contains every change that was made before `at`.
    pub fn confirm(&mut self, at: Moment) {
        self.confirmed = self.confirmed.max(at);
    }

    /// Returns how long ago the view was known to be complete.
    pub fn age(self, now: Moment) -> Duration {
        now.saturating_sub(self.confirmed)
    }

    /// Returns when the view has to be read from the store, unless it is confirmed before.
    pub fn read_due(self) -> Moment {
        self.confirmed + self.limit - READ_TIME.min(self.limit / READ_TIME_DIVISOR)
    }

    /// Returns for how long another node is asked to wait for a change, at most `longest`. Zero once
    /// the view has to be read from the store.
    pub fn poll_wait(self, now: Moment, longest: Duration) -> Duration {
        if now >= self.read_due() {
            return Duration::ZERO;
        }
        let left = self.read_due().saturating_sub(now + RETRY_TIME);
        left.min(longest).max(MIN_POLL_WAIT)
    }

    /// Returns how long other nodes may be asked before the view is read from the store. A view that
    /// is overdue, as the last read has failed, leaves a short time for a reply.
    pub fn time_until_read(self, now: Moment) -> Duration {
        self.read_due().saturating_sub(now).max(MIN_POLL_WAIT)
    }
}
