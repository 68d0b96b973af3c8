//! Who may run a suspect at an upstream: one at a time, over all nodes.

use std::collections::HashMap;

use crate::{Moment, Name};

#[derive(Debug, Clone, Copy)]
struct Trial {
    holder: u64,
    until: Moment,
}

/// The trials at the upstreams that this node is home to.
///
/// Two suspects at one upstream would be blamed for each other's crash. A holder
/// that dies blocks an upstream for other suspects only, and only until `until`.
#[derive(Debug, Clone, Default)]
pub struct Trials {
    held: HashMap<Name, Trial>,
}

impl Trials {
    /// Asks for an upstream until a moment. The same holder may ask again.
    pub fn take(&mut self, upstream: &Name, holder: u64, until: Moment, now: Moment) -> bool {
        self.held.retain(|_, trial| trial.until > now);
        let free = self.held.get(upstream).is_none_or(|trial| trial.holder == holder);
        if free {
            self.held.insert(upstream.clone(), Trial { holder, until });
        }
        free
    }

    /// The holder is done.
    pub fn end(&mut self, upstream: &Name, holder: u64) {
        self.held.retain(|name, trial| name != upstream || trial.holder != holder);
    }
}
