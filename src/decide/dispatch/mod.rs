//! Dispatch of one service, and its parts.

mod dispatch;
mod message;
mod pending;
mod pool;
mod upstream;

pub use dispatch::Dispatch;
pub use message::{Action, Limits, LoadReport, Report, Shares, Ticket, UpstreamKey, UpstreamView};
