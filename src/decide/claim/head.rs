//! What the platform keeps of a partition: one head, and a ring of full segments.

use serde::{Deserialize, Serialize};

use super::Entry;
use crate::Name;

/// The format of heads and segments.
pub const FORMAT: u8 = 1;

/// Entries of a full segment. An entry takes about 55 bytes, so a segment stays
/// near 14 KB, and a commit rewrites a tail of half that on average.
pub const SEGMENT: usize = 256;

/// Places for full segments of a partition. Segment `n` is kept at place
/// `n % RING`, so that expired ones are overwritten and none has to be deleted.
pub const RING: u64 = 2_048;

/// The head of a partition. Every commit replaces it by compare-and-swap.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Head {
    /// [`FORMAT`].
    pub format: u8,
    /// Grows with every change of the home.
    pub epoch: u64,
    /// The home.
    pub owner: Name,
    /// The commit that wrote this: found again when its reply was lost.
    pub nonce: u64,
    /// The first segment that is still needed.
    pub first: u64,
    /// The number that the tail gets once it is a segment.
    pub next: u64,
    /// Entries that are in no segment yet.
    pub tail: Vec<Entry>,
}

/// A full segment. It never changes once written.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Segment {
    /// Its number.
    pub number: u64,
    /// Its entries, in order.
    pub entries: Vec<Entry>,
}

impl Head {
    /// The head that a new home puts in place of `before`.
    pub(super) fn sealed(before: Option<&Self>, owner: Name, nonce: u64) -> Self {
        match before {
            Some(head) => Self { epoch: head.epoch + 1, owner, nonce, ..head.clone() },
            None => {
                Self { format: FORMAT, epoch: 1, owner, nonce, first: 0, next: 0, tail: Vec::new() }
            }
        }
    }

    /// Adds entries; a tail that would overflow becomes a segment first.
    pub(super) fn append(&mut self, entries: &[Entry]) -> Option<Segment> {
        let over = self.tail.len() + entries.len() > SEGMENT;
        let full = over.then(|| {
            let full = Segment { number: self.next, entries: std::mem::take(&mut self.tail) };
            self.next += 1;
            full
        });
        self.tail.extend_from_slice(entries);
        full
    }
}
