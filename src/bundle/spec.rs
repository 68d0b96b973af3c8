//! The sections of a bundle.

use std::time::Duration;

use crate::Name;
use crate::decide::{Class, Repeat, ServiceLimits};

/// The kind of upstreams of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceKind {
    /// Model engines.
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// The part of a service that only model engines have.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EngineSpec {
    /// `version`: the weight version that its upstreams must serve.
    pub version: u64,
    /// `fenced`: whether its upstreams refuse orders with an outdated fencing token.
    pub fenced: bool,
    /// `swapping`: maximum share of upstreams that may swap weights at the same time, in percent.
    pub swap_percent: u32,
    /// `loads`: weight loads per second that the weight store can serve, for all upstreams
    /// together.
    pub load_rate: u32,
}

/// A service: `[service NAME]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ServiceSpec {
    /// Its name.
    pub name: Name,
    /// The settings of model engines; none for a plain service.
    pub engine: Option<EngineSpec>,
    /// Whether its calls may be repeated.
    pub repeat: Repeat,
    /// `queue`: maximum number of requests of one class that wait at one node.
    pub max_queued: usize,
    /// `concurrency`: maximum number of attempts in flight from one node to one upstream.
    pub max_concurrency: u32,
    /// `training_floor`: share of the work reserved for training while live requests wait, in
    /// percent.
    pub training_percent: u32,
    /// `subset`: maximum number of upstreams that one node uses.
    pub max_upstreams: usize,
    /// `deadline`: how long a caller waits if its request sets no timeout.
    pub default_deadline: Duration,
}

impl ServiceSpec {
    /// Returns the limits for the dispatcher.
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
    /// `share`: its weight relative to other callers of its class.
    pub weight: u32,
}

/// A trainer: `[trainer NAME]`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TrainerSpec {
    /// The service that generates its samples.
    pub service: Name,
    /// `staleness`: how many versions the oldest token of a sample may be behind the trainer.
    pub staleness_bound: u64,
    /// `share`: its weight relative to other trainers.
    pub weight: u32,
    /// `abandoned`: time after which a step that is not pulled is dropped.
    pub abandon_after: Duration,
}
