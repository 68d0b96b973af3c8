//! What may be ended to make room for others when a limit is reached.

use std::collections::BTreeMap;
use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Who is ended first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReclaimRank {
    /// Before all others.
    First,
    /// Only if no entry of the first rank may be ended.
    Last,
}

/// Something that may be ended.
#[derive(Debug)]
pub struct Reclaimable {
    end: CancellationToken,
    /// What it occupies.
    permit: Mutex<Option<OwnedSemaphorePermit>>,
}

impl Reclaimable {
    /// Creates one that occupies a permit until it is dropped.
    pub fn new(permit: Option<OwnedSemaphorePermit>) -> Arc<Self> {
        Arc::new(Self { end: CancellationToken::new(), permit: Mutex::new(permit) })
    }

    /// Cancelled when it has to end.
    pub fn end(&self) -> &CancellationToken {
        &self.end
    }

    /// Returns the permit, in whose place it occupies another until it has ended.
    pub(super) fn replace_permit(
        &self,
        permit: OwnedSemaphorePermit,
    ) -> Option<OwnedSemaphorePermit> {
        self.permit.lock().replace(permit)
    }
}

/// Entries that may be ended to make room, the one that has waited longest first. Clones share it.
///
/// Load pattern: clients that hold connections or memory and never finish a request. Refusing
/// everybody else until their time limits run out would let a few of them keep all others out.
#[derive(Debug, Clone, Default)]
pub struct ReclaimList {
    entries: Arc<Mutex<Entries>>,
}

#[derive(Debug, Default)]
struct Entries {
    next_id: u64,
    first: BTreeMap<Key, Arc<Reclaimable>>,
    last: BTreeMap<Key, Arc<Reclaimable>>,
}

/// From when on the entry may be ended, and a unique id.
type Key = (Instant, u64);

/// An entry of a list. It is removed when this is dropped.
#[derive(Debug)]
pub struct ReclaimEntry {
    list: ReclaimList,
    rank: ReclaimRank,
    key: Key,
}

impl ReclaimList {
    /// Adds an entry that may be ended from `from` on.
    pub fn add(
        &self,
        rank: ReclaimRank,
        from: Instant,
        reclaimable: Arc<Reclaimable>,
    ) -> ReclaimEntry {
        let mut entries = self.entries.lock();
        entries.next_id += 1;
        let key = (from, entries.next_id);
        entries.ranked(rank).insert(key, reclaimable);
        ReclaimEntry { list: self.clone(), rank, key }
    }

    /// Ends the entry that has waited longest, and returns it. `None` if none may be ended yet.
    pub fn reclaim(&self) -> Option<Arc<Reclaimable>> {
        let now = Instant::now();
        let mut entries = self.entries.lock();
        for rank in [ReclaimRank::First, ReclaimRank::Last] {
            let oldest = entries.ranked(rank).first_entry();
            if let Some(oldest) = oldest.filter(|entry| entry.key().0 <= now) {
                let oldest = oldest.remove();
                oldest.end.cancel();
                return Some(oldest);
            }
        }
        None
    }
}

impl Entries {
    fn ranked(&mut self, rank: ReclaimRank) -> &mut BTreeMap<Key, Arc<Reclaimable>> {
        match rank {
            ReclaimRank::First => &mut self.first,
            ReclaimRank::Last => &mut self.last,
        }
    }
}

impl Drop for ReclaimEntry {
    fn drop(&mut self) {
        self.list.entries.lock().ranked(self.rank).remove(&self.key);
    }
}
