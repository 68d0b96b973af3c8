//! Usage: each node counts what it sends, the holder of duties gathers and reports it.

mod meter;
mod report;
mod sharing;

pub(super) use meter::Usage;
pub(super) use report::report_usage;
pub(super) use sharing::share_counts;
