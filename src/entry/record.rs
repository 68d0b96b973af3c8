//! What the holder of duties writes to the store before it acts on it.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::app::App;
use super::keys::HOLDER;
use crate::edge::store::{StoreError, Txn, TxnOutcome};

/// A key that only the holder of duties writes, in the term of one fencing token.
#[derive(Debug)]
pub(super) struct Record {
    key: &'static str,
    fence: u64,
    /// The revision that the next write replaces; 0 for none.
    revision: u64,
}

/// What a write came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Written {
    /// It lies there.
    Done,
    /// Another value does, perhaps from a write of this node that was not answered.
    Other,
    /// Another node is holder, or nobody.
    NotHolder,
}

impl Record {
    pub(super) fn new(key: &'static str, fence: u64) -> Self {
        Self { key, fence, revision: 0 }
    }

    /// Reads the value. One that does not parse is replaced by the next write.
    pub(super) async fn read<T: DeserializeOwned>(
        &mut self,
        app: &App,
    ) -> Result<Option<T>, StoreError> {
        let item = app.store.get(self.key).await?;
        self.revision = item.as_ref().map_or(0, |item| item.revision);
        let parsed = item.map(|item| serde_json::from_slice(&item.value)).transpose();
        Ok(parsed.unwrap_or_else(|e| {
            tracing::error!(event = "value_unreadable", key = self.key, error = %e);
            None
        }))
    }

    /// Replaces the value that was read or written last.
    pub(super) async fn write<T: Serialize>(
        &mut self,
        app: &App,
        value: &T,
    ) -> Result<Written, StoreError> {
        let value = serde_json::to_vec(value).map_err(|e| StoreError::Refused(e.to_string()))?;
        let txn = Txn::when(self.key, self.revision).and_when(HOLDER, self.fence);
        match app.store.txn(txn.put(self.key, Bytes::from(value))).await? {
            TxnOutcome::Done(revision) => {
                self.revision = revision;
                Ok(Written::Done)
            }
            TxnOutcome::Conflict(items) => {
                let mut holders = items.iter().filter(|item| *item.key == *HOLDER);
                let held = holders.any(|item| item.revision == self.fence);
                Ok(if held { Written::Other } else { Written::NotHolder })
            }
            TxnOutcome::NoLease => Ok(Written::NotHolder),
        }
    }
}
