//! The calls to the store, each with the request to another node that stands in for it.

use std::time::Duration;

use super::fallback_store::FallbackStore;
use super::messages::{StoreReply, StoreRequest};
use crate::Name;
use crate::edge::store::{KeyValue, RangeResult, Store, StoreFuture, Txn, TxnOutcome, WatchBatch};

/// The longest time that a watch through another node waits: that node may go away meanwhile.
const MAX_PEER_WATCH_WAIT: Duration = Duration::from_millis(2_000);

/// A function that extracts the value of one kind of reply.
macro_rules! extract {
    ($kind:ident) => {
        |reply| match reply {
            StoreReply::$kind(value) => Some(value),
            _ => None,
        }
    };
}

impl Store for FallbackStore {
    fn get(&self, key: &str) -> StoreFuture<Option<KeyValue>> {
        let request = StoreRequest::Get(Name::from(key));
        Box::pin(self.clone().call(self.direct.get(key), request, true, extract!(KeyValue)))
    }

    fn range(&self, prefix: &str) -> StoreFuture<RangeResult> {
        let request = StoreRequest::Range(Name::from(prefix));
        Box::pin(self.clone().call(self.direct.range(prefix), request, true, extract!(Range)))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> StoreFuture<WatchBatch> {
        let direct = self.until_closed(self.direct.watch(prefix, after, wait));
        let request = StoreRequest::Watch {
            prefix: prefix.into(),
            after,
            wait: wait.min(MAX_PEER_WATCH_WAIT),
        };
        Box::pin(self.clone().call(direct, request, false, extract!(Watch)))
    }

    fn txn(&self, txn: Txn) -> StoreFuture<TxnOutcome> {
        let request = StoreRequest::Txn(txn.clone());
        Box::pin(self.clone().call(self.direct.txn(txn), request, false, extract!(Txn)))
    }

    fn grant(&self, ttl: Duration) -> StoreFuture<u64> {
        let request = StoreRequest::Grant(ttl);
        Box::pin(self.clone().call(self.direct.grant(ttl), request, true, extract!(Granted)))
    }

    fn renew(&self, lease: u64) -> StoreFuture<bool> {
        let request = StoreRequest::Renew(lease);
        Box::pin(self.clone().call(self.direct.renew(lease), request, true, extract!(Renewed)))
    }

    fn revoke(&self, lease: u64) -> StoreFuture<()> {
        let extract = |reply| matches!(reply, StoreReply::Revoked).then_some(());
        let request = StoreRequest::Revoke(lease);
        Box::pin(self.clone().call(self.direct.revoke(lease), request, true, extract))
    }
}
