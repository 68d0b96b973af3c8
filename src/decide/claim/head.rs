//! What the platform stores of a partition: one head, and a ring of full segments.

use serde::{Deserialize, Serialize};

use super::JournalEntry;
use crate::Name;

/// Version of the storage format of heads and segments.
pub const FORMAT_VERSION: u8 = 1;

/// Most entries of a segment. An entry takes about 55 bytes, so a full segment stays near
/// 14 KB, and a commit rewrites a tail of half that on average.
pub const MAX_SEGMENT_ENTRIES: usize = 256;

/// Slots for the full segments of a partition. Segment `n` is stored in slot
/// `n % SEGMENT_SLOTS`, so that expired segments are overwritten and none has to be deleted.
pub const SEGMENT_SLOTS: u64 = 2_048;

/// The head of a partition. Every commit replaces it by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartitionHead {
    /// The storage format, [`FORMAT_VERSION`].
    pub format: u8,
    /// Incremented with every change of the owner.
    pub epoch: u64,
    /// The owner of the partition.
    pub owner: Name,
    /// Random number of the commit that wrote this head. It identifies the commit when its
    /// reply was lost.
    pub nonce: u64,
    /// Number of the first segment that is still needed.
    pub first: u64,
    /// Number that the tail gets once it is a segment.
    pub next: u64,
    /// Entries that are in no segment yet.
    pub tail: Vec<JournalEntry>,
}

/// A full segment. It never changes once written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// The segment's number; numbers are consecutive within a partition.
    pub number: u64,
    /// The entries, in the order in which they were committed.
    pub entries: Vec<JournalEntry>,
}

impl PartitionHead {
    /// The head with which a new owner replaces `before`.
    pub(super) fn sealed(before: Option<&Self>, owner: Name, nonce: u64) -> Self {
        match before {
            Some(head) => Self { epoch: head.epoch + 1, owner, nonce, ..head.clone() },
            None => Self {
                format: FORMAT_VERSION,
                epoch: 1,
                owner,
                nonce,
                first: 0,
                next: 0,
                tail: Vec::new(),
            },
        }
    }

    /// Adds entries to the tail. A tail that would overflow becomes a segment first, which
    /// is returned.
    pub(super) fn append(&mut self, entries: &[JournalEntry]) -> Option<Segment> {
        let overflows = self.tail.len() + entries.len() > MAX_SEGMENT_ENTRIES;
        let segment = overflows.then(|| {
            let segment = Segment { number: self.next, entries: std::mem::take(&mut self.tail) };
            self.next += 1;
            segment
        });
        self.tail.extend_from_slice(entries);
        segment
    }
}
