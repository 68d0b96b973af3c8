//! The state that all tasks of an entry node share.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::calls::Calls;
use super::counted_store::CountedStore;
use super::ended_jobs::EndedJobs;
use super::follow::{Feeds, RouteVersions};
use super::membership::Membership;
use super::owned_jobs::OwnedJobs;
use super::peer::{FallbackStore, Peers};
use super::ports::Ports;
use super::quarantine::EntryQuarantine;
use super::remote_jobs::RemoteJobs;
use super::service_times::ServiceTimes;
use super::slots::Slots;
use super::usage::Usage;
use crate::decide::load::MemoryUse;
use crate::decide::retry_after::retry_after;
use crate::decide::scale::DemandEstimator;
use crate::decide::{Demand, Routes, StopPlan};
use crate::edge::MemoryBudget;
use crate::edge::duty::Duties;
use crate::edge::http::BodyReader;
use crate::edge::replica::Replicas;
use crate::edge::schema::StoreSchema;
use crate::edge::store::Store;
use crate::metrics::{EntryMetrics, HeldFor};
use crate::settings::EntrySettings;
use crate::{Moment, Name};

/// The shared state of an entry node.
#[derive(Debug)]
pub struct App {
    /// The settings of the node.
    pub settings: EntrySettings,
    /// The counters and gauges of the node.
    pub tally: Arc<EntryMetrics>,
    /// The memory that the node holds for the bodies, responses and events of calls.
    pub memory: MemoryBudget,
    /// Reads the bodies of requests within that memory.
    pub bodies: BodyReader,
    /// The memory that the node holds for the jobs that it owns.
    pub(super) job_memory: MemoryBudget,
    /// The store, through another node if this node does not reach it. The same as
    /// `fallback_store`.
    pub(super) store: Arc<dyn Store>,
    /// The store, reached only directly.
    pub(super) direct_store: Arc<dyn Store>,
    /// Whether the store is reachable, and calls to it through other nodes.
    pub(super) fallback_store: FallbackStore,
    /// Requests to other entry nodes.
    pub(super) peers: Arc<dyn Peers>,
    /// Nodes that did not reply, and until when they get no requests.
    pub(super) unreachable_peers: Mutex<HashMap<SocketAddr, Moment>>,
    /// Calls to the replicas.
    pub(super) replicas: Arc<dyn Replicas>,
    /// The layout of the keys and values that the platform and trainers write.
    pub(super) schema: Arc<dyn StoreSchema>,
    /// Calls that only the leader makes to the platform.
    pub(super) duties: Arc<dyn Duties>,
    /// The usage counts. None if the settings do not ask for usage reports.
    pub(super) usage: Option<Arc<Usage>>,
    /// The unique name of this run of the process: the name of the node and a random number.
    pub(super) incarnation: Name,
    /// The configuration in force. None before the first.
    pub(super) routes: Mutex<Option<Arc<Routes>>>,
    /// The versions of the configuration that this node knows, and those that its jobs need.
    pub(super) route_versions: RouteVersions,
    /// The newest version of the weights that was announced for each model.
    pub(super) versions: Mutex<BTreeMap<Name, u64>>,
    /// The work of training steps by model: of the jobs of this node, and on the leader
    /// also of the jobs of other nodes.
    pub(super) demand: Mutex<Demand>,
    /// The slots that the samples of all nodes need, on the leader.
    pub(super) slot_load: Mutex<DemandEstimator>,
    /// The replicas and the samples that wait for their slots.
    pub(super) slots: Slots,
    /// Requests that crash the replicas that run them.
    pub(super) quarantine: Arc<EntryQuarantine>,
    /// How long the requests of clients take.
    pub(super) service_times: ServiceTimes,
    /// The requests without weights that wait for a slot.
    pub(super) calls: Calls,
    /// The registered nodes and the leader.
    pub(super) membership: Mutex<Membership>,
    /// The jobs that this node owns.
    pub(super) owned_jobs: OwnedJobs,
    /// Jobs that ran here and have ended.
    pub(super) ended_jobs: EndedJobs,
    /// What other nodes may follow on this node.
    pub(super) feeds: Feeds,
    /// Copies of jobs that other nodes own.
    pub(super) remote_jobs: RemoteJobs,
    /// Counts changes of versions, replicas and nodes, to wake up waiting tasks.
    pub(super) view_changes: watch::Sender<u64>,
    /// The lease of this node in the store.
    pub(super) lease: Mutex<Lease>,
    /// Asks for a renewal of the lease at once: its answer confirms the views of a node that has
    /// just resumed to watch.
    pub(super) renewal_due: Notify,
    /// When this node last sent an order or made another call as the leader.
    pub(super) last_duty: Mutex<Option<Moment>>,
    /// The schedule of the stop, once the process is stopping.
    pub(super) stop_plan: OnceLock<StopPlan>,
    /// Whether the node has its key in the store.
    pub(super) registered: AtomicBool,
    /// Whether the routes are from another node's old snapshot, and the store has not answered
    /// since.
    pub(super) stale_routes: AtomicBool,
    /// The state of [`App::draw`].
    pub(super) draw_counter: AtomicU64,
    /// Counts watches that were cut. The store may have dropped its history with them, so that
    /// changes may have been missed.
    pub(super) watch_gaps: AtomicU64,
    /// Cancelled when the process begins to drain: its background work stops, and the listeners go
    /// on.
    pub(super) stop: CancellationToken,
    /// The running background tasks.
    tasks: TaskTracker,
    /// Cancelled when the process ends: every task is dropped wherever it is.
    pub(super) abort: CancellationToken,
    /// When the process started.
    started: Instant,
}

