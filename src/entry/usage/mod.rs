//! Usage accounting: each node counts the requests that it sends, and the leader collects the
//! counts of all nodes and reports them to the platform.

mod meter;
mod report;
mod sharing;

pub(super) use meter::Usage;
pub(super) use report::report_usage;
pub(super) use sharing::share_counts;
