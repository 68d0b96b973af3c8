//! The state of one replica, and the records of its runs and orders.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::time::Duration;

use http::StatusCode;
use mulberrycourse::Name;
use mulberrycourse::edge::replica::ReplicaLoad;
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;

/// How a replica behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Behaviour {
    /// It runs requests and responds.
    #[default]
    Normal,
    /// Connections are refused.
    Unreachable,
    /// It runs requests and never responds.
    Unresponsive,
    /// It receives requests, and runs them once it behaves otherwise.
    Hangs,
    /// Its streams pause after this event until it behaves otherwise.
    PausesAfter(u64),
    /// It runs nothing and responds with 503.
    Full,
    /// Its streams break after this many events, and its plain bodies in the middle.
    BreaksAfter(u64),
    /// It runs requests and responds with 500.
    Fails,
    /// It runs requests and responds with 504.
    TimesOut,
    /// It takes this many times as long.
    Slow(u32),
    /// Its bodies don't end. Texts have further events of 60 kB.
    Endless,
}

/// A run of a request, as the replica recorded it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedRun {
    /// The replica.
    pub replica: Name,
    /// The id of the request.
    pub id: Name,
    /// The organisation that the request belongs to.
    pub organisation: Option<Name>,
    /// The priority of the request.
    pub priority: Option<u8>,
    /// The last event that the sender already has, when it resumes a stream.
    pub last_event: Option<u64>,
    /// The timeout that its sender set.
    pub timeout: Duration,
    /// When it was received.
    pub received_at: Instant,
    /// The status with which the replica refused it, if a test set one for the request.
    pub set_status: Option<StatusCode>,
    /// Whether its response has not ended: the sender left, the stream broke, or it still runs.
    pub unfinished: bool,
}

/// A weight order, as the replica recorded it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordedOrder {
    /// The replica.
    pub replica: Name,
    /// The leader that sent it.
    pub leader: Name,
    /// The fencing token of its sender.
    pub fencing_token: u64,
    /// The model to load.
    pub model: Name,
    /// The weight version to load.
    pub version: u64,
    /// When it was received.
    pub received_at: Instant,
    /// Whether it was accepted.
    pub accepted: bool,
}

/// The state of one replica.
#[derive(Debug)]
pub(super) struct Replica {
    pub behaviour: Behaviour,
    /// The service of its last entry.
    pub service: Name,
    /// The weight version of each model.
    pub versions: BTreeMap<Name, u64>,
    /// How many orders it has accepted since its start.
    pub accepted_orders: u64,
    /// The highest fencing token received.
    pub fencing_token: u64,
    /// When its present load of weights ends.
    pub busy_until: Option<Instant>,
    /// If set, orders get no response and are carried out this much later.
    pub order_delay: Option<Duration>,
    /// How many of the next status requests fail.
    pub failing_statuses: u32,
    /// The slots in which plain requests run one after the other. Without them, any number runs at
    /// the same time.
    pub slots: Option<Arc<Semaphore>>,
    /// The number of plain requests that wait for a slot.
    pub waiting: Arc<AtomicU32>,
    /// The load that it reports instead of its own.
    pub false_load: Option<ReplicaLoad>,
    /// Its start time in milliseconds, if it reports one.
    pub started_ms: Option<u64>,
    /// How often its process has ended. A change interrupts everything that runs there.
    pub crashes: watch::Sender<u64>,
}

impl Replica {
    /// A replica that has just started.
    pub(super) fn new(versions: BTreeMap<Name, u64>, started_ms: Option<u64>) -> Self {
        Self {
            behaviour: Behaviour::Normal,
            service: "".into(),
            versions,
            accepted_orders: 0,
            fencing_token: 0,
            busy_until: None,
            order_delay: None,
            failing_statuses: 0,
            slots: None,
            waiting: Arc::default(),
            false_load: None,
            started_ms,
            crashes: watch::Sender::new(0),
        }
    }
}
