//! The service, and one node's line to it.

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

use super::state::State;

/// How long an answer takes.
const ANSWER: Duration = Duration::from_millis(4);
/// How often leases are looked at.
const LEASES: Duration = Duration::from_millis(20);

/// How a line fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Away {
    /// Calls are refused: nothing is done.
    Refusing,
    /// Calls are not answered and nothing is done.
    Silent,
    /// The same, and watches that wait are not cut: they stay without an answer.
    Hanging,
}

/// The faults of one line.
#[derive(Debug, Clone, Copy, Default)]
pub struct Faults {
    /// Whether it is down, and how.
    pub away: Option<Away>,
    /// So many writes are done and not answered.
    pub lose: u32,
    /// Writes without an answer are done so much later.
    pub late: Duration,
}

/// The service. Cloning it shares the keys.
#[derive(Debug, Clone)]
pub struct KvService {
    state: Arc<Mutex<State>>,
    changed: watch::Sender<u64>,
    cuts: watch::Sender<u64>,
}

/// One node's line.
#[derive(Debug, Clone)]
pub struct KvLine {
    service: KvService,
    faults: Arc<Mutex<Faults>>,
    /// How long a caller waits for an answer that does not come.
    patience: Arc<Mutex<AdaptiveTimeout>>,
    /// The longest wait that a watch asked for.
    longest: Arc<Mutex<Duration>>,
}

impl KvService {
    /// Starts it.
    pub fn spawn() -> Self {
        let service = Self {
            state: Arc::default(),
            changed: watch::Sender::new(0),
            cuts: watch::Sender::new(0),
        };
        let ticking = service.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(LEASES).await;
                let now = Instant::now();
                if ticking.state.lock().end(|_, at| at <= now) {
                    ticking.tell();
                }
            }
        });
        service
    }

    /// A line without faults.
    pub fn line(&self) -> KvLine {
        KvLine {
            service: self.clone(),
            faults: Arc::default(),
            patience: Arc::default(),
            longest: Arc::default(),
        }
    }

    /// Writes a key, as an operator or a replica does.
    pub fn put(&self, key: &str, value: impl Into<Bytes>) {
        let put = Put { key: key.into(), value: value.into(), lease: 0 };
        self.state.lock().txn(&Txn { puts: vec![put], ..Txn::default() });
        self.tell();
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.state.lock().txn(&Txn::default().remove(key));
        self.tell();
    }

    /// All keys under a prefix.
    pub fn items(&self, prefix: &str) -> Vec<KeyValue> {
        self.state.lock().range(prefix).items
    }

    /// Forgets the history and cuts all watches. A watch that goes on from before then hears
    /// nothing, and no error, until something changes.
    pub fn compact(&self) {
        self.state.lock().compact();
        self.cuts.send_modify(|n| *n += 1);
    }

    /// Forgets the history as it grows old: no watch is cut.
    pub fn age(&self) {
        self.state.lock().compact();
    }

    /// Refuses values of more bytes from now on.
    pub fn most(&self, bytes: usize) {
        self.state.lock().most = Some(bytes);
    }

    /// Ends all leases at once, as an outage may.
    pub fn lapse(&self) {
        self.state.lock().end(|_, _| true);
        self.tell();
    }

    fn tell(&self) {
        self.changed.send_modify(|n| *n += 1);
    }
}

impl KvLine {
    /// Sets the faults from now on.
    pub fn fail(&self, faults: Faults) {
        *self.faults.lock() = faults;
        if faults.away != Some(Away::Hanging) {
            self.service.cuts.send_modify(|n| *n += 1);
        }
    }

    /// The longest wait that a watch has asked for.
    pub fn longest(&self) -> Duration {
        *self.longest.lock()
    }

    async fn pass(&self) -> Result<(), StoreError> {
        tokio::time::sleep(ANSWER).await;
        let away = self.faults.lock().away;
        match away {
            None => {
                self.patience.lock().answered(ANSWER);
                Ok(())
            }
            Some(Away::Refusing) => Err(StoreError::Refused("turned away".to_owned())),
            Some(Away::Silent | Away::Hanging) => {
                self.wait().await;
                Err(StoreError::Unknown("silent".to_owned()))
            }
        }
    }

