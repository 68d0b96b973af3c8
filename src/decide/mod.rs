//! The decisions: pure, synchronous, without I/O or network types.
//!
//! Each takes its state, an event and the present moment, and returns typed
//! actions. The daemon turns sockets and timers into events, and actions into I/O.

mod call;
pub mod claim;
mod dispatch;
mod freshness;
mod label;
mod leaving;
mod limit;
pub mod members;
mod outcome;
mod queue;
mod ranges;
mod rendezvous;
mod retry;
mod rollout;
mod route;
mod step;
mod straggler;

pub use call::{Call, Class, Repeat};
pub use dispatch::{Action, Dispatch, Limits, Report, Ticket, UpstreamView};
pub use freshness::{Prospect, Served, floor};
pub use label::{Label, Span, Unlabelled};
pub use leaving::{Departure, Leaving};
pub use limit::Limit;
pub use outcome::{History, Outcome};
pub use queue::Queue;
pub use ranges::Ranges;
pub use rendezvous::{rank, score};
pub use retry::Budget;
pub use rollout::{Cause, Chains, Rollout, Sight, Stage, StoreShare, Turn, Wanted};
pub use route::{Candidate, pick};
pub use step::{Fill, Group, Prompt, Sample, Slot, Spec, Step};
pub use straggler::{ORDINARY, RAISED, order, priority, window};
