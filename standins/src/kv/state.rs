//! Keys, leases and history.

use std::collections::BTreeMap;

use mulberrycourse::Name;
use mulberrycourse::edge::store::{
    Change, KeyValue, Put, RangeResult, Txn, TxnOutcome, WatchBatch,
};
use tokio::time::Instant;

#[derive(Debug, Default)]
pub(super) struct State {
    pub revision: u64,
    items: BTreeMap<Name, (KeyValue, u64)>,
    history: Vec<Change>,
    /// Changes up to this revision are gone from the history.
    floor: u64,
    leases: BTreeMap<u64, Instant>,
    next_lease: u64,
    /// The most bytes of a value; none for any number.
    pub most: Option<usize>,
}

impl State {
    pub(super) fn get(&self, key: &str) -> Option<KeyValue> {
        self.items.get(key).map(|(item, _)| item.clone())
    }

    pub(super) fn range(&self, prefix: &str) -> RangeResult {
        let items = self.items.values().map(|(item, _)| item.clone());
        let items = items.filter(|item| item.key.starts_with(prefix)).collect();
        RangeResult { items, revision: self.revision }
    }

    /// Changes after a revision; none if that history is gone.
    pub(super) fn watch(&self, prefix: &str, after: u64) -> Option<WatchBatch> {
        if after < self.floor {
            return None;
        }
        let changes = self.history.iter().filter(|change| {
            let (key, revision) = of(change);
            revision > after && key.starts_with(prefix)
        });
        Some(WatchBatch { changes: changes.cloned().collect(), revision: self.revision })
    }

    /// Whether anything under a prefix has changed since the history was dropped.
    pub(super) fn stirred(&self, prefix: &str) -> bool {
        self.history.iter().any(|c| of(c).0.starts_with(prefix) && of(c).1 > self.floor)
    }

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

    /// Whether a value is larger than values may be.
    pub(super) fn too_large(&self, txn: &Txn) -> bool {
        let most = self.most.unwrap_or(usize::MAX);
        txn.puts.iter().any(|put| put.value.len() > most)
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

    pub(super) fn grant(&mut self, until: Instant) -> u64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, until);
        self.next_lease
    }

    pub(super) fn keep(&mut self, lease: u64, until: Instant) -> bool {
        self.leases.get_mut(&lease).map(|at| *at = until).is_some()
    }

    /// Ends the leases that `ends` says, and removes their keys. True if any ended.
    pub(super) fn end(&mut self, ends: impl Fn(u64, Instant) -> bool) -> bool {
        let over: Vec<u64> =
            self.leases.iter().filter(|(id, at)| ends(**id, **at)).map(|(id, _)| *id).collect();
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
        self.floor = self.revision;
        self.history.clear();
    }
}

fn of(change: &Change) -> (&Name, u64) {
    match change {
        Change::Put(item) => (&item.key, item.revision),
        Change::Removed { key, revision } => (key, *revision),
    }
}
