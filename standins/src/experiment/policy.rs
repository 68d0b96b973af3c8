//! The policy under test.

use mulberrycourse::Moment;
use mulberrycourse::decide::{
    AttemptReport, Call, CallerWeights, Dispatch, DispatchAction, LoadReport, ServiceLimits,
    Ticket, UpstreamView,
};

use super::Naive;

/// Which policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum PolicyKind {
    /// The decisions of this project.
    Ours,
    /// Round robin, no limits, three retries, first in, first out.
    Naive,
}

impl PolicyKind {
    /// Its name in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::Naive => "naive",
        }
    }
}

/// A policy at work.
#[derive(Debug)]
pub enum Policy {
    /// The decisions of this project.
    Ours(Box<Dispatch>),
    /// The naive version.
    Naive(Naive),
}

impl Policy {
    /// A policy without upstreams. The node is in zone 0.
    pub fn new(kind: PolicyKind, limits: ServiceLimits, shares: CallerWeights, seed: u64) -> Self {
        match kind {
            PolicyKind::Naive => Self::Naive(Naive::default()),
            PolicyKind::Ours => {
                let mut dispatch = Dispatch::new(limits, "zone0".into(), seed);
                dispatch.set_weights(shares);
                Self::Ours(Box::new(dispatch))
            }
        }
    }

    /// Takes in a request.
    pub fn offer(&mut self, call: Call, now: Moment) -> Ticket {
        match self {
            Self::Ours(dispatch) => dispatch.submit(call, now),
            Self::Naive(naive) => naive.offer(call, now),
        }
    }

    /// The one who asked has gone.
    pub fn withdraw(&mut self, ticket: Ticket, now: Moment) {
        match self {
            Self::Ours(dispatch) => dispatch.cancel(ticket, now),
            Self::Naive(naive) => naive.withdraw(ticket),
        }
    }

    /// An attempt ended.
    pub fn ended(&mut self, ticket: Ticket, report: AttemptReport, now: Moment) {
        match self {
            Self::Ours(dispatch) => dispatch.attempt_ended(ticket, report, now),
            Self::Naive(naive) => naive.ended(ticket, report),
        }
    }

    /// The set of upstreams changed.
    pub fn set_upstreams(&mut self, views: &[UpstreamView], now: Moment) {
        match self {
            Self::Ours(dispatch) => dispatch.set_upstreams(views, now),
            Self::Naive(naive) => naive.set_upstreams(views),
        }
    }

    /// An upstream said how loaded it is.
    pub fn load_report(&mut self, upstream: &str, report: LoadReport) {
        match self {
            Self::Ours(dispatch) => dispatch.load_report(upstream, report),
            Self::Naive(_) => {}
        }
    }

    /// Time passed.
    pub fn tick(&mut self, now: Moment) {
        match self {
            Self::Ours(dispatch) => dispatch.tick(now),
            Self::Naive(_) => {}
        }
    }

    /// Takes the actions that have come up.
    pub fn actions(&mut self) -> Vec<DispatchAction> {
        match self {
            Self::Ours(dispatch) => dispatch.take_actions(),
            Self::Naive(naive) => naive.actions(),
        }
    }
}
