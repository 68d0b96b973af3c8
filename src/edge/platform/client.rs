//! The client of the platform. It counts each call by its purpose.

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

use super::etcd::{
    Compare, Grant, KeepAlive, KeepAliveReply, LeaseReply, Op, Put, RangeReply, RangeRequest, Txn,
    TxnReply, WatchCreate, WatchMessage, WatchRequest, range_end,
};
use super::{SwapOutcome, VersionedValue, Vm};
use crate::edge::http::{JsonClient, JsonClientError};
use crate::metrics::{ControlPurpose, Metrics, PlatformPurpose};

/// The longest line of a watch response: a value of a megabyte in base64, with a margin.
const MAX_WATCH_LINE_BYTES: usize = 4 << 20;

/// The changes under a watched prefix, in order. `None` is a deletion.
pub type WatchStream =
    std::pin::Pin<Box<dyn Stream<Item = Result<Option<VersionedValue>, JsonClientError>> + Send>>;

/// The client of the platform's key-value service and its list of VMs.
#[derive(Debug, Clone)]
pub struct PlatformClient {
    address: SocketAddr,
    timeout: Duration,
    client: JsonClient,
    metrics: Arc<Metrics>,
    vm_list: Arc<Mutex<Option<VmList>>>,
}

/// The list of VMs that was last read, with its entity tag.
#[derive(Debug, Clone)]
struct VmList {
    tag: HeaderValue,
    vms: Vec<Vm>,
}

impl PlatformClient {
    /// Creates a client. It sends nothing yet.
    pub fn new(address: SocketAddr, timeout: Duration, metrics: Arc<Metrics>) -> Self {
        let client = JsonClient::with_traffic(metrics.traffic(ControlPurpose::Platform));
        Self { address, timeout, client, metrics, vm_list: Arc::default() }
    }

    /// Reads a key.
    pub async fn get(
        &self,
        key: &str,
        purpose: PlatformPurpose,
    ) -> Result<Option<VersionedValue>, JsonClientError> {
        let request = RangeRequest { key: key.into(), range_end: Vec::new() };
        let (found, _) = self.range(request, purpose).await?;
        Ok(found.into_iter().next())
    }

    /// Reads all keys with a prefix, and the store revision of the read.
    pub async fn list(
        &self,
        prefix: &str,
        purpose: PlatformPurpose,
    ) -> Result<(Vec<VersionedValue>, u64), JsonClientError> {
        let request = RangeRequest { key: prefix.into(), range_end: range_end(prefix) };
        self.range(request, purpose).await
    }

