//! Claims: a call under an idempotency key runs at most once, whichever nodes it comes to.
//!
//! The key space is cut into partitions. The home of a partition gathers claims
//! and commits many with one compare-and-swap of the partition's head at the
//! platform; only a claim whose commit is known to have taken effect is granted.

mod attempts;
mod commits;
mod head;
mod index;
mod journal;
mod key;
mod opening;
mod pace;
mod record;
mod resolve;
mod verdict;

pub use attempts::{Attempt, Attempts, Kept};
pub use head::{FORMAT, Head, RING, SEGMENT, Segment};
pub use index::{Index, RETENTION};
pub use journal::{Journal, Step, Swapped};
pub use key::{ClaimKey, PARTITIONS, home};
pub use pace::{Pace, SPACING, WAIT};
pub use record::{Ask, End, Entry, Record};
pub use resolve::{Resolution, Word, resolve};
pub use verdict::{Holder, Verdict};
