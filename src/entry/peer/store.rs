//! Each call to the store, and what is asked of another node for it.

use std::time::Duration;

use super::fallback_store::FallbackStore;
use super::messages::{StoreReply, StoreRequest};
use crate::Name;
use crate::edge::store::{Answer, Item, Page, Store, Txn, TxnEnd, Watched};

/// How long a watch through another node waits at most: that node may be gone meanwhile.
const WATCH: Duration = Duration::from_millis(2_000);

macro_rules! reply {
    ($kind:ident) => {
        |reply| match reply {
            StoreReply::$kind(value) => Some(value),
            _ => None,
        }
    };
}

impl Store for FallbackStore {
    fn get(&self, key: &str) -> Answer<Option<Item>> {
        let ask = StoreRequest::Get(Name::from(key));
        Box::pin(self.clone().call(self.direct.get(key), ask, true, reply!(Item)))
    }

    fn range(&self, prefix: &str) -> Answer<Page> {
        let ask = StoreRequest::Range(Name::from(prefix));
        Box::pin(self.clone().call(self.direct.range(prefix), ask, true, reply!(Page)))
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> Answer<Watched> {
        let direct = self.until_closed(self.direct.watch(prefix, after, wait));
        let ask = StoreRequest::Watch { prefix: prefix.into(), after, wait: wait.min(WATCH) };
        Box::pin(self.clone().call(direct, ask, false, reply!(Watched)))
    }

    fn txn(&self, txn: Txn) -> Answer<TxnEnd> {
        let ask = StoreRequest::Txn(txn.clone());
        Box::pin(self.clone().call(self.direct.txn(txn), ask, false, reply!(Txn)))
    }

    fn grant(&self, ttl: Duration) -> Answer<u64> {
        let ask = StoreRequest::Grant(ttl);
        Box::pin(self.clone().call(self.direct.grant(ttl), ask, true, reply!(Lease)))
    }

    fn keep(&self, lease: u64) -> Answer<bool> {
        let ask = StoreRequest::Keep(lease);
        Box::pin(self.clone().call(self.direct.keep(lease), ask, true, reply!(Kept)))
    }

    fn end(&self, lease: u64) -> Answer<()> {
        let open = |reply| matches!(reply, StoreReply::Ended).then_some(());
        let ask = StoreRequest::End(lease);
        Box::pin(self.clone().call(self.direct.end(lease), ask, true, open))
    }
}