    /// Writes `value` if the key's last write has the revision `expected`, where 0 stands for a key
    /// that does not exist. The keys and values in `also` are written in the same transaction.
    pub async fn compare_and_swap(
        &self,
        key: &str,
        expected: u64,
        value: Vec<u8>,
        also: Vec<(String, Vec<u8>)>,
        purpose: PlatformPurpose,
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
            Err(e) => swap_outcome(e),
        }
    }

    /// Writes a key, attached to a lease if one is given.
    pub async fn put(
        &self,
        key: &str,
        value: Vec<u8>,
        lease: Option<i64>,
        purpose: PlatformPurpose,
    ) -> Result<(), JsonClientError> {
        let put = Put { key: key.into(), value, lease };
        let _: serde_json::Value = self.post("/v3/kv/put", &put, purpose).await?;
        Ok(())
    }

    /// Grants a lease of whole seconds, at least one, and returns its id.
    pub async fn grant_lease(
        &self,
        ttl: Duration,
        purpose: PlatformPurpose,
    ) -> Result<i64, JsonClientError> {
        let grant = Grant { ttl: ttl.as_secs().max(1) };
        let reply: LeaseReply = self.post("/v3/lease/grant", &grant, purpose).await?;
        Ok(reply.id)
    }

    /// Renews a lease. Returns false if it had expired.
    pub async fn renew_lease(
        &self,
        lease: i64,
        purpose: PlatformPurpose,
    ) -> Result<bool, JsonClientError> {
        let path = "/v3/lease/keepalive";
        let reply: KeepAliveReply = self.post(path, &KeepAlive { id: lease }, purpose).await?;
        Ok(reply.result.id == lease && reply.result.ttl > 0)
    }

    /// Watches the keys with a prefix, from the revision `from` on.
    pub async fn watch(
        &self,
        prefix: &str,
        from: u64,
        purpose: PlatformPurpose,
    ) -> Result<WatchStream, JsonClientError> {
        self.metrics.count_platform_call(purpose);
        let to = self.address;
        let create_request =
            WatchCreate { key: prefix.into(), range_end: range_end(prefix), start_revision: from };
        let body =
            self.client.post_streaming(to, "/v3/watch", &WatchRequest { create_request }).await?;
        let bytes = BodyDataStream::new(body).map_err(std::io::Error::other);
        let codec = LinesCodec::new_with_max_length(MAX_WATCH_LINE_BYTES);
        let lines = FramedRead::new(StreamReader::new(bytes), codec);
        let interrupted = move |e: String| JsonClientError::Interrupted { to, reason: e };
        let traffic = self.metrics.traffic(ControlPurpose::Platform);
        let changes = lines.flat_map(move |line| {
            traffic.count_received(line.as_ref().map_or(0, String::len));
            let message = line
                .map_err(|e| interrupted(e.to_string()))
                .and_then(|l| serde_json::from_str(&l).map_err(|e| interrupted(e.to_string())));
            futures_util::stream::iter(changes(message))
        });
        Ok(Box::pin(changes))
    }

    /// Reads the list of VMs. The platform sends it only if it has changed, where it supports
    /// entity tags.
    pub async fn vms(&self) -> Result<Vec<Vm>, JsonClientError> {
        self.metrics.count_platform_call(PlatformPurpose::Vms);
        let last = self.vm_list.lock().clone();
        let tag = last.as_ref().map(|l| &l.tag);
        let changed = self.client.get_if_changed(self.address, "/vms", tag, self.timeout).await?;
        let Some((tag, vms)) = changed else {
            let reason = "304 Not Modified without an entity tag in the request".to_owned();
            return last
                .map(|l| l.vms)
                .ok_or(JsonClientError::Malformed { to: self.address, reason });
        };
        *self.vm_list.lock() = tag.map(|tag| VmList { tag, vms: Vec::clone(&vms) });
        Ok(vms)
    }

    /// Reads a range of keys, and the store revision of the read.
    async fn range(
        &self,
        request: RangeRequest,
        purpose: PlatformPurpose,
    ) -> Result<(Vec<VersionedValue>, u64), JsonClientError> {
        let reply: RangeReply = self.post("/v3/kv/range", &request, purpose).await?;
        Ok((reply.kvs.into_iter().map(VersionedValue::from).collect(), reply.header.revision))
    }

    /// Counts and makes a call.
    async fn post<Q: Serialize, T: DeserializeOwned>(
        &self,
        path: &str,
        request: &Q,
        purpose: PlatformPurpose,
    ) -> Result<T, JsonClientError> {
        self.metrics.count_platform_call(purpose);
        self.client.call(self.address, Method::POST, path, request, self.timeout).await
    }
}

/// The changes in one message of a watch.
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

/// The outcome of a compare-and-swap whose call failed. Only a request that was not sent or a
/// refusal by the server shows that nothing was written.
fn swap_outcome(e: JsonClientError) -> SwapOutcome {
    match e {
        JsonClientError::Connect { .. } | JsonClientError::Unencodable { .. } => {
            SwapOutcome::Unsent(e.to_string())
        }
        JsonClientError::Status { status, .. } if status.is_client_error() => {
            SwapOutcome::Unsent(e.to_string())
        }
        JsonClientError::Status { .. }
        | JsonClientError::Interrupted { .. }
        | JsonClientError::Timeout { .. }
        | JsonClientError::Malformed { .. } => SwapOutcome::Unknown(e.to_string()),
    }
}
