//! The time of day that most nodes agree on.
//!
//! Load pattern: a node starts while its clock is seconds off. It can't detect that by itself,
//! and as leader it would report windows that have not ended.

use std::collections::HashMap;
use std::time::Duration;

use super::SteadyClock;
use crate::Name;

/// How long the time that another node reported is used: a few windows of usage.
const PEER_TIME_RETENTION: Duration = Duration::from_secs(30);
/// A difference up to this is ignored: the delay of a message, clocks that are slewed.
const MAX_IGNORED_OFFSET: Duration = Duration::from_millis(300);

/// A node's time of day, corrected by the times that other nodes report.
#[derive(Debug, Clone, Default)]
pub struct AgreedClock {
    own: SteadyClock,
    /// By node, its time of day when this node's monotonic clock was zero, and when it
    /// reported that by this clock.
    peers: HashMap<Name, (Duration, Duration)>,
}

impl AgreedClock {
    /// Records the time of day that another node reports. `since_boot` is this node's monotonic
    /// clock.
    pub fn record_peer(&mut self, node: &Name, theirs: Duration, since_boot: Duration) {
        self.peers.insert(node.clone(), (theirs.saturating_sub(since_boot), since_boot));
    }

    /// Returns the time of day, given this node's monotonic clock and wall clock read together.
    /// With recent reports of two or more nodes it is the median of their times and the own
    /// one, unless that is close to the own time.
    pub fn read(&mut self, since_boot: Duration, since_epoch: Duration) -> Duration {
        let own = self.own.read(since_boot, since_epoch);
        self.peers.retain(|_, (_, at)| since_boot.saturating_sub(*at) <= PEER_TIME_RETENTION);
        if self.peers.len() < 2 {
            return own;
        }
        let mut origins: Vec<Duration> = self.peers.values().map(|(origin, _)| *origin).collect();
        origins.push(own.saturating_sub(since_boot));
        origins.sort_unstable();
        let agreed = origins[origins.len() / 2] + since_boot;
        if agreed.abs_diff(own) <= MAX_IGNORED_OFFSET { own } else { agreed }
    }
}
