//! All replicas, as one implementation of the library's `Replicas` trait.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::future::BoxFuture;
use http::{HeaderMap, StatusCode};
use mulberrycourse::Name;
use mulberrycourse::decide::ListedReplica;
use mulberrycourse::edge::replica::{
    BodyStream, CallError, OrderOutcome, ReplicaCall, ReplicaLoad, ReplicaStatus, Replicas, Reply,
    Target, WeightOrder,
};
use mulberrycourse::edge::upstream::ProbeResult;
use parking_lot::Mutex;
use tokio::sync::{Semaphore, watch};
use tokio::time::Instant;

use super::replica::{Behaviour, RecordedOrder, RecordedRun, Replica};
use crate::kv::{KvService, TestSchema};

/// Time between two events of a stream.
const EVENT_INTERVAL: Duration = Duration::from_millis(35);
/// What a replica with limited slots reports of its machine: the usual speed.
const USUAL_SLOWDOWN: u32 = 100;
/// Delay of each call before the replica receives it.
const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Delay of a probe of a replica whose connection broke.
const PROBE_DELAY: Duration = Duration::from_millis(40);
/// How long a plain request runs.
const PLAIN_RUN_TIME: Duration = Duration::from_millis(25);
/// The time between two pieces of an endless body.
const ENDLESS_INTERVAL: Duration = Duration::from_millis(1);
/// The size of such a piece.
const ENDLESS_PIECE_BYTES: usize = 60_000;
/// How often a replica that hangs looks whether it goes on.
const HANG_CHECK_INTERVAL: Duration = Duration::from_millis(10);
/// How long a load of weights takes.
const WEIGHT_LOAD_TIME: Duration = Duration::from_millis(900);
/// How long a replica that has crashed takes to be back.
const RESTART_TIME: Duration = Duration::from_millis(2_000);
/// Slots of a replica, by its entry.
const SLOTS_PER_REPLICA: u32 = 8;
/// Number of events in a text, unless a test sets another.
const DEFAULT_EVENT_COUNT: u64 = 5;

/// How a replica that has crashed is replaced by another one.
#[derive(Debug, Clone, Copy)]
pub struct Replacement {
    /// The time from the crash until its entry is removed.
    pub gone_after: Duration,
    /// The time from the crash until the other replica starts.
    pub back_after: Duration,
}

/// The bytes of endless bodies that their readers have not closed.
#[derive(Debug, Default)]
struct EndlessBytes {
    open: usize,
    most: usize,
}

/// An endless body that is open.
struct EndlessBody {
    state: Arc<Mutex<State>>,
    bytes: usize,
}

impl EndlessBody {
    fn count(&mut self, bytes: usize) {
        self.bytes += bytes;
        let endless = &mut self.state.lock().endless;
        endless.open += bytes;
        endless.most = endless.most.max(endless.open);
    }
}

impl Drop for EndlessBody {
    fn drop(&mut self) {
        self.state.lock().endless.open -= self.bytes;
    }
}

/// How runs of a request crash their replicas.
#[derive(Debug, Clone, Copy)]
struct CrashRule {
    /// How long each runs before.
    time: Duration,
    /// The number of runs that do so from now on.
    left: u32,
}

/// The replicas and their records.
#[derive(Debug, Default)]
struct State {
    replicas: BTreeMap<Name, Replica>,
    /// The number of events of a text, by request id.
    event_counts: HashMap<Name, u64>,
    /// How long a replica that has crashed takes to be back; [`RESTART_TIME`] if none.
    restart_time: Option<Duration>,
    /// Set if replicas that have crashed come back under another id.
    replacement: Option<Replacement>,
    /// The paths of requests that crash replicas.
    crash_paths: HashMap<Name, CrashRule>,
    /// The status of every response to a request, by request id.
    set_statuses: HashMap<Name, StatusCode>,
    /// The bytes of all endless bodies that are still open, and the most there were.
    endless: EndlessBytes,
    runs: Vec<RecordedRun>,
    orders: Vec<RecordedOrder>,
}

impl State {
    /// Returns after which time a run of a request with this path crashes its replica, if it does.
    fn take_crash(&mut self, path: &str) -> Option<Duration> {
        let rule = self.crash_paths.get_mut(path).filter(|rule| rule.left > 0)?;
        rule.left -= 1;
        Some(rule.time)
    }
}

