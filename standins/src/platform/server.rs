//! The platform stand-in as an HTTP server, and the handle through which tests control it.

use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{ETAG, HeaderValue, IF_NONE_MATCH};
use http::{Request, StatusCode};
use hyper::body::Incoming;
use mulberrycourse::edge::http::{read_body, streamed_body};
use mulberrycourse::edge::platform::Vm;
use parking_lot::Mutex;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};
use tokio::sync::watch;
use tokio::time::Instant;

use super::store::Change;
use super::wire::{
    Compare, GrantRequest, KeepAliveRequest, Op, PutRequest, RangeRequest, TxnRequest,
    WatchRequest, header, key_value,
};
use super::{Faults, RevisionStore};
use crate::server::{ConnectionCut, Server, Service, ServiceResult, json_response, text_response};

/// The largest request: a value of [`MAX_VALUE_BYTES`] in base64, with room for the other fields.
const MAX_REQUEST_BYTES: usize = 2 << 20;
/// The largest value that is accepted.
const MAX_VALUE_BYTES: usize = 1 << 20;
/// How often expired leases are removed.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// A granted lease.
#[derive(Debug)]
struct LeaseState {
    ttl: Duration,
    expires_at: Instant,
}

/// The calls of one second, counted from the start of the stand-in.
#[derive(Debug, Default)]
struct CallRate {
    second: u64,
    reads: u32,
    writes: u32,
}

/// The state behind the lock.
#[derive(Debug, Default)]
struct Inner {
    store: RevisionStore,
    faults: Faults,
    leases: BTreeMap<i64, LeaseState>,
    /// The lists of VMs, each with the time when it was set.
    vms: Vec<(Instant, Vec<Vm>)>,
    /// The number of calls of each path.
    calls: BTreeMap<String, u64>,
    rate: CallRate,
}

/// What the server, the watches and the test's handle share.
#[derive(Debug)]
struct Shared {
    inner: Mutex<Inner>,
    /// Counts changes of keys and faults, to wake the watches.
    changed: watch::Sender<u64>,
    started: Instant,
}

/// A running platform stand-in.
#[derive(Debug)]
pub struct Platform {
    shared: Arc<Shared>,
    server: Server,
}

impl Platform {
    /// Binds an address and serves; port 0 takes a free one.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let (changed, _) = watch::channel(0);
        let shared = Arc::new(Shared { inner: Mutex::default(), changed, started: Instant::now() });
        let server = Server::bind(address, shared.clone()).await?;
        tokio::spawn(expire_leases(Arc::downgrade(&shared)));
        Ok(Self { shared, server })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Sets the list of VMs.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.shared.inner.lock().vms.push((Instant::now(), vms));
    }

    /// The number of calls of each path.
    pub fn call_counts(&self) -> BTreeMap<String, u64> {
        self.shared.inner.lock().calls.clone()
    }

    /// The present value of a key as text, or none if it does not exist.
    pub fn value(&self, key: &str) -> Option<String> {
        let inner = self.shared.inner.lock();
        let entry = inner.store.get(key.as_bytes(), inner.store.revision())?;
        Some(String::from_utf8_lossy(entry.value.as_deref()?).into_owned())
    }
}

impl Shared {
    fn set_faults(&self, faults: Faults) {
        self.inner.lock().faults = faults;
        self.changed.send_modify(|n| *n += 1);
    }

    fn range(&self, range: &RangeRequest) -> Value {
        let inner = self.inner.lock();
        inner.read(range)
    }

    fn put(&self, put: PutRequest) -> ServiceResult {
        let mut inner = self.inner.lock();
        if put.value.len() > MAX_VALUE_BYTES {
            return text_response(StatusCode::BAD_REQUEST, "value is larger than 1 MiB");
        }
        inner.store.begin_write();
        inner.write(put);
        let reply = json!({ "header": header(inner.store.revision()) });
        self.finish_write(&mut inner, &reply)
    }

    fn txn(&self, txn: TxnRequest) -> ServiceResult {
        let mut inner = self.inner.lock();
        let matches = |c: &Compare| {
            inner.store.key_revision(&c.key) == u64::try_from(c.mod_revision).unwrap_or(u64::MAX)
        };
        let succeeded = txn.compare.iter().all(matches);
        let ops = if succeeded { txn.success } else { txn.failure };
        let writes = ops.iter().any(|op| !matches!(op, Op::RequestRange(_)));
        if writes {
            inner.store.begin_write();
        }
        let mut responses = Vec::new();
        for op in ops {
            responses.push(match op {
                Op::RequestRange(range) => json!({ "response_range": inner.read(&range) }),
                Op::RequestPut(put) => {
                    inner.write(put);
                    json!({ "response_put": {} })
                }
                Op::RequestDeleteRange(range) => {
                    inner.delete(&range);
                    json!({ "response_delete_range": {} })
                }
            });
        }
        let revision = inner.store.revision();
        let reply =
            json!({ "header": header(revision), "succeeded": succeeded, "responses": responses });
        if writes {
            self.finish_write(&mut inner, &reply)
        } else {
            json_response(StatusCode::OK, &reply)
        }
    }

