//! Keys, values, changes and transactions of the store.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::Name;

/// A key with its current value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: Name,
    /// The value.
    pub value: Bytes,
    /// The revision of the last write.
    pub revision: u64,
}

/// One change of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// The key was written.
    Put(KeyValue),
    /// The key was removed.
    Removed {
        /// The key.
        key: Name,
        /// The revision of the removal.
        revision: u64,
    },
}

impl Change {
    /// The size of the new value in bytes, 0 for a removal.
    pub fn value_bytes(&self) -> usize {
        match self {
            Self::Put(item) => item.value.len(),
            Self::Removed { .. } => 0,
        }
    }

    /// The store revision of the change.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Put(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// The result of a range read: all keys under a prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeResult {
    /// The keys and their values.
    pub items: Vec<KeyValue>,
    /// The revision from which a watch continues without a gap.
    pub revision: u64,
}

/// The result of one watch call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchBatch {
    /// The changes, oldest first. Empty if there was none within the wait.
    pub changes: Vec<Change>,
    /// The revision from which the next watch continues.
    pub revision: u64,
}

/// A write of one key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The key.
    pub key: Name,
    /// The value.
    pub value: Bytes,
    /// The lease that the key is removed with when it ends, 0 for none.
    pub lease: u64,
}

/// A transaction: all of its writes take effect, or none does.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// The revisions that keys must have. Revision 0 stands for a key that must not exist.
    pub expected: Vec<(Name, u64)>,
    /// The writes, if all revisions are as expected.
    pub puts: Vec<Put>,
    /// The keys to remove, if all revisions are as expected.
    pub removes: Vec<Name>,
}

impl Txn {
    /// Creates a transaction that depends on one key's revision.
    pub fn when(key: impl Into<Name>, revision: u64) -> Self {
        Self { expected: vec![(key.into(), revision)], ..Self::default() }
    }

    /// Adds the condition that a key has this revision.
    pub fn and_when(mut self, key: impl Into<Name>, revision: u64) -> Self {
        self.expected.push((key.into(), revision));
        self
    }

    /// Adds the write of a key without a lease.
    pub fn put(self, key: impl Into<Name>, value: impl Into<Bytes>) -> Self {
        self.put_leased(key, value, 0)
    }

    /// Adds the write of a key under a lease.
    pub fn put_leased(mut self, key: impl Into<Name>, value: impl Into<Bytes>, lease: u64) -> Self {
        self.puts.push(Put { key: key.into(), value: value.into(), lease });
        self
    }

    /// Adds the removal of a key.
    pub fn remove(mut self, key: impl Into<Name>) -> Self {
        self.removes.push(key.into());
        self
    }
}

/// The outcome of a transaction that the store has answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TxnOutcome {
    /// It took effect at this revision.
    Done(u64),
    /// An expected revision differed, so nothing was written. Holds the expected keys as they are.
    Conflict(Vec<KeyValue>),
    /// The lease has ended, so nothing was written.
    NoLease,
}
