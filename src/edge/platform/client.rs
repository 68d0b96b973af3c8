//! The client of the platform. It counts every call by purpose.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::{Stream, StreamExt, TryStreamExt};
use http::{HeaderValue, Method};
use http_body_util::BodyDataStream;
use parking_lot::Mutex;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio_util::codec::{FramedRead, LinesCodec};
use tokio_util::io::StreamReader;

use super::wire::{
    Compare, Grant, KeepAlive, KeepAliveReply, LeaseReply, Op, Put, RangeReply, RangeRequest, Txn,
    TxnReply, WatchCreate, WatchMessage, WatchRequest, range_end,
};
use super::{SwapOutcome, VersionedValue, Vm};
use crate::edge::http::{JsonClient, JsonClientError};
use crate::metrics::{Metrics, PlatformUse, Purpose};

/// The longest line of a watch: a value of a megabyte in base64, with room.
const WATCH_LINE: usize = 4 << 20;

/// Changes under a watched prefix, in order.
pub type WatchStream =
    std::pin::Pin<Box<dyn Stream<Item = Result<Option<VersionedValue>, JsonClientError>> + Send>>;

/// The platform's key-value service.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    address: SocketAddr,
    timeout: Duration,
    fetch: JsonClient,
    metrics: Arc<Metrics>,
    listed: Arc<Mutex<Option<Listed>>>,
}

/// The list of VMs that was read last, with its entity tag.
#[derive(Debug, Clone)]
struct Listed {
    tag: HeaderValue,
    vms: Vec<Vm>,
}

impl PlatformClient {
    /// A client; nothing is sent yet.
    pub fn new(address: SocketAddr, timeout: Duration, metrics: Arc<Metrics>) -> Self {
        let fetch = JsonClient::with_traffic(metrics.traffic(Purpose::Platform));
        Self { address, timeout, fetch, metrics, listed: Arc::default() }
    }

    /// Reads a key.
    pub async fn get(
        &self,
        key: &str,
        purpose: PlatformUse,
    ) -> Result<Option<VersionedValue>, JsonClientError> {
        let request = RangeRequest { key: key.into(), range_end: Vec::new() };
        let (kept, _) = self.range(request, purpose).await?;
        Ok(kept.into_iter().next())
    }

    /// Reads all keys with a prefix, and the revision that this was at.
    pub async fn list(
        &self,
        prefix: &str,
        purpose: PlatformUse,
    ) -> Result<(Vec<VersionedValue>, u64), JsonClientError> {
        let request = RangeRequest { key: prefix.into(), range_end: range_end(prefix) };
        self.range(request, purpose).await
    }

