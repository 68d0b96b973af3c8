//! A store whose calls are counted.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::{Answer, Item, Page, Store, StoreError, Txn, TxnEnd, Watched};
use crate::metrics::{StoreCall, StoreEnd, Tally};

/// The store behind it, and where calls are counted.
#[derive(Debug)]
pub struct Counted {
    store: Arc<dyn Store>,
    tally: Arc<Tally>,
}

impl Counted {
    /// Counts the calls to a store.
    pub fn new(store: Arc<dyn Store>, tally: Arc<Tally>) -> Self {
        Self { store, tally }
    }

    fn count<T: Send + 'static>(&self, call: StoreCall, answer: Answer<T>) -> Answer<T> {
        let tally = self.tally.clone();
        Box::pin(async move {
            let begun = Instant::now();
            let result = answer.await;
            let end = match &result {
                Ok(_) => StoreEnd::Answered,
                Err(StoreError::Refused(_)) => StoreEnd::Refused,
                Err(StoreError::Unknown(_)) => StoreEnd::Unknown,
                Err(StoreError::Compacted) => StoreEnd::Compacted,
            };
            let timed = result.is_ok() && call != StoreCall::Watch;
            tally.store(call, end, timed.then(|| begun.elapsed()));
            result
        })
    }
}

impl Store for Counted {
    fn get(&self, key: &str) -> Answer<Option<Item>> {
        self.count(StoreCall::Get, self.store.get(key))
    }

    fn range(&self, prefix: &str) -> Answer<Page> {
        self.count(StoreCall::Range, self.store.range(prefix))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Answer<Watched> {
        self.count(StoreCall::Watch, self.store.watch(prefix, after, wait))
    }

    fn txn(&self, txn: Txn) -> Answer<TxnEnd> {
        self.count(StoreCall::Txn, self.store.txn(txn))
    }

    fn grant(&self, ttl: Duration) -> Answer<u64> {
        self.count(StoreCall::Grant, self.store.grant(ttl))
    }

    fn keep(&self, lease: u64) -> Answer<bool> {
        self.count(StoreCall::Keep, self.store.keep(lease))
    }

    fn end(&self, lease: u64) -> Answer<()> {
        self.count(StoreCall::End, self.store.end(lease))
    }
}
