//! Claims: a call under an idempotency key runs at most once, whichever nodes it comes to.
//!
//! The key space is divided into partitions. The owner of a partition batches claims
//! and commits many with one compare-and-swap of the partition's head at the platform. A
//! claim is granted only when its commit is known to be applied.

mod attempts;
mod commits;
mod decision;
mod head;
mod index;
mod journal;
mod key;
mod opening;
mod record;
mod resolve;
mod schedule;

pub use attempts::{AttemptState, Attempts, CachedAnswer};
pub use decision::{ClaimDecision, Holder};
pub use head::{FORMAT_VERSION, MAX_SEGMENT_ENTRIES, PartitionHead, SEGMENT_SLOTS, Segment};
pub use index::{CLAIM_RETENTION, ClaimIndex};
pub use journal::{ClaimJournal, JournalAction, SwapResult};
pub use key::{ClaimKey, PARTITION_COUNT, partition_owner};
pub use record::{ClaimOutcome, ClaimRecord, ClaimRequest, JournalEntry};
pub use resolve::{Resolution, RunnerStatus, resolve};
pub use schedule::{CLAIM_TIMEOUT, COMMIT_INTERVAL, CommitSchedule};
