//! The keys of the platform's key-value service. Every revision is kept, so that reads can
//! return an old one.

use std::collections::BTreeMap;

/// The state of a key at a revision.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyVersion {
    /// The revision of the write.
    pub revision: u64,
    /// The value; none if the key was deleted.
    pub value: Option<Vec<u8>>,
    /// The lease that the key is bound to.
    pub lease: Option<i64>,
}

/// A change, as watches report it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Change {
    /// The key.
    pub key: Vec<u8>,
    /// Its state after the change.
    pub entry: KeyVersion,
}

/// All keys at all revisions.
#[derive(Debug, Default)]
pub struct RevisionStore {
    /// The revision of the last write.
    revision: u64,
    /// All states of each key, oldest first.
    keys: BTreeMap<Vec<u8>, Vec<KeyVersion>>,
    /// All changes, oldest first.
    log: Vec<Change>,
}

impl RevisionStore {
    /// The revision of the last write.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Starts a write and returns its revision, which all puts until the next start share.
    pub fn begin_write(&mut self) -> u64 {
        self.revision += 1;
        self.revision
    }

    /// Writes a key or, without a value, deletes it.
    pub fn put(&mut self, key: Vec<u8>, value: Option<Vec<u8>>, lease: Option<i64>) {
        let entry = KeyVersion { revision: self.revision, value, lease };
        self.keys.entry(key.clone()).or_default().push(entry.clone());
        self.log.push(Change { key, entry });
    }

    /// The state of a key as of a revision; none if it did not exist.
    pub fn get(&self, key: &[u8], revision: u64) -> Option<&KeyVersion> {
        let entry = self.keys.get(key)?.iter().rev().find(|e| e.revision <= revision)?;
        entry.value.is_some().then_some(entry)
    }

    /// The keys of a range as of a revision. An empty end means the one key.
    pub fn range(&self, key: &[u8], end: &[u8], revision: u64) -> Vec<(Vec<u8>, KeyVersion)> {
        let keys = self.keys.range(key.to_vec()..).map(|(k, _)| k);
        let inside = |k: &[u8]| if end.is_empty() { k == key } else { k < end };
        keys.take_while(|k| inside(k))
            .filter_map(|k| Some((k.clone(), self.get(k, revision)?.clone())))
            .collect()
    }

    /// The revision of the last write of a key, 0 if it does not exist.
    pub fn key_revision(&self, key: &[u8]) -> u64 {
        self.get(key, self.revision).map_or(0, |e| e.revision)
    }

    /// The changes of a range from a revision on.
    pub fn changes(&self, key: &[u8], end: &[u8], from: u64) -> Vec<Change> {
        let inside = |k: &[u8]| if end.is_empty() { k == key } else { k >= key && k < end };
        let later = self.log.iter().filter(|c| c.entry.revision >= from && inside(&c.key));
        later.cloned().collect()
    }

    /// Deletes the keys that are bound to a lease.
    pub fn expire_lease(&mut self, lease: i64) {
        let revision = self.revision;
        let bound: Vec<Vec<u8>> = self
            .keys
            .keys()
            .filter(|k| self.get(k, revision).is_some_and(|e| e.lease == Some(lease)))
            .cloned()
            .collect();
        if bound.is_empty() {
            return;
        }
        self.begin_write();
        for key in bound {
            self.put(key, None, None);
        }
    }
}
