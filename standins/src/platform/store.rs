//! The store itself: every revision is kept, so that it can answer with an old one.

use std::collections::BTreeMap;

/// A value at a revision; none if it was deleted then.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// The revision that wrote it.
    pub revision: u64,
    /// The value.
    pub value: Option<Vec<u8>>,
    /// The lease that it is bound to.
    pub lease: Option<i64>,
}

/// A change, as watches see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: Vec<u8>,
    /// What was written.
    pub entry: Entry,
}

/// The store.
#[derive(Debug, Default)]
pub struct Store {
    revision: u64,
    keys: BTreeMap<Vec<u8>, Vec<Entry>>,
    log: Vec<Change>,
}

impl Store {
    /// The revision of the last write.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Starts a write; all puts until the next one share its revision.
    pub fn begin(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    /// Writes or, without a value, deletes.
    pub fn put(&mut self, key: Vec<u8>, value: Option<Vec<u8>>, lease: Option<i64>) {
        let entry = Entry { revision: self.revision, value, lease };
        self.keys.entry(key.clone()).or_default().push(entry.clone());
        self.log.push(Change { key, entry });
    }

    /// The entry of a key as of a revision.
    pub fn get(&self, key: &[u8], at: u64) -> Option<&Entry> {
        let entry = self.keys.get(key)?.iter().rev().find(|e| e.revision <= at)?;
        entry.value.is_some().then_some(entry)
    }

    /// The entries of a range as of a revision. An empty end means one key.
    pub fn range(&self, key: &[u8], end: &[u8], at: u64) -> Vec<(Vec<u8>, Entry)> {
        let keys = self.keys.range(key.to_vec()..).map(|(k, _)| k);
        let inside = |k: &[u8]| if end.is_empty() { k == key } else { k < end };
        keys.take_while(|k| inside(k))
            .filter_map(|k| Some((k.clone(), self.get(k, at)?.clone())))
            .collect()
    }

    /// The revision of the last write of a key, 0 if it is not there.
    pub fn written(&self, key: &[u8]) -> u64 {
        self.get(key, self.revision).map_or(0, |e| e.revision)
    }

    /// The changes of a range from a revision on, and where to go on.
    pub fn changes(&self, key: &[u8], end: &[u8], from: u64) -> Vec<Change> {
        let inside = |k: &[u8]| if end.is_empty() { k == key } else { k >= key && k < end };
        let later = self.log.iter().filter(|c| c.entry.revision >= from && inside(&c.key));
        later.cloned().collect()
    }

    /// Deletes what is bound to a lease.
    pub fn expire(&mut self, lease: i64) {
        let at = self.revision;
        let bound: Vec<Vec<u8>> = self
            .keys
            .keys()
            .filter(|k| self.get(k, at).is_some_and(|e| e.lease == Some(lease)))
            .cloned()
            .collect();
        if bound.is_empty() {
            return;
        }
        self.begin();
        for key in bound {
            self.put(key, None, None);
        }
    }
}
