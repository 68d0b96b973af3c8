//! The platform stand-in as a server, and the handle that tests hold.

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
use super::wire::{Grant, Lease, Op, Put, Range, Txn, Watch, header, key_value};
use super::{Faults, Store};
use crate::server::{Answer, Cut, Server, Service, json as answer, text};

/// The largest request: a value of a megabyte in base64, with room.
const LIMIT: usize = 2 << 20;
/// The largest value.
const VALUE: usize = 1 << 20;

#[derive(Debug)]
struct Leased {
    ttl: Duration,
    until: Instant,
}

#[derive(Debug, Default)]
struct Rate {
    second: u64,
    reads: u32,
    writes: u32,
}

#[derive(Debug, Default)]
struct Inner {
    store: Store,
    faults: Faults,
    leases: BTreeMap<i64, Leased>,
    vms: Vec<(Instant, Vec<Vm>)>,
    calls: BTreeMap<String, u64>,
    rate: Rate,
}

#[derive(Debug)]
struct Shared {
    inner: Mutex<Inner>,
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
        tokio::spawn(expire(Arc::downgrade(&shared)));
        Ok(Self { shared, server })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Sets the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Sets the list of VMs.
    pub fn set_vms(&self, vms: Vec<Vm>) {
        self.shared.inner.lock().vms.push((Instant::now(), vms));
    }

    /// How often each path was called.
    pub fn calls(&self) -> BTreeMap<String, u64> {
        self.shared.inner.lock().calls.clone()
    }

    /// The present value of a key, as text.
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

    fn range(&self, range: &Range) -> Value {
        let inner = self.inner.lock();
        inner.read(range)
    }

    fn put(&self, put: Put) -> Answer {
        let mut inner = self.inner.lock();
        if put.value.len() > VALUE {
            return text(StatusCode::BAD_REQUEST, "value is larger than 1 MiB");
        }
        inner.store.begin();
        inner.write(put);
        let reply = json!({ "header": header(inner.store.revision()) });
        self.written(&mut inner, &reply)
    }

