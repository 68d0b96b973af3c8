//! Quarantine of requests that crash the replicas that run them, over all nodes.

mod broken_attempts;
mod entry_quarantine;
mod lost_run;
mod records;
mod replica_checks;
mod request_check;
mod reruns;

pub(super) use entry_quarantine::EntryQuarantine;
pub(super) use lost_run::LostRun;
pub(super) use request_check::{RequestCheck, RequestContent};