/// All replicas. Clones share them.
#[derive(Debug, Clone)]
pub struct ReplicaFleet {
    state: Arc<Mutex<State>>,
    service: KvService,
    schema: TestSchema,
}

/// Counts a request that waits for a slot, until it is dropped.
struct WaitCount<'a>(&'a AtomicU32);

impl<'a> WaitCount<'a> {
    fn begin(waiting: &'a AtomicU32) -> Self {
        waiting.fetch_add(1, Ordering::Relaxed);
        Self(waiting)
    }
}

impl Drop for WaitCount<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl ReplicaFleet {
    /// An empty fleet that writes its entries to `service`.
    pub fn new(service: KvService, schema: TestSchema) -> Self {
        Self { state: Arc::default(), service, schema }
    }

    /// Adds a replica with version 1 of each model, and writes its entry.
    pub fn add(&self, service: &str, id: &str, models: &[&str]) {
        let versions: BTreeMap<Name, u64> = models.iter().map(|m| (Name::from(*m), 1)).collect();
        let replica = Replica::new(versions, None);
        self.state.lock().replicas.insert(id.into(), replica);
        self.write_entry(service, id, false);
    }

    /// Replaces a replica by a new instance under the same id, and writes its entry.
    pub fn restart(&self, service: &str, id: &str, started_ms: u64, versions: &[(&str, u64)]) {
        let versions = versions.iter().map(|(m, v)| (Name::from(*m), *v)).collect();
        self.state.lock().replicas.insert(id.into(), Replica::new(versions, Some(started_ms)));
        self.write_entry(service, id, false);
    }

    /// Writes the entry of a replica with its present versions.
    pub fn write_entry(&self, service: &str, id: &str, draining: bool) {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        self.with(id, |r| r.service = service.into());
        let versions = self.state.lock().replicas[id].versions.clone();
        let listed = ListedReplica {
            target: Target {
                id: id.into(),
                started_ms: self.state.lock().replicas[id].started_ms,
                address,
            },
            service: service.into(),
            zone: "z".into(),
            slots: SLOTS_PER_REPLICA,
            draining,
            spot: false,
            versions: versions.into_iter().collect(),
        };
        self.schema.write_replica(&self.service, listed);
    }

    /// Sets the version of a model at a replica, and writes the entry of the replica.
    pub fn set_version(&self, id: &str, model: &str, version: u64) {
        self.set_unlisted_version(id, model, version);
        self.write_entry("engines", id, false);
    }

    /// Sets the version of a model at a replica without writing its entry.
    pub fn set_unlisted_version(&self, id: &str, model: &str, version: u64) {
        self.with(id, |r| r.versions.insert(model.into(), version));
    }

    /// Sets how a replica behaves.
    pub fn set_behaviour(&self, id: &str, behaviour: Behaviour) {
        self.with(id, |r| r.behaviour = behaviour);
    }

    /// From now on a replica runs as many plain requests at the same time as it has slots, in the
    /// order of their arrival, and reports how many run and wait.
    pub fn limit_slots(&self, id: &str) {
        self.with(id, |r| r.slots = Some(Arc::new(Semaphore::new(SLOTS_PER_REPLICA as usize))));
    }

    /// Makes a replica report this load instead of its own.
    pub fn report_load(&self, id: &str, load: ReplicaLoad) {
        self.with(id, |r| r.false_load = Some(load));
    }

    /// The load that a replica reports.
    fn load(&self, id: &str) -> ReplicaLoad {
        let load = self.with(id, |r| {
            let free = r.slots.as_ref().map(|slots| slots.available_permits() as u32);
            let running = free.map_or(1, |free| SLOTS_PER_REPLICA - free);
            let waiting = r.waiting.load(Ordering::Relaxed);
            let slowdown = free.map(|_| USUAL_SLOWDOWN);
            r.false_load.unwrap_or(ReplicaLoad { running, waiting, slowdown })
        });
        load.unwrap_or(ReplicaLoad { running: 1, waiting: 0, slowdown: None })
    }

    /// Delays orders to a replica, which then get no response; none ends the delay.
    pub fn delay_orders(&self, id: &str, delay: Option<Duration>) {
        self.with(id, |r| r.order_delay = delay);
    }

