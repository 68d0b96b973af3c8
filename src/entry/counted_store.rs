//! A store that counts its calls in the metrics.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::keys::{MEMBERSHIP_PREFIX, key_purpose};
use crate::edge::schema::StoreSchema;
use crate::edge::store::{
    KeyValue, RangeResult, Store, StoreError, StoreFuture, Txn, TxnOutcome, WatchBatch,
};
use crate::metrics::{EntryMetrics, StoreCall, StoreEnd, StorePurpose};

/// Passes calls on to a store and counts them by kind, outcome and purpose.
#[derive(Debug)]
pub(super) struct CountedStore {
    store: Arc<dyn Store>,
    schema: Arc<dyn StoreSchema>,
    tally: Arc<EntryMetrics>,
}

impl CountedStore {
    /// Wraps a store to count its calls in `tally`.
    pub(super) fn new(
        store: Arc<dyn Store>,
        schema: Arc<dyn StoreSchema>,
        tally: Arc<EntryMetrics>,
    ) -> Self {
        Self { store, schema, tally }
    }

    /// Returns the purpose of a call by its key or prefix.
    fn purpose(&self, key: &str) -> StorePurpose {
        let schema = &self.schema;
        match key {
            MEMBERSHIP_PREFIX => StorePurpose::Nodes,
            key if key.starts_with(schema.replicas_prefix()) => StorePurpose::Replicas,
            key if key.starts_with(schema.versions_prefix()) => StorePurpose::Versions,
            key if key.starts_with(schema.retirements_prefix()) => StorePurpose::Retirements,
            key if key.starts_with(schema.routes_prefix()) => StorePurpose::Routes,
            key => key_purpose(key),
        }
    }

    /// Returns the purpose of a transaction, which is that of the first key it changes. The results
    /// of a job are written before the record of its owner.
    fn txn_purpose(&self, txn: &Txn) -> StorePurpose {
        let put = txn.puts.iter().map(|put| &*put.key);
        let mut keys = put.chain(txn.removes.iter().map(|key| &**key));
        keys.next().map_or(StorePurpose::Other, |key| self.purpose(key))
    }

    /// Counts a call once it is answered, and measures its duration unless it is a watch or fails.
    fn count<T: Send + 'static>(
        &self,
        call: StoreCall,
        purpose: StorePurpose,
        answer: StoreFuture<T>,
    ) -> StoreFuture<T> {
        let tally = self.tally.clone();
        Box::pin(async move {
            let started = Instant::now();
            let result = answer.await;
            let end = match &result {
                Ok(_) => StoreEnd::Answered,
                Err(StoreError::Refused(_)) => StoreEnd::Refused,
                Err(StoreError::Unknown(_)) => StoreEnd::Unknown,
                Err(StoreError::Compacted) => StoreEnd::Compacted,
            };
            let timed = result.is_ok() && call != StoreCall::Watch;
            tally.count_store_call(call, end, purpose, timed.then(|| started.elapsed()));
            result
        })
    }
}

impl Store for CountedStore {
    fn get(&self, key: &str) -> StoreFuture<Option<KeyValue>> {
        self.count(StoreCall::Get, self.purpose(key), self.store.get(key))
    }

    fn range(&self, prefix: &str) -> StoreFuture<RangeResult> {
        self.count(StoreCall::Range, self.purpose(prefix), self.store.range(prefix))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> StoreFuture<WatchBatch> {
        let answer = self.store.watch(prefix, after, wait);
        self.count(StoreCall::Watch, self.purpose(prefix), answer)
    }

    fn txn(&self, txn: Txn) -> StoreFuture<TxnOutcome> {
        self.count(StoreCall::Txn, self.txn_purpose(&txn), self.store.txn(txn))
    }

    fn grant(&self, ttl: Duration) -> StoreFuture<u64> {
        self.count(StoreCall::Grant, StorePurpose::Lease, self.store.grant(ttl))
    }

    fn renew(&self, lease: u64) -> StoreFuture<bool> {
        self.count(StoreCall::Keep, StorePurpose::Lease, self.store.renew(lease))
    }

    fn revoke(&self, lease: u64) -> StoreFuture<()> {
        self.count(StoreCall::End, StorePurpose::Lease, self.store.revoke(lease))
    }
}
