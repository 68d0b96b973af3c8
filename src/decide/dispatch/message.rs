//! Inputs and outputs of [`super::Dispatch`].

use std::collections::HashMap;
use std::time::Duration;

use slotmap::new_key_type;

use crate::Name;
use crate::decide::AttemptOutcome;
use crate::error::Refusal;

new_key_type! {
    /// Identifies a request from its submission to its final answer.
    pub struct Ticket;
    /// Identifies an upstream of the service.
    pub struct UpstreamKey;
}

/// The limits of a service, from the bundle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ServiceLimits {
    /// Most requests of one class that may wait.
    pub max_queued: usize,
    /// Most attempts in flight at one upstream.
    pub max_concurrency: u32,
    /// The part of the work that training gets while live requests wait, in percent.
    pub training_percent: u32,
}

/// The weights of callers and trainers, from the bundle.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct CallerWeights {
    /// Weight by name; the default is 1.
    pub weights: HashMap<Name, u32>,
}

impl CallerWeights {
    /// The weight of a caller or trainer, at least 1.
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
    pub accepting: bool,
}

/// The load that an upstream reported. It lags.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that run or wait at the upstream, from all nodes.
    pub total: u32,
    /// When the report was requested.
    pub requested_at: crate::Moment,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AttemptReport {
    /// The outcome.
    pub outcome: AttemptOutcome,
    /// How long the attempt took.
    pub took: Duration,
    /// The actual cost, in the unit of the call's cost, if it is known. The call's own cost
    /// is an upper bound.
    pub actual_cost: Option<u32>,
}

/// What the caller of [`super::Dispatch`] has to do.
#[derive(Debug, Clone, PartialEq)]
pub enum DispatchAction {
    /// Start an attempt at this upstream.
    Send {
        /// The request.
        ticket: Ticket,
        /// The upstream.
        upstream: Name,
    },
    /// Answer the request with a refusal.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The refusal.
        refusal: Refusal,
    },
}