    /// Makes this many of the next status requests to a replica fail.
    pub fn fail_statuses(&self, id: &str, count: u32) {
        self.with(id, |r| r.failing_statuses = count);
    }

    /// Sets how many events the text of a request has.
    pub fn set_event_count(&self, item: &str, events: u64) {
        self.state.lock().event_counts.insert(item.into(), events);
    }

    /// Makes every replica that runs a request respond with this status.
    pub fn set_status(&self, request: &str, status: StatusCode) {
        self.state.lock().set_statuses.insert(request.into(), status);
    }

    /// Makes requests with this path crash each replica that runs them.
    pub fn crash_on(&self, path: &str) {
        self.crash_after(path, Duration::ZERO);
    }

    /// Makes requests with this path crash each replica that has run them for this time, also if
    /// their sender has left.
    pub fn crash_after(&self, path: &str, time: Duration) {
        self.crash_times(path, time, u32::MAX);
    }

    /// Makes the next `count` runs of requests with this path crash their replicas after this time.
    pub fn crash_times(&self, path: &str, time: Duration, count: u32) {
        let rule = CrashRule { time, left: count };
        self.state.lock().crash_paths.insert(path.into(), rule);
    }

    /// Replaces replicas that crash from now on by others, with new ids.
    pub fn replace_crashed(&self, replacement: Replacement) {
        self.state.lock().replacement = Some(replacement);
    }

    /// Sets how long a replica that has crashed takes to be back.
    pub fn set_restart_time(&self, time: Duration) {
        self.state.lock().restart_time = Some(time);
    }

    /// Ends the process of a replica with everything that runs there, and starts it again, with a
    /// newer start time if it reports one.
    pub fn crash(&self, id: &str) {
        let was = self.with(id, |r| std::mem::replace(&mut r.behaviour, Behaviour::Unreachable));
        self.with(id, |r| r.crashes.send_modify(|n| *n += 1));
        let (fleet, id) = (self.clone(), Name::from(id));
        let replacement = self.state.lock().replacement;
        if let Some(replacement) = replacement {
            if was != Some(Behaviour::Unreachable) {
                tokio::spawn(fleet.replace(id, replacement));
            }
            return;
        }
        let restart_time = self.state.lock().restart_time.unwrap_or(RESTART_TIME);
        tokio::spawn(async move {
            tokio::time::sleep(restart_time).await;
            fleet.with(&id, |r| {
                r.behaviour = Behaviour::Normal;
                r.started_ms = r.started_ms.map(|started| started + 1);
            });
        });
    }

    /// Removes the entry of a replica that has crashed, and starts another one in its place.
    async fn replace(self, id: Name, replacement: Replacement) {
        let Replacement { gone_after, back_after } = replacement;
        tokio::time::sleep(gone_after).await;
        self.schema.remove_replica(&self.service, &id);
        tokio::time::sleep(back_after.saturating_sub(gone_after)).await;
        let former = self.with(&id, |r| (r.service.clone(), r.versions.clone()));
        let Some((service, versions)) = former else { return };
        let next = Name::from(format!("{id}+"));
        self.state.lock().replicas.insert(next.clone(), Replica::new(versions, None));
        self.write_entry(&service, &next, false);
    }

    /// The most bytes that endless bodies had sent which were open at the same time.
    pub fn most_endless_bytes(&self) -> usize {
        self.state.lock().endless.most
    }

    /// A body that does not end, in pieces by number.
    fn endless(&self, piece: impl Fn(u64) -> String + Send + 'static) -> BodyStream {
        let body = EndlessBody { state: self.state.clone(), bytes: 0 };
        let stream = futures_util::stream::unfold((body, 1), move |(mut body, number)| {
            let bytes = Bytes::from(piece(number));
            async move {
                tokio::time::sleep(ENDLESS_INTERVAL).await;
                body.count(bytes.len());
                Some((Ok(bytes), (body, number + 1)))
            }
        });
        stream.boxed()
    }

    /// Waits until the process of a replica ends.
    async fn crashed(mut crashes: watch::Receiver<u64>) {
        let _ = crashes.changed().await;
    }

    /// All runs so far, in order of their start.
    pub fn runs(&self) -> Vec<RecordedRun> {
        self.state.lock().runs.clone()
    }

