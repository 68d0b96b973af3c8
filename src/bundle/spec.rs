//! The parts of a bundle.

use std::time::Duration;

use crate::Name;
use crate::decide::{Class, Repeat, ServiceLimits};

/// What kind of upstream a service has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceKind {
    /// Model engines.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// What only model engines have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSpec {
    /// The weight version that its upstreams are to serve.
    pub version: u64,
    /// Whether its upstreams refuse orders with an old fencing number.
    pub fenced: bool,
    /// The most upstreams that may swap at the same time, in percent.
    pub swap_percent: u32,
    /// Versions that the weight store hands out in a second, to all upstreams together.
    pub load_rate: u32,
}

/// A service: `[service NAME]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: Name,
    /// For model engines, what they are to serve.
    pub engine: Option<EngineSpec>,
    /// Whether its calls may be repeated.
    pub repeat: Repeat,
    /// Requests of one class that may wait at one node.
    pub max_queued: usize,
    /// Attempts in flight from one node at one upstream.
    pub max_concurrency: u32,
    /// The part of the work that training keeps while live requests wait, in percent.
    pub training_percent: u32,
    /// Upstreams that one node uses, if there are more.
    pub max_upstreams: usize,
    /// How long a caller waits when it does not say.
    pub default_deadline: Duration,
}

impl ServiceSpec {
    /// The limits as dispatch takes them.
    pub fn limits(&self) -> ServiceLimits {
        ServiceLimits {
            max_queued: self.max_queued,
            max_concurrency: self.max_concurrency,
            training_percent: self.training_percent,
        }
    }
}

/// A caller: `[caller NAME]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerSpec {
    /// Its priority class.
    pub class: Class,
    /// Its weight against other callers of its class.
    pub weight: u32,
}

/// A trainer: `[trainer NAME]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrainerSpec {
    /// The service that makes its samples.
    pub service: Name,
    /// How many versions the oldest token may be behind the trainer.
    pub staleness_bound: u64,
    /// Its weight against other trainers.
    pub weight: u32,
    /// A step that nobody pulls for so long is dropped.
    pub abandon_after: Duration,
}
