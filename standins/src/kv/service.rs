//! The service, and the client through which one node calls it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use mulberrycourse::Name;
use mulberrycourse::decide::AdaptiveTimeout;
use mulberrycourse::edge::store::{
    KeyValue, Put, RangeResult, Store, StoreError, StoreFuture, Txn, TxnOutcome, WatchBatch,
};
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

use super::state::KvState;

/// How long the service takes to respond.
const RESPONSE_DELAY: Duration = Duration::from_millis(4);
/// How often expired leases are removed.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// How a client's calls fail.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outage {
    /// Calls are refused and not carried out; open watches are cut.
    Refusing,
    /// Calls are neither carried out nor answered; open watches are cut.
    Unresponsive,
    /// Calls are neither carried out nor answered; open watches stay open without an answer.
    Hanging,
}

/// The faults of one client.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// How all calls fail; none while the service is reachable.
    pub outage: Option<Outage>,
    /// How many of the next writes are carried out without a response.
    pub lost_writes: u32,
    /// How much later a write without a response is carried out.
    pub write_delay: Duration,
    /// Whether each lease ends before its client learns its id.
    pub leases_end: bool,
    /// Whether a watch from a dropped history is refused even if nothing has changed since.
    pub refuses_dropped: bool,
    /// The prefix whose range reads are refused.
    pub refused_range: Option<&'static str>,
    /// The prefix whose watches return no changes.
    pub silent_watch: Option<&'static str>,
}

/// The service. Clones share its keys.
#[derive(Debug, Clone)]
pub struct KvService {
    state: Arc<Mutex<KvState>>,
    /// Counts the changes, to wake waiting watches.
    changed: watch::Sender<u64>,
    /// Counts the times that all watches were cut.
    cuts: watch::Sender<u64>,
}

/// The client of one node.
#[derive(Debug, Clone)]
pub struct KvClient {
    service: KvService,
    faults: Arc<Mutex<Faults>>,
    /// How long a call waits for a response that does not come.
    timeout: Arc<Mutex<AdaptiveTimeout>>,
    /// The longest wait that a watch has asked for.
    longest_wait: Arc<Mutex<Duration>>,
}

impl KvService {
    /// Starts a service without keys.
    pub fn spawn() -> Self {
        let service = Self {
            state: Arc::default(),
            changed: watch::Sender::new(0),
            cuts: watch::Sender::new(0),
        };
        let lease_service = service.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(LEASE_CHECK_INTERVAL).await;
                let now = Instant::now();
                if lease_service.state.lock().end_leases(|_, at| at <= now) {
                    lease_service.notify_watches();
                }
            }
        });
        service
    }

    /// A client without faults.
    pub fn client(&self) -> KvClient {
        KvClient {
            service: self.clone(),
            faults: Arc::default(),
            timeout: Arc::default(),
            longest_wait: Arc::default(),
        }
    }

    /// Writes a key, as an operator or a replica does.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) {
        let put = Put { key: key.into(), value: value.into(), lease: 0 };
        self.state.lock().txn(&Txn { puts: vec![put], ..Txn::default() });
        self.notify_watches();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.state.lock().txn(&Txn::default().remove(key));
        self.notify_watches();
    }

    /// All keys under a prefix.
    pub fn items(&self, prefix: &str) -> Vec<KeyValue> {
        self.state.lock().range(prefix).items
    }

    /// Drops the history and cuts all watches. A watch that resumes from an older revision then
    /// gets neither changes nor an error until a key under its prefix changes.
    pub fn compact(&self) {
        self.state.lock().compact();
        self.cuts.send_modify(|n| *n += 1);
    }

    /// Drops the history without cutting any watch, as a periodic compaction does.
    pub fn compact_silently(&self) {
        self.state.lock().compact();
    }

    /// Refuses larger values from now on.
    pub fn set_max_value(&self, bytes: usize) {
        self.state.lock().max_value = Some(bytes);
    }

    /// Ends all leases at once, as an outage may.
    pub fn expire_leases(&self) {
        self.state.lock().end_leases(|_, _| true);
        self.notify_watches();
    }

    fn notify_watches(&self) {
        self.changed.send_modify(|n| *n += 1);
    }
}

