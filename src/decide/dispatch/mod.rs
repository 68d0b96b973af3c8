//! Dispatch of the requests of one service to its upstreams.

mod dispatch;
mod message;
mod pending;
mod pool;
mod upstream;

pub use dispatch::Dispatch;
pub use message::{
    AttemptReport, CallerWeights, DispatchAction, LoadReport, ServiceLimits, Ticket, UpstreamKey,
    UpstreamView,
};