    /// All orders so far, in order of receipt.
    pub fn orders(&self) -> Vec<RecordedOrder> {
        self.state.lock().orders.clone()
    }

    /// The version of a model at a replica.
    pub fn version(&self, id: &str, model: &str) -> u64 {
        self.state.lock().replicas[id].versions[model]
    }

    /// The data of one event of a text.
    pub fn event_data(item: &str, event: u64) -> String {
        format!("{item}/{event}")
    }

    /// Runs `work` on a replica under the lock; none if the replica does not exist.
    fn with<T>(&self, id: &str, work: impl FnOnce(&mut Replica) -> T) -> Option<T> {
        self.state.lock().replicas.get_mut(id).map(work)
    }

    /// Waits while a replica hangs, and returns how it behaves then. None if it does not exist.
    async fn unless_hanging(&self, id: &str) -> Option<Behaviour> {
        loop {
            match self.with(id, |r| r.behaviour)? {
                Behaviour::Hangs => tokio::time::sleep(HANG_CHECK_INTERVAL).await,
                behaviour => return Some(behaviour),
            }
        }
    }

    /// Waits while the streams of a replica pause after an event.
    async fn unless_paused(&self, id: &str, event: u64) {
        while matches!(self.with(id, |r| r.behaviour), Some(Behaviour::PausesAfter(n)) if event >= n)
        {
            tokio::time::sleep(HANG_CHECK_INTERVAL).await;
        }
    }

    /// Checks and records an order, and starts the load if it is accepted.
    fn apply_order(&self, to: &Name, order: &WeightOrder) -> OrderOutcome {
        let outcome = self.with(to, |r| {
            if order.fencing_token < r.fencing_token {
                return OrderOutcome::Fenced;
            }
            r.fencing_token = order.fencing_token;
            if r.busy_until.is_some_and(|until| until > Instant::now())
                || r.accepted_orders != order.accepted_orders
            {
                return OrderOutcome::Busy;
            }
            if r.versions.get(&order.model).is_some_and(|v| *v >= order.version) {
                return OrderOutcome::Holds;
            }
            r.accepted_orders += 1;
            r.busy_until = Some(Instant::now() + WEIGHT_LOAD_TIME);
            OrderOutcome::Accepted
        });
        let outcome = outcome.unwrap_or(OrderOutcome::Refused);
        self.state.lock().orders.push(RecordedOrder {
            replica: to.clone(),
            leader: order.leader.clone(),
            fencing_token: order.fencing_token,
            model: order.model.clone(),
            version: order.version,
            received_at: Instant::now(),
            accepted: outcome == OrderOutcome::Accepted,
        });
        if outcome == OrderOutcome::Accepted {
            let (fleet, to, order) = (self.clone(), to.clone(), order.clone());
            tokio::spawn(async move {
                tokio::time::sleep(WEIGHT_LOAD_TIME).await;
                fleet.with(&to, |r| r.versions.insert(order.model, order.version));
            });
        }
        outcome
    }

    /// Runs a request that crashes its replica after this time, and returns once it has crashed.
    async fn run_crashing(&self, id: &Name, time: Duration) {
        if time.is_zero() {
            return self.crash(id);
        }
        let Some(crashes) = self.with(id, |r| r.crashes.subscribe()) else { return };
        let (fleet, id, mut ended) = (self.clone(), id.clone(), crashes.clone());
        tokio::spawn(async move {
            tokio::select! {
                _ = ended.changed() => {}
                () = tokio::time::sleep(time) => fleet.crash(&id),
            }
        });
        Self::crashed(crashes).await;
    }

    /// Records a run; returns its index.
    fn record_run(&self, to: &Target, call: &ReplicaCall) -> usize {
        let mut state = self.state.lock();
        state.runs.push(RecordedRun {
            replica: to.id.clone(),
            id: call.id.clone(),
            organisation: call.organisation.clone(),
            priority: call.priority,
            last_event: call.last_event,
            timeout: call.timeout,
            received_at: Instant::now(),
            set_status: None,
            unfinished: true,
        });
        state.runs.len() - 1
    }