impl KvClient {
    /// Sets the faults from now on; cuts open watches unless they are to hang.
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock() = faults;
        if faults.outage != Some(Outage::Hanging) {
            self.service.cuts.send_modify(|n| *n += 1);
        }
    }

    /// The longest wait that a watch has asked for.
    pub fn longest_wait(&self) -> Duration {
        *self.longest_wait.lock()
    }

    /// Waits for the service to respond; fails as the outage says.
    async fn reach_service(&self) -> Result<(), StoreError> {
        tokio::time::sleep(RESPONSE_DELAY).await;
        let outage = self.faults.lock().outage;
        match outage {
            None => {
                self.timeout.lock().answered(RESPONSE_DELAY);
                Ok(())
            }
            Some(Outage::Refusing) => {
                Err(StoreError::Refused("refused by an injected fault".to_owned()))
            }
            Some(Outage::Unresponsive | Outage::Hanging) => {
                self.wait_for_timeout().await;
                Err(StoreError::Unknown("no response from the service".to_owned()))
            }
        }
    }

    /// Waits until the timeout of a call whose response does not come.
    async fn wait_for_timeout(&self) {
        let timeout = self.timeout.lock().timeout();
        tokio::time::sleep(timeout).await;
        self.timeout.lock().timed_out();
    }

    /// The delay of a write whose response is lost; none if this write gets a response.
    fn take_lost_write(&self) -> Option<Duration> {
        let mut faults = self.faults.lock();
        if faults.lost_writes == 0 {
            return None;
        }
        faults.lost_writes -= 1;
        Some(faults.write_delay)
    }
}

impl Store for KvClient {
    fn get(&self, key: &str) -> StoreFuture<Option<KeyValue>> {
        let (client, key) = (self.clone(), Name::from(key));
        Box::pin(async move {
            client.reach_service().await?;
            Ok(client.service.state.lock().get(&key))
        })
    }

    fn range(&self, prefix: &str) -> StoreFuture<RangeResult> {
        let (client, prefix) = (self.clone(), Name::from(prefix));
        Box::pin(async move {
            client.reach_service().await?;
            if client.faults.lock().refused_range.is_some_and(|refused| *prefix == *refused) {
                return Err(StoreError::Refused("refused by an injected fault".to_owned()));
            }
            Ok(client.service.state.lock().range(&prefix))
        })
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> StoreFuture<WatchBatch> {
        let (client, prefix) = (self.clone(), Name::from(prefix));
        let longest = wait.max(*self.longest_wait.lock());
        *self.longest_wait.lock() = longest;
        Box::pin(async move {
            let deadline = Instant::now() + wait;
            let mut cuts = client.service.cuts.subscribe();
            let mut changed = client.service.changed.subscribe();
            client.reach_service().await?;
            loop {
                if client.faults.lock().outage == Some(Outage::Hanging) {
                    std::future::pending::<()>().await;
                }
                let silent = client.faults.lock().silent_watch;
                let seen = match silent.is_some_and(|silent| *prefix == *silent) {
                    true => Some(WatchBatch { changes: Vec::new(), revision: after }),
                    false => client.service.state.lock().watch(&prefix, after),
                };
                match seen {
                    None if client.faults.lock().refuses_dropped
                        || client.service.state.lock().changed_since_compaction(&prefix) =>
                    {
                        return Err(StoreError::Compacted);
                    }
                    Some(watched) if !watched.changes.is_empty() => return Ok(watched),
                    Some(watched) if Instant::now() >= deadline => return Ok(watched),
                    None | Some(_) => {}
                }
                tokio::select! {
                    _ = changed.changed() => {}
                    _ = cuts.changed() => return Err(StoreError::Unknown("the watch was cut".to_owned())),
                    () = tokio::time::sleep_until(deadline) => {
                        if client.service.state.lock().watch(&prefix, after).is_none() {
                            return Ok(WatchBatch { changes: Vec::new(), revision: after });
                        }
                    }
                }
            }
        })
    }

    fn txn(&self, txn: Txn) -> StoreFuture<TxnOutcome> {
        let client = self.clone();
        Box::pin(async move {
            client.reach_service().await?;
            let service = client.service.clone();
            if service.state.lock().too_large(&txn) {
                return Err(StoreError::Refused(
                    "a value is larger than the service allows".to_owned(),
                ));
            }
            let Some(delay) = client.take_lost_write() else {
                let end = service.state.lock().txn(&txn);
                service.notify_watches();
                return Ok(end);
            };
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                service.state.lock().txn(&txn);
                service.notify_watches();
            });
            client.wait_for_timeout().await;
            Err(StoreError::Unknown("the response was lost".to_owned()))
        })
    }

    fn grant(&self, ttl: Duration) -> StoreFuture<u64> {
        let client = self.clone();
        Box::pin(async move {
            client.reach_service().await?;
            let leases_end = client.faults.lock().leases_end;
            let mut state = client.service.state.lock();
            let lease = state.grant(Instant::now(), ttl);
            if leases_end {
                state.end_leases(|id, _| id == lease);
            }
            Ok(lease)
        })
    }

    fn renew(&self, lease: u64) -> StoreFuture<bool> {
        let client = self.clone();
        Box::pin(async move {
            client.reach_service().await?;
            Ok(client.service.state.lock().renew(lease, Instant::now()))
        })
    }

    fn revoke(&self, lease: u64) -> StoreFuture<()> {
        let client = self.clone();
        Box::pin(async move {
            client.reach_service().await?;
            client.service.state.lock().end_leases(|id, _| id == lease);
            client.service.notify_watches();
            Ok(())
        })
    }
}
