//! The interface to the key-value service that holds whatever nodes must agree on or must not
//! lose.

mod store;
mod types;

pub use store::{Store, StoreError, StoreFuture};
pub use types::{Change, KeyValue, Put, RangeResult, Txn, TxnOutcome, WatchBatch};