/// The lease of the node in the store.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Lease {
    /// The id of the lease; 0 before the first.
    pub id: u64,
    /// Until when the lease is certain not to have expired.
    pub valid_until: Moment,
    /// The revision of the node's key, which is bound to the lease.
    pub key_revision: u64,
}

impl App {
    /// Creates the state of a node that starts. `peers` makes the port to other nodes.
    pub(super) fn new(
        settings: EntrySettings,
        ports: Ports,
        peers: impl FnOnce(Arc<EntryMetrics>) -> Arc<dyn Peers>,
    ) -> Arc<Self> {
        let Ports { store, replicas, schema, duties, clock } = ports;
        let incarnation: Name = format!("{}.{:08x}", settings.name, rand::random::<u32>()).into();
        let tally = Arc::new(EntryMetrics::default());
        let peers = peers(tally.clone());
        let direct = Arc::new(CountedStore::new(store, schema.clone(), tally.clone()));
        let fallback_store =
            FallbackStore::new(direct.clone(), peers.clone(), settings.seeds.clone());
        let feeds = Feeds::new(fallback_store.contact());
        let slots = Slots::new(settings.zone.clone(), settings.name.clone());
        let quarantine = Arc::new(EntryQuarantine::new(
            incarnation.clone(),
            slots.fleet.clone(),
            replicas.clone(),
            peers.clone(),
            tally.clone(),
        ));
        let usage = settings.usage_windows.map(|windows| Arc::new(Usage::new(windows, clock)));
        let memory = MemoryBudget::new(MemoryUse::call_limit(&settings.limits));
        let job_memory = MemoryBudget::new(MemoryUse::job_limit(&settings.limits));
        Arc::new(Self {
            settings,
            service_times: ServiceTimes::default(),
            calls: Calls::new(tally.clone()),
            bodies: BodyReader::new(memory.clone()),
            memory,
            job_memory,
            tally,
            store: Arc::new(fallback_store.clone()),
            direct_store: direct,
            fallback_store,
            peers,
            unreachable_peers: Mutex::default(),
            replicas,
            schema,
            duties,
            usage,
            incarnation,
            routes: Mutex::default(),
            route_versions: RouteVersions::default(),
            versions: Mutex::default(),
            demand: Mutex::default(),
            slot_load: Mutex::default(),
            slots,
            quarantine,
            membership: Mutex::default(),
            owned_jobs: OwnedJobs::default(),
            ended_jobs: EndedJobs::default(),
            feeds,
            remote_jobs: RemoteJobs::default(),
            view_changes: watch::Sender::new(0),
            lease: Mutex::default(),
            renewal_due: Notify::new(),
            last_duty: Mutex::default(),
            stop_plan: OnceLock::new(),
            registered: AtomicBool::new(false),
            stale_routes: AtomicBool::new(false),
            draw_counter: AtomicU64::new(u64::from(rand::random::<u32>())),
            watch_gaps: AtomicU64::new(0),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
            abort: CancellationToken::new(),
            started: Instant::now(),
        })
    }

