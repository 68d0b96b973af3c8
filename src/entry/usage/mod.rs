//! Usage: each node counts what it sends, the holder of duties gathers and reports it.

mod meter;
mod note;
mod report;

pub(super) use meter::Usage;
pub(super) use note::send_notes;
pub(super) use report::report;