    /// Waits for an answer that does not come.
    async fn wait(&self) {
        let limit = self.patience.lock().timeout();
        tokio::time::sleep(limit).await;
        self.patience.lock().timed_out();
    }

    /// Whether the answer of a write is lost, and how much later it is done.
    fn lost(&self) -> Option<Duration> {
        let mut faults = self.faults.lock();
        if faults.lose == 0 {
            return None;
        }
        faults.lose -= 1;
        Some(faults.late)
    }
}

impl Store for KvLine {
    fn get(&self, key: &str) -> StoreFuture<Option<KeyValue>> {
        let (line, key) = (self.clone(), Name::from(key));
        Box::pin(async move {
            line.pass().await?;
            Ok(line.service.state.lock().get(&key))
        })
    }

    fn range(&self, prefix: &str) -> StoreFuture<RangeResult> {
        let (line, prefix) = (self.clone(), Name::from(prefix));
        Box::pin(async move {
            line.pass().await?;
            Ok(line.service.state.lock().range(&prefix))
        })
    }

    fn watch(&self, prefix: &str, after: u64, wait: Duration) -> StoreFuture<WatchBatch> {
        let (line, prefix) = (self.clone(), Name::from(prefix));
        let longest = wait.max(*self.longest.lock());
        *self.longest.lock() = longest;
        Box::pin(async move {
            let ends = Instant::now() + wait;
            let mut cuts = line.service.cuts.subscribe();
            let mut changed = line.service.changed.subscribe();
            line.pass().await?;
            loop {
                if line.faults.lock().away == Some(Away::Hanging) {
                    std::future::pending::<()>().await;
                }
                let seen = line.service.state.lock().watch(&prefix, after);
                match seen {
                    None if line.service.state.lock().stirred(&prefix) => {
                        return Err(StoreError::Compacted);
                    }
                    Some(watched) if !watched.changes.is_empty() => return Ok(watched),
                    Some(watched) if Instant::now() >= ends => return Ok(watched),
                    None | Some(_) => {}
                }
                tokio::select! {
                    _ = changed.changed() => {}
                    _ = cuts.changed() => return Err(StoreError::Unknown("cut".to_owned())),
                    () = tokio::time::sleep_until(ends) => {
                        if line.service.state.lock().watch(&prefix, after).is_none() {
                            return Ok(WatchBatch { changes: Vec::new(), revision: after });
                        }
                    }
                }
            }
        })
    }

    fn txn(&self, txn: Txn) -> StoreFuture<TxnOutcome> {
        let line = self.clone();
        Box::pin(async move {
            line.pass().await?;
            let service = line.service.clone();
            if service.state.lock().too_large(&txn) {
                return Err(StoreError::Refused("a value is too large".to_owned()));
            }
            let Some(late) = line.lost() else {
                let end = service.state.lock().txn(&txn);
                service.tell();
                return Ok(end);
            };
            tokio::spawn(async move {
                tokio::time::sleep(late).await;
                service.state.lock().txn(&txn);
                service.tell();
            });
            line.wait().await;
            Err(StoreError::Unknown("the answer was lost".to_owned()))
        })
    }

    fn grant(&self, ttl: Duration) -> StoreFuture<u64> {
        let line = self.clone();
        Box::pin(async move {
            line.pass().await?;
            Ok(line.service.state.lock().grant(Instant::now() + ttl))
        })
    }

    fn renew(&self, lease: u64) -> StoreFuture<bool> {
        let line = self.clone();
        Box::pin(async move {
            line.pass().await?;
            // Every lease here is opened for as long as the default of a node's.
            let until = Instant::now() + Duration::from_secs(2);
            Ok(line.service.state.lock().keep(lease, until))
        })
    }

    fn revoke(&self, lease: u64) -> StoreFuture<()> {
        let line = self.clone();
        Box::pin(async move {
            line.pass().await?;
            line.service.state.lock().end(|id, _| id == lease);
            line.service.tell();
            Ok(())
        })
    }
}
