//! The time of day as most nodes have it.
//!
//! Load pattern: a node starts while its clock is seconds off. It can't see that by itself, and
//! as holder of duties it would report windows that have not ended.

use std::collections::HashMap;
use std::time::Duration;

use super::Steady;
use crate::Name;

/// How long what another node said of the time is used: some windows of usage.
const KEPT: Duration = Duration::from_secs(30);
/// A difference up to this is left as it is: the way of a message, clocks that are slewed.
const ALIKE: Duration = Duration::from_millis(300);

/// A node's time, held against that of others.
#[derive(Debug, Clone, Default)]
pub struct Agreed {
    own: Steady,
    /// The others' time of day when this node's running clock stood at zero, and when each said
    /// so by that clock.
    others: HashMap<Name, (Duration, Duration)>,
}

impl Agreed {
    /// What another node says the time is.
    pub fn hear(&mut self, node: &Name, theirs: Duration, running: Duration) {
        self.others.insert(node.clone(), (theirs.saturating_sub(running), running));
    }

    /// The time of day as the own clocks are read together.
    pub fn read(&mut self, running: Duration, wall: Duration) -> Duration {
        let own = self.own.read(running, wall);
        self.others.retain(|_, (_, at)| running.saturating_sub(*at) <= KEPT);
        if self.others.len() < 2 {
            return own;
        }
        let mut origins: Vec<Duration> = self.others.values().map(|(origin, _)| *origin).collect();
        origins.push(own.saturating_sub(running));
        origins.sort_unstable();
        let agreed = origins[origins.len() / 2] + running;
        if agreed.abs_diff(own) <= ALIKE { own } else { agreed }
    }
}
