//! What the holder of duties writes to the store before it acts on it.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::app::App;
use super::keys::LEADER_KEY;
use crate::edge::store::{StoreError, Txn, TxnEnd};

/// A key that only the holder of duties writes, in the term of one fencing token.
#[derive(Debug)]
pub(super) struct FencedValue {
    key: &'static str,
    fence: u64,
    /// The revision that the next write replaces; 0 for none.
    revision: u64,
}

/// What a write came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FencedWrite {
    /// It lies there.
    Done,
    /// Another value does, perhaps from a write of this node that was not answered.
    Conflict,
    /// Another node is holder, or nobody.
    NotLeader,
}

impl FencedValue {
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
    ) -> Result<FencedWrite, StoreError> {
        let value = serde_json::to_vec(value).map_err(|e| StoreError::Refused(e.to_string()))?;
        let txn = Txn::when(self.key, self.revision).and_when(LEADER_KEY, self.fence);
        match app.store.txn(txn.put(self.key, Bytes::from(value))).await? {
            TxnEnd::Done(revision) => {
                self.revision = revision;
                Ok(FencedWrite::Done)
            }
            TxnEnd::Conflict(items) => {
                let mut holders = items.iter().filter(|item| *item.key == *LEADER_KEY);
                let held = holders.any(|item| item.revision == self.fence);
                Ok(if held { FencedWrite::Conflict } else { FencedWrite::NotLeader })
            }
            TxnEnd::NoLease => Ok(FencedWrite::NotLeader),
        }
    }
}