    /// Streams the events of a text after the last that the sender has.
    fn stream_events(
        &self,
        to: &Target,
        call: &ReplicaCall,
        behaviour: Behaviour,
        run: usize,
    ) -> BodyStream {
        let total =
            self.state.lock().event_counts.get(&call.id).copied().unwrap_or(DEFAULT_EVENT_COUNT);
        let from = call.last_event.unwrap_or(0);
        let model = call.headers.get("model").and_then(|m| m.to_str().ok()).map(Name::from);
        let interval = match behaviour {
            Behaviour::Slow(times) => EVENT_INTERVAL * times,
            _ => EVENT_INTERVAL,
        };
        let breaks_at = match behaviour {
            Behaviour::BreaksAfter(after) => Some(from + after),
            _ => None,
        };
        let (fleet, to, id) = (self.clone(), to.id.clone(), call.id.clone());
        let stream = futures_util::stream::unfold(from, move |last| {
            let (fleet, to, id, model) = (fleet.clone(), to.clone(), id.clone(), model.clone());
            async move {
                if last >= total {
                    fleet.state.lock().runs[run].unfinished = false;
                    return None;
                }
                let reset = Some((Err("connection reset".to_owned()), total));
                let Some(crashes) = fleet.with(&to, |r| r.crashes.subscribe()) else {
                    return reset;
                };
                let making = async {
                    fleet.unless_paused(&to, last).await;
                    tokio::time::sleep(interval).await;
                };
                tokio::select! {
                    () = Self::crashed(crashes) => return reset,
                    () = making => {}
                }
                if breaks_at.is_some_and(|at| last >= at) {
                    return Some((Err("connection reset".to_owned()), total));
                }
                let event = last + 1;
                let version = model.and_then(|m| fleet.with(&to, |r| r.versions.get(&m).copied()));
                let label = match version.flatten() {
                    Some(version) => format!("version: {version}\n"),
                    None => String::new(),
                };
                let data = Self::event_data(&id, event);
                let text = format!("{label}id: {event}\ndata: {data}\n\n");
                Some((Ok(Bytes::from(text)), event))
            }
        });
        stream.boxed()
    }
}

impl Replicas for ReplicaFleet {
    fn max_tokens(&self, headers: &[(Name, Name)]) -> Option<u64> {
        headers.iter().find(|(name, _)| **name == *"max-tokens")?.1.parse().ok()
    }

