//! The edge to the duties that one node at a time does for the platform.

mod duty;

pub use duty::{Duties, DutyOutcome, ScaleOrder, Term, UsageReport};
