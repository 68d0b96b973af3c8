//! When work runs again under which replicas have crashed.
//!
//! What callers send may crash its replicas by itself, and is refused once it has crashed several,
//! see [`super::Quarantine`]. The texts and reward calls of a job are owed instead: a replica that
//! crashes under one crashes for another reason.
//!
//! Load pattern: replicas crash one after the other for some seconds, and the same item meets crash
//! after crash. Held back, its whole step would wait for it; run again at once, it would take part in
//! each crash if it is the cause after all.

use std::time::Duration;

/// The delay after the second crash. It doubles with each further one.
const BASE_DELAY: Duration = Duration::from_millis(100);
/// The longest delay. Steps last some seconds.
const MAX_DELAY: Duration = Duration::from_millis(1_000);
/// The number of crashes after which an item runs apart from others, as far as there is room.
const APART_CRASHES: u32 = 2;

/// The crashes of replicas that one item of a job was at.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CrashDelay {
    crashes: u32,
}

impl CrashDelay {
    /// Records a crash.
    pub fn record(&mut self) {
        self.crashes = self.crashes.saturating_add(1);
    }

    /// Returns how long the item waits before it runs again. The first crash costs no wait.
    pub fn delay(self) -> Duration {
        let Some(doublings) = self.crashes.checked_sub(2) else { return Duration::ZERO };
        (BASE_DELAY * (1 << doublings.min(8))).min(MAX_DELAY)
    }

    /// Whether the item goes to the replica where the fewest other requests would crash with it.
    pub fn runs_apart(self) -> bool {
        self.crashes >= APART_CRASHES
    }
}
