//! The edge to the key-value service that holds what has to be agreed or to last.

mod item;
mod store;

pub use item::{Change, Item, Page, Put, Txn, TxnEnd, Watched};
pub use store::{Answer, Store, StoreError};
