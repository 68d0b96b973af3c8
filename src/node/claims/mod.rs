//! Claims of calls that run at most once under their idempotency key: this node records the claims
//! of the partitions that it owns, and requests claims for the calls that it runs.

mod claim_guard;
mod claims;
mod journal_store;
mod partition;
mod run_once;
mod server;

pub(super) use claims::{Claims, flush, spawn_partitions};
pub(super) use run_once::{ClaimedCall, REPLAYED_HEADER, run_once};
pub(super) use server::{attempt_state, decide_claim, record_outcome};
