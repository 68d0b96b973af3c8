//! The port.

use std::time::Duration;

use futures_util::future::BoxFuture;
use serde::{Deserialize, Serialize};

use super::{KeyValue, RangeResult, Txn, TxnOutcome, WatchBatch};

/// Why a call to the store has no good answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error, Serialize, Deserialize)]
pub enum StoreError {
    /// Nothing was done: it was not sent, or it was refused.
    #[error("the store did nothing: {0}")]
    Refused(String),
    /// It may have been done, or may be done later.
    #[error("the store's answer is not known: {0}")]
    Unknown(String),
    /// The history from the wanted revision on is gone.
    #[error("the store's history from there on is gone")]
    Compacted,
}

/// What a call to the store comes to.
pub type StoreFuture<T> = BoxFuture<'static, Result<T, StoreError>>;

/// The key-value service. Answers are linearizable; each call has its own time limit.
pub trait Store: std::fmt::Debug + Send + Sync + 'static {
    /// The key, if it exists.
    fn get(&self, key: &str) -> StoreFuture<Option<KeyValue>>;
    /// All keys under a prefix, over as many pages as it takes.
    fn range(&self, prefix: &str) -> StoreFuture<RangeResult>;
    /// Changes under a prefix after a revision, as soon as there is one or `wait` is over.
    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> StoreFuture<WatchBatch>;
    /// Writes under conditions.
    fn txn(&self, txn: Txn) -> StoreFuture<TxnOutcome>;
    /// Opens a lease and returns its number.
    fn grant(&self, ttl: Duration) -> StoreFuture<u64>;
    /// Renews a lease; false if it has ended.
    fn renew(&self, lease: u64) -> StoreFuture<bool>;
    /// Ends a lease, and with it its keys.
    fn revoke(&self, lease: u64) -> StoreFuture<()>;
}