    fn txn(&self, txn: Txn) -> Answer {
        let mut inner = self.inner.lock();
        let held = |c: &super::wire::Compare| {
            inner.store.written(&c.key) == u64::try_from(c.mod_revision).unwrap_or(u64::MAX)
        };
        let succeeded = txn.compare.iter().all(held);
        let ops = if succeeded { txn.success } else { txn.failure };
        let writes = ops.iter().any(|op| !matches!(op, Op::RequestRange(_)));
        if writes {
            inner.store.begin();
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
        if writes { self.written(&mut inner, &reply) } else { answer(StatusCode::OK, &reply) }
    }

    fn written(&self, inner: &mut Inner, reply: &Value) -> Answer {
        self.changed.send_modify(|n| *n += 1);
        if inner.faults.lose_replies > 0 {
            inner.faults.lose_replies -= 1;
            return Err(Cut);
        }
        answer(StatusCode::OK, reply)
    }

    fn grant(&self, grant: &Grant) -> Answer {
        let mut inner = self.inner.lock();
        let id = inner.leases.keys().next_back().map_or(1, |last| last + 1);
        let ttl = Duration::from_secs(grant.ttl.unsigned_abs());
        inner.leases.insert(id, Leased { ttl, until: Instant::now() + ttl });
        let reply = json!({ "ID": id.to_string(), "TTL": grant.ttl.to_string() });
        self.written(&mut inner, &reply)
    }

    fn renew(&self, lease: &Lease) -> Answer {
        let mut inner = self.inner.lock();
        let ttl = inner.leases.get_mut(&lease.id).map_or(0, |l| {
            l.until = Instant::now() + l.ttl;
            l.ttl.as_secs()
        });
        let result = json!({ "ID": lease.id.to_string(), "TTL": ttl.to_string() });
        answer(StatusCode::OK, &json!({ "result": result }))
    }

    /// The list, with an entity tag; without a body if the asker has it.
    fn vms(&self, known: Option<&HeaderValue>) -> Answer {
        let inner = self.inner.lock();
        let lag = Duration::from_millis(inner.faults.vms_lag_ms);
        let seen = inner.vms.iter().rev().find(|(at, _)| at.elapsed() >= lag);
        let vms = seen.map(|(_, vms)| vms.clone()).unwrap_or_default();
        let mut response = answer(StatusCode::OK, &vms)?;
        let mut hasher = DefaultHasher::new();
        serde_json::to_vec(&vms).unwrap_or_default().hash(&mut hasher);
        let tag = format!("\"{:016x}\"", hasher.finish());
        let tag = HeaderValue::from_str(&tag).map_err(|_| Cut)?;
        if known == Some(&tag) {
            response = text(StatusCode::NOT_MODIFIED, "")?;
        }
        response.headers_mut().insert(ETAG, tag);
        Ok(response)
    }

    fn watch(self: &Arc<Self>, watch: Watch) -> Answer {
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
                    let line = message(revision, &changes);
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

    fn over(&self, path: &str) -> bool {
        let mut inner = self.inner.lock();
        *inner.calls.entry(path.to_owned()).or_default() += 1;
        let second = self.started.elapsed().as_secs();
        if inner.rate.second != second {
            inner.rate = Rate { second, ..Rate::default() };
        }
        let (writes, reads) = (inner.faults.writes, inner.faults.reads);
        if matches!(path, "/v3/kv/put" | "/v3/kv/txn" | "/v3/lease/grant") {
            inner.rate.writes += 1;
            return writes > 0 && inner.rate.writes > writes;
        }
        inner.rate.reads += 1;
        reads > 0 && inner.rate.reads > reads
    }
}

impl Inner {
    fn read(&self, range: &Range) -> Value {
        let revision = self.store.revision().saturating_sub(self.faults.behind);
        let found = self.store.range(&range.key, &range.range_end, revision);
        let kvs: Vec<Value> = found.iter().map(|(key, entry)| key_value(key, entry)).collect();
        json!({ "header": header(revision), "count": kvs.len().to_string(), "kvs": kvs })
    }

    fn write(&mut self, put: Put) {
        let lease = (put.lease != 0).then_some(put.lease);
        self.store.put(put.key, Some(put.value), lease);
    }

    fn delete(&mut self, range: &Range) {
        let revision = self.store.revision();
        for (key, _) in self.store.range(&range.key, &range.range_end, revision) {
            self.store.put(key, None, None);
        }
    }
}

impl Service for Shared {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        let known = request.headers().get(IF_NONE_MATCH).cloned();
        let body = read_body(request.into_body(), LIMIT).await.map_err(|_| Cut)?;
        if path == "/faults" {
            return parsed(&body, |faults| {
                self.set_faults(faults);
                text(StatusCode::OK, "")
            });
        }
        if path == "/calls" {
            return answer(StatusCode::OK, &self.inner.lock().calls.clone());
        }
        if path == "/vms" && !body.is_empty() {
            return parsed(&body, |vms: Vec<Vm>| {
                self.inner.lock().vms.push((Instant::now(), vms));
                text(StatusCode::OK, "")
            });
        }
        let (down, slow) = {
            let faults = &self.inner.lock().faults;
            let unreadable = faults.unreadable && path == "/v3/kv/range";
            (faults.down || unreadable, faults.slow())
        };
        if down {
            return Err(Cut);
        }
        if !slow.is_zero() {
            tokio::time::sleep(slow).await;
        }
        if self.over(&path) {
            return text(StatusCode::TOO_MANY_REQUESTS, "over the rate");
        }
        match path.as_str() {
            "/v3/kv/range" => parsed(&body, |r| answer(StatusCode::OK, &self.range(&r))),
            "/v3/kv/put" => parsed(&body, |p| self.put(p)),
            "/v3/kv/txn" => parsed(&body, |t| self.txn(t)),
            "/v3/lease/grant" => parsed(&body, |g| self.grant(&g)),
            "/v3/lease/keepalive" => parsed(&body, |l| self.renew(&l)),
            "/v3/watch" => parsed(&body, |w| self.watch(w)),
            "/vms" => self.vms(known.as_ref()),
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

fn parsed<T: DeserializeOwned>(body: &[u8], then: impl FnOnce(T) -> Answer) -> Answer {
    match serde_json::from_slice(body) {
        Ok(value) => then(value),
        Err(e) => text(StatusCode::BAD_REQUEST, e.to_string()),
    }
}

fn message(revision: u64, changes: &[Change]) -> String {
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

async fn expire(shared: std::sync::Weak<Shared>) {
    loop {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let Some(shared) = shared.upgrade() else { return };
        let mut inner = shared.inner.lock();
        let now = Instant::now();
        let lapsed: Vec<i64> =
            inner.leases.iter().filter(|(_, l)| l.until <= now).map(|(id, _)| *id).collect();
        for id in lapsed {
            inner.leases.remove(&id);
            inner.store.expire(id);
            shared.changed.send_modify(|n| *n += 1);
        }
    }
}