    fn version_field(&self) -> &'static str {
        "version"
    }

    fn send(&self, to: &Target, call: ReplicaCall) -> BoxFuture<'static, Result<Reply, CallError>> {
        let (fleet, to) = (self.clone(), to.clone());
        Box::pin(async move {
            let Some(behaviour) = fleet.with(&to.id, |r| r.behaviour) else {
                return Err(CallError::WrongInstance);
            };
            tokio::time::sleep(NETWORK_DELAY).await;
            match behaviour {
                Behaviour::Unreachable => {
                    return Err(CallError::Unsent("connection refused".to_owned()));
                }
                Behaviour::Full => return Err(CallError::NotRun(StatusCode::SERVICE_UNAVAILABLE)),
                _ => {}
            }
            let run = fleet.record_run(&to, &call);
            let behaviour = fleet.unless_hanging(&to.id).await.unwrap_or(behaviour);
            let crash_after = fleet.state.lock().take_crash(&call.path);
            if let Some(time) = crash_after {
                fleet.run_crashing(&to.id, time).await;
                return Err(CallError::Interrupted("connection reset".to_owned()));
            }
            let is_stream = call.path.starts_with("/text");
            let Some(crashes) = fleet.with(&to.id, |r| r.crashes.subscribe()) else {
                return Err(CallError::WrongInstance);
            };
            let (status, body): (_, BodyStream) = match behaviour {
                Behaviour::Unresponsive => std::future::pending().await,
                _ if fleet.state.lock().set_statuses.contains_key(&call.id) => {
                    tokio::time::sleep(PLAIN_RUN_TIME).await;
                    let mut state = fleet.state.lock();
                    let status = state.set_statuses[&call.id];
                    state.runs[run].set_status = Some(status);
                    (status, futures_util::stream::empty().boxed())
                }
                Behaviour::Fails => {
                    (StatusCode::INTERNAL_SERVER_ERROR, futures_util::stream::empty().boxed())
                }
                Behaviour::TimesOut => {
                    (StatusCode::GATEWAY_TIMEOUT, futures_util::stream::empty().boxed())
                }
                Behaviour::BreaksAfter(_) if !is_stream => {
                    let broken = futures_util::stream::iter([Err("connection reset".to_owned())]);
                    (StatusCode::OK, broken.boxed())
                }
                Behaviour::Endless if is_stream => {
                    let first = call.last_event.unwrap_or(0);
                    let data = "x".repeat(ENDLESS_PIECE_BYTES);
                    let event = move |number| {
                        format!("version: 1\nid: {}\ndata: {data}\n\n", first + number)
                    };
                    (StatusCode::OK, fleet.endless(event))
                }
                Behaviour::Endless => {
                    (StatusCode::OK, fleet.endless(|_| "x".repeat(ENDLESS_PIECE_BYTES)))
                }
                _ if is_stream => (StatusCode::OK, fleet.stream_events(&to, &call, behaviour, run)),
                _ => {
                    let times = if let Behaviour::Slow(times) = behaviour { times } else { 1 };
                    let slots = fleet.with(&to.id, |r| (r.slots.clone(), r.waiting.clone()));
                    let _slot = match &slots {
                        Some((Some(slots), waiting)) => {
                            let _waits = WaitCount::begin(waiting);
                            slots.acquire().await.ok()
                        }
                        Some((None, _)) | None => None,
                    };
                    tokio::select! {
                        () = Self::crashed(crashes) => {
                            return Err(CallError::Interrupted("connection reset".to_owned()));
                        }
                        () = tokio::time::sleep(PLAIN_RUN_TIME * times) => {}
                    }
                    fleet.state.lock().runs[run].unfinished = false;
                    let body = Bytes::from(format!("answer to {}", call.id));
                    (StatusCode::OK, futures_util::stream::iter([Ok(body)]).boxed())
                }
            };
            let model = call.headers.get("model").and_then(|m| m.to_str().ok());
            let version = model.and_then(|m| fleet.with(&to.id, |r| r.versions.get(m).copied()));
            Ok(Reply {
                status,
                headers: HeaderMap::new(),
                signature: Some(format!("signed {}", call.id).into()),
                version: version.flatten(),
                load: Some(fleet.load(&to.id)),
                body,
            })
        })
    }

    fn probe(&self, to: &Target) -> BoxFuture<'static, ProbeResult> {
        let (fleet, to) = (self.clone(), to.clone());
        Box::pin(async move {
            tokio::time::sleep(PROBE_DELAY).await;
            match fleet.with(&to.id, |r| r.behaviour) {
                Some(Behaviour::Unreachable) => ProbeResult::Refused,
                Some(_) => ProbeResult::Accepted,
                None => ProbeResult::Unreachable,
            }
        })
    }

    fn status(
        &self,
        to: &Target,
        _: Duration,
    ) -> BoxFuture<'static, Result<ReplicaStatus, CallError>> {
        let (fleet, to) = (self.clone(), to.clone());
        Box::pin(async move {
            tokio::time::sleep(NETWORK_DELAY).await;
            let fails = fleet.with(&to.id, |r| {
                let fails = r.failing_statuses > 0;
                r.failing_statuses = r.failing_statuses.saturating_sub(1);
                fails
            });
            if fails == Some(true) {
                return Err(CallError::Interrupted("the status request failed".to_owned()));
            }
            let status = fleet.with(&to.id, |r| ReplicaStatus {
                started_ms: r.started_ms,
                accepted_orders: r.accepted_orders,
                busy: r.busy_until.is_some_and(|until| until > Instant::now()),
                versions: r.versions.iter().map(|(m, v)| (m.clone(), *v)).collect(),
            });
            status.ok_or(CallError::WrongInstance)
        })
    }

    fn order(
        &self,
        to: &Target,
        order: WeightOrder,
        timeout: Duration,
    ) -> BoxFuture<'static, OrderOutcome> {
        let (fleet, to) = (self.clone(), to.id.clone());
        Box::pin(async move {
            tokio::time::sleep(NETWORK_DELAY).await;
            let Some(delay) = fleet.with(&to, |r| r.order_delay).flatten() else {
                return fleet.apply_order(&to, &order);
            };
            tokio::spawn(async move {
                tokio::time::sleep(delay).await;
                fleet.apply_order(&to, &order);
            });
            tokio::time::sleep(timeout).await;
            OrderOutcome::Unknown
        })
    }
}
