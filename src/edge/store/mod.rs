//! The edge to the key-value service that holds what has to be agreed or to last.

mod item;
mod store;

pub use item::{Change, KeyValue, Put, RangeResult, Txn, TxnOutcome, WatchBatch};
pub use store::{Store, StoreError, StoreFuture};