    /// Wakes the watches and responds to a write, unless its response is to be lost.
    fn finish_write(&self, inner: &mut Inner, reply: &Value) -> ServiceResult {
        self.changed.send_modify(|n| *n += 1);
        if inner.faults.lose_replies > 0 {
            inner.faults.lose_replies -= 1;
            return Err(ConnectionCut);
        }
        json_response(StatusCode::OK, reply)
    }

    fn grant(&self, grant: &GrantRequest) -> ServiceResult {
        let mut inner = self.inner.lock();
        let id = inner.leases.keys().next_back().map_or(1, |last| last + 1);
        let ttl = Duration::from_secs(grant.ttl.unsigned_abs());
        inner.leases.insert(id, LeaseState { ttl, expires_at: Instant::now() + ttl });
        let reply = json!({ "ID": id.to_string(), "TTL": grant.ttl.to_string() });
        self.finish_write(&mut inner, &reply)
    }

    fn renew(&self, lease: &KeepAliveRequest) -> ServiceResult {
        let mut inner = self.inner.lock();
        let ttl = inner.leases.get_mut(&lease.id).map_or(0, |l| {
            l.expires_at = Instant::now() + l.ttl;
            l.ttl.as_secs()
        });
        let result = json!({ "ID": lease.id.to_string(), "TTL": ttl.to_string() });
        json_response(StatusCode::OK, &json!({ "result": result }))
    }

    /// The list of VMs with an entity tag; without a body if `known` is that tag.
    fn vms(&self, known: Option<&HeaderValue>) -> ServiceResult {
        let inner = self.inner.lock();
        let lag = Duration::from_millis(inner.faults.vms_lag_ms);
        let visible = inner.vms.iter().rev().find(|(set_at, _)| set_at.elapsed() >= lag);
        let vms = visible.map(|(_, vms)| vms.clone()).unwrap_or_default();
        let mut response = json_response(StatusCode::OK, &vms)?;
        let mut hasher = DefaultHasher::new();
        serde_json::to_vec(&vms).unwrap_or_default().hash(&mut hasher);
        let tag = format!("\"{:016x}\"", hasher.finish());
        let tag = HeaderValue::from_str(&tag).map_err(|_| ConnectionCut)?;
        if known == Some(&tag) {
            response = text_response(StatusCode::NOT_MODIFIED, "")?;
        }
        response.headers_mut().insert(ETAG, tag);
        Ok(response)
    }

    /// Streams the changes of a range until the client leaves or the platform goes down.
    fn watch(self: &Arc<Self>, watch: WatchRequest) -> ServiceResult {
        let (mut sender, body) = streamed_body(16);
        let shared = self.clone();
        let mut changed = self.changed.subscribe();
        let create = watch.create_request;
        let mut next = match create.start_revision {
            0 => self.inner.lock().store.revision() + 1,
            from => from.unsigned_abs(),
        };
        tokio::spawn(async move {
            loop {
                if shared.inner.lock().faults.down {
                    return;
                }
                let (changes, revision) = {
                    let inner = shared.inner.lock();
                    let range = &create.range;
                    (
                        inner.store.changes(&range.key, &range.range_end, next),
                        inner.store.revision(),
                    )
                };
                next = next.max(revision + 1);
                if !changes.is_empty() {
                    let line = watch_line(revision, &changes);
                    if sender.send_data(Bytes::from(line)).await.is_err() {
                        return;
                    }
                }
                if changed.changed().await.is_err() {
                    return;
                }
            }
        });
        Ok(http::Response::new(body))
    }

    /// Counts a call; returns whether it is over the rate limit.
    fn exceeds_rate(&self, path: &str) -> bool {
        let mut inner = self.inner.lock();
        *inner.calls.entry(path.to_owned()).or_default() += 1;
        let second = self.started.elapsed().as_secs();
        if inner.rate.second != second {
            inner.rate = CallRate { second, ..CallRate::default() };
        }
        let (max_writes, max_reads) = (inner.faults.max_writes, inner.faults.max_reads);
        if matches!(path, "/v3/kv/put" | "/v3/kv/txn" | "/v3/lease/grant") {
            inner.rate.writes += 1;
            return max_writes > 0 && inner.rate.writes > max_writes;
        }
        inner.rate.reads += 1;
        max_reads > 0 && inner.rate.reads > max_reads
    }
}

