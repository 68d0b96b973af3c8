//! Decisions under hard load.

mod event_intervals;
mod move_budget;
mod text_lengths;

pub use event_intervals::{EventInterval, MachineSpeed, UnevenSpeed};
pub use move_budget::{MoveBudget, move_gain};
pub use text_lengths::{TextLength, TextLengths};
