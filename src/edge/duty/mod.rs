//! The interface to the duties: platform calls that only one node at a time, the leader, makes.

mod duty;

pub use duty::{Duties, DutyOutcome, ScaleOrder, Term, UsageReport};
