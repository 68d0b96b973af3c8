//! The dispatch policies that are compared.

use mulberrycourse::Moment;
use mulberrycourse::decide::{
    AttemptReport, Call, CallerWeights, Dispatch, DispatchAction, LoadReport, ServiceLimits,
    Ticket, UpstreamView,
};

use super::NaiveDispatch;

/// Selects a dispatch policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum PolicyKind {
    /// The `Dispatch` of mulberrycourse.
    Ours,
    /// Round robin without limits, three retries, first in, first out.
    Naive,
}

impl PolicyKind {
    /// The name in results.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ours => "ours",
            Self::Naive => "naive",
        }
    }
}

/// The state of a dispatch policy.
#[derive(Debug)]
pub enum Policy {
    /// The `Dispatch` of mulberrycourse.
    Ours(Box<Dispatch>),
    /// The naive baseline.
    Naive(NaiveDispatch),
}

impl Policy {
    /// Creates a policy without upstreams, for a node in zone 0.
    pub fn new(kind: PolicyKind, limits: ServiceLimits, weights: CallerWeights, seed: u64) -> Self {
        match kind {
            PolicyKind::Naive => Self::Naive(NaiveDispatch::default()),
            PolicyKind::Ours => {
                let mut dispatch = Dispatch::new(limits, "zone0".into(), seed);
                dispatch.set_weights(weights);
                Self::Ours(Box::new(dispatch))
            }
        }
    }

    /// Submits a request.
    pub fn submit(&mut self, call: Call, now: Moment) -> Ticket {
        match self {
            Self::Ours(dispatch) => dispatch.submit(call, now),
            Self::Naive(naive) => naive.submit(call, now),
        }
    }

    /// Cancels a request whose caller no longer waits.
    pub fn cancel(&mut self, ticket: Ticket, now: Moment) {
        match self {
            Self::Ours(dispatch) => dispatch.cancel(ticket, now),
            Self::Naive(naive) => naive.cancel(ticket),
        }
    }

    /// Records the end of an attempt.
    pub fn attempt_ended(&mut self, ticket: Ticket, report: AttemptReport, now: Moment) {
        match self {
            Self::Ours(dispatch) => dispatch.attempt_ended(ticket, report, now),
            Self::Naive(naive) => naive.attempt_ended(ticket, report),
        }
    }

    /// Sets the upstreams.
    pub fn set_upstreams(&mut self, views: &[UpstreamView], now: Moment) {
        match self {
            Self::Ours(dispatch) => dispatch.set_upstreams(views, now),
            Self::Naive(naive) => naive.set_upstreams(views),
        }
    }

    /// Records the load that an upstream reports; the naive policy ignores it.
    pub fn load_report(&mut self, upstream: &str, report: LoadReport) {
        match self {
            Self::Ours(dispatch) => dispatch.load_report(upstream, report),
            Self::Naive(_) => {}
        }
    }

    /// Lets time-dependent decisions run; the naive policy has none.
    pub fn tick(&mut self, now: Moment) {
        match self {
            Self::Ours(dispatch) => dispatch.tick(now),
            Self::Naive(_) => {}
        }
    }

    /// Returns and clears the pending actions.
    pub fn take_actions(&mut self) -> Vec<DispatchAction> {
        match self {
            Self::Ours(dispatch) => dispatch.take_actions(),
            Self::Naive(naive) => naive.take_actions(),
        }
    }
}
