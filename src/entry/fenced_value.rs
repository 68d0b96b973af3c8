//! A value that the leader writes to the store before it acts on it.

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::app::App;
use super::keys::LEADER_KEY;
use crate::edge::store::{StoreError, Txn, TxnOutcome};

/// A key that only the leader writes, within the term of one fencing token.
#[derive(Debug)]
pub(super) struct FencedValue {
    key: &'static str,
    fencing_token: u64,
    /// The revision that the next write replaces; 0 if the key does not exist.
    revision: u64,
}

/// The result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FencedWrite {
    /// The value is written.
    Done,
    /// The key holds another value, possibly from an earlier write of this node whose answer
    /// was lost.
    Conflict,
    /// Another node is the leader, or there is none.
    NotLeader,
}

impl FencedValue {
    /// A value that is not read yet. [`Self::read`] comes before the first write.
    pub(super) fn new(key: &'static str, fencing_token: u64) -> Self {
        Self { key, fencing_token, revision: 0 }
    }

    /// Reads the value. One that does not parse is logged and taken for none; the next write
    /// replaces it.
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

    /// Replaces the value that was read or written last, provided that nobody else has changed
    /// it and this node is still the leader.
    pub(super) async fn write<T: Serialize>(
        &mut self,
        app: &App,
        value: &T,
    ) -> Result<FencedWrite, StoreError> {
        let value = serde_json::to_vec(value).map_err(|e| StoreError::Refused(e.to_string()))?;
        let txn = Txn::when(self.key, self.revision).and_when(LEADER_KEY, self.fencing_token);
        match app.store.txn(txn.put(self.key, Bytes::from(value))).await? {
            TxnOutcome::Done(revision) => {
                self.revision = revision;
                Ok(FencedWrite::Done)
            }
            TxnOutcome::Conflict(items) => {
                let mut leaders = items.iter().filter(|item| *item.key == *LEADER_KEY);
                let leading = leaders.any(|item| item.revision == self.fencing_token);
                Ok(if leading { FencedWrite::Conflict } else { FencedWrite::NotLeader })
            }
            TxnOutcome::NoLease => Ok(FencedWrite::NotLeader),
        }
    }
}
