//! Decisions under hard load.

mod call_queue;
mod event_intervals;
mod grant_rate;
mod move_budget;
mod text_lengths;

pub use call_queue::{CallDecision, CallQueue, CallRequest, CallTicket};
pub use event_intervals::{EventInterval, MachineSpeed, UnevenSpeed};
pub use move_budget::{MoveBudget, move_gain};
pub use text_lengths::{TextLength, TextLengths};
