//! What goes into and comes out of [`super::Dispatch`].

use std::collections::HashMap;
use std::time::Duration;

use slotmap::new_key_type;

use crate::Name;
use crate::decide::Outcome;
use crate::error::Refusal;

new_key_type! {
    /// A request that this node has taken in.
    pub struct Ticket;
    /// An upstream of the service.
    pub struct UpstreamKey;
}

/// The limits of a service, from the bundle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Requests that may wait, of one class.
    pub queue: usize,
    /// The most attempts in flight at one upstream.
    pub concurrency: u32,
    /// The part of the work that training gets while live requests wait, in percent.
    pub floor: u32,
}

/// The weights of callers and trainers, from the bundle. Who is not named weighs 1.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Shares {
    /// Weight by name.
    pub weights: HashMap<Name, u32>,
}

impl Shares {
    /// The weight of a caller or trainer.
    pub fn of(&self, name: &str) -> u32 {
        self.weights.get(name).copied().unwrap_or(1).max(1)
    }
}

/// An upstream as the node sees it now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamView {
    /// Its name in the list of VMs.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether it may get new work.
    pub open: bool,
}

/// What an upstream said of its own load. It lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run or wait there, from all nodes.
    pub total: u32,
    /// When the upstream was asked.
    pub at: crate::Moment,
}

/// What the shell says of an ended attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub took: Duration,
    /// What it came to, in the unit of the call's cost, if that is known by now: a call's
    /// own cost is the most that it may come to.
    pub done: Option<u32>,
}

/// What the shell is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Make an attempt at this upstream.
    Send {
        /// The request.
        ticket: Ticket,
        /// The upstream.
        upstream: Name,
    },
    /// Give the request its final answer.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The answer.
        refusal: Refusal,
    },
}