    /// Runs a task until it returns or the process ends.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let abort = self.abort.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = abort.cancelled() => {}
                () = task => {}
            }
        });
    }

    /// Returns the present as the time since the process started.
    pub(super) fn now(&self) -> Moment {
        self.started.elapsed()
    }

    /// Returns the present on a clock that stops while no node reaches the store, by which missing
    /// nodes are judged.
    pub(super) fn store_time(&self) -> Moment {
        self.fallback_store.store_time()
    }

    /// Returns the configuration in force. None before the first.
    pub fn routes(&self) -> Option<Arc<Routes>> {
        self.routes.lock().clone()
    }

    /// Returns all counters and gauges as text.
    pub fn metrics(&self) -> String {
        self.tally.open_jobs.set(self.owned_jobs.all().len() as i64);
        self.tally.remote_jobs.set(self.remote_jobs.len() as i64);
        self.tally.routes_version.set(self.routes().map_or(0, |r| r.version as i64));
        self.tally.over_share.set(self.slots.over_share() as i64);
        let invalid = self.membership.lock().invalid_capacity_count();
        self.tally.invalid_capacities.set(invalid as i64);
        self.tally.record_memory(HeldFor::Calls, self.memory.held(), self.memory.limit());
        self.tally.record_memory(HeldFor::Jobs, self.job_memory.held(), self.job_memory.limit());
        self.tally.dropped_lines.set(crate::logs::dropped_lines() as i64);
        self.tally.text_format()
    }

    /// Whether a route that is not known here may have been added: the store does not answer, and
    /// the routes are from an old snapshot of another node.
    pub fn routes_may_be_stale(&self) -> bool {
        self.stale_routes.load(Ordering::Relaxed)
    }

    /// Whether clients may be directed to this node.
    pub fn ready(&self) -> bool {
        let known = self.routes.lock().is_some() && self.registered.load(Ordering::Relaxed);
        known && !self.draining()
    }

    /// Whether the process is stopping.
    pub fn draining(&self) -> bool {
        self.stop_plan.get().is_some()
    }

    /// Returns a number that differs from call to call, for weighted choices.
    pub(super) fn draw(&self) -> u32 {
        // An odd step far from a multiple of usual sums of weights spreads draws evenly.
        (self.draw_counter.fetch_add(0x9E37_79B9, Ordering::Relaxed) >> 3) as u32
    }

    /// Wakes up the tasks that wait for changes of versions, replicas and nodes.
    pub(super) fn notify_view_change(&self) {
        self.view_changes.send_modify(|n| *n += 1);
    }

    /// Whether this node is believed to reach the store directly.
    pub fn reaches_store(&self) -> bool {
        self.fallback_store.is_direct()
    }

    /// Returns the number of replicas that are listed.
    pub fn replica_count(&self) -> usize {
        self.slots.fleet.lock().len()
    }

    /// Returns how long a client that is refused now has to wait before it retries.
    pub fn retry_after(&self) -> Duration {
        retry_after(self.fallback_store.outage_duration(), self.draw())
    }

    /// Whether the node may send orders: more than half of the lease time remains since the last
    /// renewal. The next leader relies on that, see [`App::takeover_delay`].
    pub(super) fn may_order(&self) -> bool {
        let half = self.settings.lease_ttl / 2;
        self.lease.lock().valid_until > self.now() + half
    }

    /// Whether the term of this node as leader is certain to last: [`App::may_order`] holds, and no
    /// newer leader is known. `fencing_token` is the revision of the leader key that began the
    /// term.
    pub(super) fn holds_term(&self, fencing_token: u64) -> bool {
        let leader = self.membership.lock().leader().map(|leader| leader.revision);
        self.may_order() && leader.is_none_or(|revision| revision <= fencing_token)
    }

    /// Returns how long a new leader waits before its first order. The previous leader sent its
    /// last order at least half a lease time before its key expired.
    pub(super) fn takeover_delay(&self) -> Duration {
        self.settings.order_gap.saturating_sub(self.settings.lease_ttl / 2)
    }

    /// Whether the lease of this node is certain to be valid now.
    pub(super) fn has_lease(&self) -> bool {
        self.lease.lock().valid_until > self.now()
    }
}

/// A map by name, which can be searched by `&str`.
pub(super) type ByName<T> = HashMap<Name, T>;
