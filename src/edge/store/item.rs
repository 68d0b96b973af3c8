//! What goes into and comes out of the store.

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::Name;

/// A key as it stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeyValue {
    /// The key.
    pub key: Name,
    /// The value.
    pub value: Bytes,
    /// The revision of the last write.
    pub revision: u64,
}

/// A change of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// It was written.
    Put(KeyValue),
    /// It was removed.
    Removed {
        /// The key.
        key: Name,
        /// The revision of the removal.
        revision: u64,
    },
}

impl Change {
    /// The bytes of its value.
    pub fn value_bytes(&self) -> usize {
        match self {
            Self::Put(item) => item.value.len(),
            Self::Removed { .. } => 0,
        }
    }

    /// The revision that it was made at.
    pub fn revision(&self) -> u64 {
        match self {
            Self::Put(item) => item.revision,
            Self::Removed { revision, .. } => *revision,
        }
    }
}

/// All keys under a prefix.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RangeResult {
    /// The keys.
    pub items: Vec<KeyValue>,
    /// The revision from which a watch goes on without a gap.
    pub revision: u64,
}

/// The answer of a watch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WatchBatch {
    /// The changes, oldest first; none if the wait was over.
    pub changes: Vec<Change>,
    /// The revision to go on from.
    pub revision: u64,
}

/// A key to write.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Put {
    /// The key.
    pub key: Name,
    /// The value.
    pub value: Bytes,
    /// The lease whose end removes the key; 0 for none.
    pub lease: u64,
}

/// A write of all or nothing.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Txn {
    /// Keys and the revisions they must have; revision 0 for a key that must not exist.
    pub expected: Vec<(Name, u64)>,
    /// What is written then.
    pub puts: Vec<Put>,
    /// What is removed then.
    pub removes: Vec<Name>,
}

impl Txn {
    /// A write that depends on one key's revision.
    pub fn when(key: impl Into<Name>, revision: u64) -> Self {
        Self { expected: vec![(key.into(), revision)], ..Self::default() }
    }

    /// Also expects this revision of a key.
    pub fn and_when(mut self, key: impl Into<Name>, revision: u64) -> Self {
        self.expected.push((key.into(), revision));
        self
    }

    /// Also writes a key that has no lease.
    pub fn put(self, key: impl Into<Name>, value: impl Into<Bytes>) -> Self {
        self.put_leased(key, value, 0)
    }

    /// Also writes a key under a lease.
    pub fn put_leased(mut self, key: impl Into<Name>, value: impl Into<Bytes>, lease: u64) -> Self {
        self.puts.push(Put { key: key.into(), value: value.into(), lease });
        self
    }

    /// Also removes a key.
    pub fn remove(mut self, key: impl Into<Name>) -> Self {
        self.removes.push(key.into());
        self
    }
}

/// The end of a write that was answered.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum TxnOutcome {
    /// It took effect, at this revision.
    Done(u64),
    /// An expected revision differed; nothing was written. The expected keys as they are.
    Conflict(Vec<KeyValue>),
    /// The lease has ended; nothing was written.
    NoLease,
}
