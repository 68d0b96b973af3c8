//! Decisions under hard load.

mod call_queue;
mod grant_rate;

pub use call_queue::{CallDecision, CallQueue, CallRequest, CallTicket};
