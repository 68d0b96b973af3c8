//! The shell around claims: partitions as home, and asks as runner.

mod ask;
mod claims;
mod run;
mod serve;
mod shard;
mod store;

pub(super) use claims::{Claims, drive, flush};
pub(super) use run::{OnceCall, REPLAYED, once};
pub(super) use serve::{attempt, ended, verdict};
