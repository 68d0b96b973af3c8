//! The keys, leases and history of the service.

use std::collections::BTreeMap;
use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::edge::store::{
    Change, KeyValue, Put, RangeResult, Txn, TxnOutcome, WatchBatch,
};
use tokio::time::Instant;

/// What the service stores.
#[derive(Debug, Default)]
pub(super) struct KvState {
    /// The revision of the last change.
    pub revision: u64,
    /// Each key with the lease that it is bound to, 0 for none.
    items: BTreeMap<Name, (KeyValue, u64)>,
    /// The changes since the last compaction, in order.
    history: Vec<Change>,
    /// The history has no changes up to and including this revision.
    compacted_revision: u64,
    /// When each lease expires, and for how long it is granted.
    leases: BTreeMap<u64, (Instant, Duration)>,
    /// The id of the lease granted last.
    last_lease: u64,
    /// The largest value, in bytes; none for no limit.
    pub max_value: Option<usize>,
}

impl KvState {
    pub(super) fn get(&self, key: &str) -> Option<KeyValue> {
        self.items.get(key).map(|(item, _)| item.clone())
    }

    pub(super) fn range(&self, prefix: &str) -> RangeResult {
        let items = self.items.values().map(|(item, _)| item.clone());
        let items = items.filter(|item| item.key.starts_with(prefix)).collect();
        RangeResult { items, revision: self.revision }
    }

    /// Changes after a revision; none if the history does not reach back that far.
    pub(super) fn watch(&self, prefix: &str, after: u64) -> Option<WatchBatch> {
        if after < self.compacted_revision {
            return None;
        }
        let changes = self.history.iter().filter(|change| {
            let (key, revision) = key_and_revision(change);
            revision > after && key.starts_with(prefix)
        });
        Some(WatchBatch { changes: changes.cloned().collect(), revision: self.revision })
    }

    /// Whether anything under a prefix has changed since the history was dropped.
    pub(super) fn changed_since_compaction(&self, prefix: &str) -> bool {
        self.history
            .iter()
            .map(key_and_revision)
            .any(|(key, revision)| key.starts_with(prefix) && revision > self.compacted_revision)
    }

    /// Writes all or nothing, depending on the expected revisions and the leases.
    pub(super) fn txn(&mut self, txn: &Txn) -> TxnOutcome {
        let current = |key: &str| self.items.get(key).map_or(0, |(item, _)| item.revision);
        if txn.expected.iter().any(|(key, revision)| current(key) != *revision) {
            let there = txn.expected.iter().filter_map(|(key, _)| self.get(key));
            return TxnOutcome::Conflict(there.collect());
        }
        if txn.puts.iter().any(|p| p.lease != 0 && !self.leases.contains_key(&p.lease)) {
            return TxnOutcome::NoLease;
        }
        self.revision += 1;
        for put in &txn.puts {
            self.put(put);
        }
        for key in &txn.removes {
            self.remove(key);
        }
        TxnOutcome::Done(self.revision)
    }

    /// Whether a transaction writes a value above the size limit.
    pub(super) fn too_large(&self, txn: &Txn) -> bool {
        let max_value = self.max_value.unwrap_or(usize::MAX);
        txn.puts.iter().any(|put| put.value.len() > max_value)
    }

    fn put(&mut self, put: &Put) {
        let item =
            KeyValue { key: put.key.clone(), value: put.value.clone(), revision: self.revision };
        self.items.insert(put.key.clone(), (item.clone(), put.lease));
        self.history.push(Change::Put(item));
    }

    fn remove(&mut self, key: &Name) {
        if self.items.remove(key).is_some() {
            self.history.push(Change::Removed { key: key.clone(), revision: self.revision });
        }
    }

    pub(super) fn grant(&mut self, now: Instant, ttl: Duration) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, (now + ttl, ttl));
        self.last_lease
    }

    pub(super) fn renew(&mut self, lease: u64, now: Instant) -> bool {
        self.leases.get_mut(&lease).map(|(at, ttl)| *at = now + *ttl).is_some()
    }

    /// Ends the leases that `is_over` selects, and removes their keys. True if any ended.
    pub(super) fn end_leases(&mut self, is_over: impl Fn(u64, Instant) -> bool) -> bool {
        let over: Vec<u64> = self
            .leases
            .iter()
            .filter(|(id, (at, _))| is_over(**id, *at))
            .map(|(id, _)| *id)
            .collect();
        for lease in &over {
            self.leases.remove(lease);
            let keys: Vec<Name> = self
                .items
                .iter()
                .filter(|(_, (_, l))| l == lease)
                .map(|(key, _)| key.clone())
                .collect();
            self.revision += 1;
            keys.iter().for_each(|key| self.remove(key));
        }
        !over.is_empty()
    }

    pub(super) fn compact(&mut self) {
        self.compacted_revision = self.revision;
        self.history.clear();
    }
}

/// The key and revision of a change.
fn key_and_revision(change: &Change) -> (&Name, u64) {
    match change {
        Change::Put(item) => (&item.key, item.revision),
        Change::Removed { key, revision } => (key, *revision),
    }
}