    /// Writes `value` if the key's last write is `expected`, where 0 means no key.
    /// `also` is written in the same step.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        expected: u64,
        value: Vec<u8>,
        also: Vec<(String, Vec<u8>)>,
        purpose: PlatformUse,
    ) -> SwapOutcome {
        let compare =
            Compare { key: key.into(), target: "MOD", result: "EQUAL", mod_revision: expected };
        let put = |key: &str, value| Op::RequestPut(Put { key: key.into(), value, lease: None });
        let mut success = vec![put(key, value)];
        success.extend(also.into_iter().map(|(key, value)| put(&key, value)));
        let read = RangeRequest { key: key.into(), range_end: Vec::new() };
        let txn = Txn { compare: vec![compare], success, failure: vec![Op::RequestRange(read)] };
        match self.post::<_, TxnReply>("/v3/kv/txn", &txn, purpose).await {
            Ok(reply) if reply.succeeded => SwapOutcome::Done(reply.header.revision),
            Ok(reply) => {
                let range = reply.responses.into_iter().find_map(|r| r.response_range);
                let current = range.and_then(|r| r.kvs.into_iter().next());
                SwapOutcome::Conflict(current.map(VersionedValue::from))
            }
            Err(e) => unsure(e),
        }
    }

    /// Writes a key, bound to a lease if one is given.
    pub async fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        lease: Option<i64>,
        purpose: PlatformUse,
    ) -> Result<(), JsonClientError> {
        let put = Put { key: key.into(), value, lease };
        let _: serde_json::Value = self.post("/v3/kv/put", &put, purpose).await?;
        Ok(())
    }

    /// Opens a lease.
    pub async fn grant_lease(
        &self,
        ttl: Duration,
        purpose: PlatformUse,
    ) -> Result<i64, JsonClientError> {
        let grant = Grant { ttl: ttl.as_secs().max(1) };
        let reply: LeaseReply = self.post("/v3/lease/grant", &grant, purpose).await?;
        Ok(reply.id)
    }

    /// Renews a lease. False if it had lapsed.
    pub async fn renew_lease(
        &self,
        lease: i64,
        purpose: PlatformUse,
    ) -> Result<bool, JsonClientError> {
        let path = "/v3/lease/keepalive";
        let reply: KeepAliveReply = self.post(path, &KeepAlive { id: lease }, purpose).await?;
        Ok(reply.result.id == lease && reply.result.ttl > 0)
    }

    /// Watches the keys with a prefix from a revision on. `None` is a deletion.
    pub async fn watch(
        &self,
        prefix: &str,
        from: u64,
        purpose: PlatformUse,
    ) -> Result<WatchStream, JsonClientError> {
        self.metrics.platform_call(purpose);
        let to = self.address;
        let create_request =
            WatchCreate { key: prefix.into(), range_end: range_end(prefix), start_revision: from };
        let body = self.fetch.open(to, "/v3/watch", &WatchRequest { create_request }).await?;
        let bytes = BodyDataStream::new(body).map_err(std::io::Error::other);
        let codec = LinesCodec::new_with_max_length(WATCH_LINE);
        let lines = FramedRead::new(StreamReader::new(bytes), codec);
        let broken = move |e: String| JsonClientError::Interrupted { to, reason: e };
        let traffic = self.metrics.traffic(Purpose::Platform);
        let changes = lines.flat_map(move |line| {
            traffic.received(line.as_ref().map_or(0, String::len));
            let message = line
                .map_err(|e| broken(e.to_string()))
                .and_then(|l| serde_json::from_str(&l).map_err(|e| broken(e.to_string())));
            futures_util::stream::iter(changes(message))
        });
        Ok(Box::pin(changes))
    }

    /// The list of VMs. It is sent only if it has changed, where the platform gives entity tags.
    pub async fn vms(&self) -> Result<Vec<Vm>, JsonClientError> {
        self.metrics.platform_call(PlatformUse::Vms);
        let listed = self.listed.lock().clone();
        let tag = listed.as_ref().map(|l| &l.tag);
        let changed = self.fetch.get_if_changed(self.address, "/vms", tag, self.timeout).await?;
        let Some((tag, vms)) = changed else {
            let reason = "not modified, but nothing was asked for".to_owned();
            return listed
                .map(|l| l.vms)
                .ok_or(JsonClientError::Malformed { to: self.address, reason });
        };
        *self.listed.lock() = tag.map(|tag| Listed { tag, vms: Vec::clone(&vms) });
        Ok(vms)
    }

    async fn range(
        &self,
        request: RangeRequest,
        purpose: PlatformUse,
    ) -> Result<(Vec<VersionedValue>, u64), JsonClientError> {
        let reply: RangeReply = self.post("/v3/kv/range", &request, purpose).await?;
        Ok((reply.kvs.into_iter().map(VersionedValue::from).collect(), reply.header.revision))
    }

    async fn post<Q: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        request: &Q,
        purpose: PlatformUse,
    ) -> Result<T, JsonClientError> {
        self.metrics.platform_call(purpose);
        self.fetch.call(self.address, Method::POST, path, request, self.timeout).await
    }
}

fn changes(
    message: Result<WatchMessage, JsonClientError>,
) -> Vec<Result<Option<VersionedValue>, JsonClientError>> {
    match message {
        Err(e) => vec![Err(e)],
        Ok(message) => message
            .result
            .events
            .into_iter()
            .map(|event| Ok(event.kind.is_none().then(|| VersionedValue::from(event.kv))))
            .collect(),
    }
}

/// What a failed write says: only a failed connect or a plain refusal is certain.
fn unsure(e: JsonClientError) -> SwapOutcome {
    match e {
        JsonClientError::Connect { .. } => SwapOutcome::Unsent(e.to_string()),
        JsonClientError::Status { status, .. } if status.is_client_error() => {
            SwapOutcome::Unsent(e.to_string())
        }
        JsonClientError::Status { .. }
        | JsonClientError::Interrupted { .. }
        | JsonClientError::Timeout { .. }
        | JsonClientError::Malformed { .. } => SwapOutcome::Unknown(e.to_string()),
    }
}