impl Inner {
    fn read(&self, range: &RangeRequest) -> Value {
        let revision = self.store.revision().saturating_sub(self.faults.stale_revisions);
        let found = self.store.range(&range.key, &range.range_end, revision);
        let kvs: Vec<Value> = found.iter().map(|(key, entry)| key_value(key, entry)).collect();
        json!({ "header": header(revision), "count": kvs.len().to_string(), "kvs": kvs })
    }

    fn write(&mut self, put: PutRequest) {
        let lease = (put.lease != 0).then_some(put.lease);
        self.store.put(put.key, Some(put.value), lease);
    }

    fn delete(&mut self, range: &RangeRequest) {
        let revision = self.store.revision();
        for (key, _) in self.store.range(&range.key, &range.range_end, revision) {
            self.store.put(key, None, None);
        }
    }
}

impl Service for Shared {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> ServiceResult {
        let path = request.uri().path().to_owned();
        let known = request.headers().get(IF_NONE_MATCH).cloned();
        let body =
            read_body(request.into_body(), MAX_REQUEST_BYTES).await.map_err(|_| ConnectionCut)?;
        if path == "/faults" {
            return with_json(&body, |faults| {
                self.set_faults(faults);
                text_response(StatusCode::OK, "")
            });
        }
        if path == "/calls" {
            return json_response(StatusCode::OK, &self.inner.lock().calls.clone());
        }
        if path == "/vms" && !body.is_empty() {
            return with_json(&body, |vms: Vec<Vm>| {
                self.inner.lock().vms.push((Instant::now(), vms));
                text_response(StatusCode::OK, "")
            });
        }
        let (is_cut, added_latency) = {
            let faults = &self.inner.lock().faults;
            let unreadable = faults.unreadable && path == "/v3/kv/range";
            (faults.down || unreadable, faults.added_latency())
        };
        if is_cut {
            return Err(ConnectionCut);
        }
        if !added_latency.is_zero() {
            tokio::time::sleep(added_latency).await;
        }
        if self.exceeds_rate(&path) {
            return text_response(StatusCode::TOO_MANY_REQUESTS, "over the rate limit");
        }
        match path.as_str() {
            "/v3/kv/range" => with_json(&body, |r| json_response(StatusCode::OK, &self.range(&r))),
            "/v3/kv/put" => with_json(&body, |p| self.put(p)),
            "/v3/kv/txn" => with_json(&body, |t| self.txn(t)),
            "/v3/lease/grant" => with_json(&body, |g| self.grant(&g)),
            "/v3/lease/keepalive" => with_json(&body, |l| self.renew(&l)),
            "/v3/watch" => with_json(&body, |w| self.watch(w)),
            "/vms" => self.vms(known.as_ref()),
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

/// Passes a body that is decoded from JSON to `handle`; responds with 400 if it is malformed.
fn with_json<T: DeserializeOwned>(
    body: &[u8],
    handle: impl FnOnce(T) -> ServiceResult,
) -> ServiceResult {
    match serde_json::from_slice(body) {
        Ok(value) => handle(value),
        Err(e) => text_response(StatusCode::BAD_REQUEST, e.to_string()),
    }
}

/// One line of a watch's stream.
fn watch_line(revision: u64, changes: &[Change]) -> String {
    let events: Vec<Value> = changes
        .iter()
        .map(|change| {
            let kv = key_value(&change.key, &change.entry);
            match change.entry.value {
                Some(_) => json!({ "kv": kv }),
                None => json!({ "type": "DELETE", "kv": kv }),
            }
        })
        .collect();
    let line = json!({ "result": { "header": header(revision), "events": events } });
    format!("{line}\n")
}

/// Removes expired leases and their keys until the stand-in is dropped.
async fn expire_leases(shared: std::sync::Weak<Shared>) {
    loop {
        tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
        let Some(shared) = shared.upgrade() else { return };
        let mut inner = shared.inner.lock();
        let now = Instant::now();
        let expired: Vec<i64> =
            inner.leases.iter().filter(|(_, l)| l.expires_at <= now).map(|(id, _)| *id).collect();
        for id in expired {
            inner.leases.remove(&id);
            inner.store.expire_lease(id);
            shared.changed.send_modify(|n| *n += 1);
        }
    }
}
