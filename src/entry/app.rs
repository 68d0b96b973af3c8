//! What all tasks of a process share.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::counted_store::CountedStore;
use super::ended_jobs::EndedJobs;
use super::follow::Feeds;
use super::homes::Homes;
use super::live::Live;
use super::peer::{FallbackStore, Peers};
use super::ports::Ports;
use super::remote_jobs::RemoteJobs;
use super::slots::Slots;
use super::usage::Usage;
use crate::decide::comeback::come_back;
use crate::decide::scale::Load;
use crate::decide::{Demand, Routes};
use crate::edge::duty::Duties;
use crate::edge::notice::Notices;
use crate::edge::replica::Replicas;
use crate::edge::store::Store;
use crate::metrics::Tally;
use crate::settings::EntrySettings;
use crate::{Moment, Name};

/// The context of a process.
#[derive(Debug)]
pub struct App {
    /// Its settings.
    pub settings: EntrySettings,
    /// What it counts.
    pub tally: Arc<Tally>,
    /// The store, if need be through another node.
    pub(super) store: Arc<dyn Store>,
    /// The store as this node reaches it itself.
    pub(super) direct_store: Arc<dyn Store>,
    pub(super) fallback_store: FallbackStore,
    pub(super) peers: Arc<dyn Peers>,
    /// Nodes that did not answer, and until when they are not asked.
    pub(super) unreachable_peers: Mutex<HashMap<SocketAddr, Moment>>,
    pub(super) replicas: Arc<dyn Replicas>,
    pub(super) notices: Arc<dyn Notices>,
    pub(super) duties: Arc<dyn Duties>,
    /// Usage; none where nobody wants it reported.
    pub(super) usage: Option<Arc<Usage>>,
    /// This incarnation of the process.
    pub(super) incarnation: Name,
    pub(super) routes: Mutex<Option<Arc<Routes>>>,
    pub(super) versions: Mutex<BTreeMap<Name, u64>>,
    /// What steps bring, here and, at who gives orders, at other homes.
    pub(super) demand: Mutex<Demand>,
    /// What the samples of all homes want, at the holder of duties.
    pub(super) load: Mutex<Load>,
    pub(super) slots: Slots,
    pub(super) membership: Mutex<Live>,
    pub(super) owned_jobs: Homes,
    pub(super) ended_jobs: EndedJobs,
    pub(super) feeds: Feeds,
    pub(super) remote_jobs: RemoteJobs,
    /// Counts changes of versions, replicas and nodes.
    pub(super) view_changes: watch::Sender<u64>,
    pub(super) lease: Mutex<Lease>,
    /// When this node gave its last order, or did another duty.
    pub(super) last_duty: Mutex<Option<Moment>>,
    pub(super) draining: AtomicBool,
    pub(super) registered: AtomicBool,
    /// Whether the routes are another node's, and the store has not been heard of since.
    pub(super) stale_routes: AtomicBool,
    pub(super) draws: AtomicU64,
    /// Counts watches that were cut: the store's history may have gone with them.
    pub(super) watch_gaps: AtomicU64,
    /// Cancelled when the process is to stop its own work.
    pub(super) stop: CancellationToken,
    tasks: TaskTracker,
    /// Cancelled when the process is gone: every task ends where it is.
    pub(super) abort: CancellationToken,
    begun: Instant,
}

/// The node's lease in the store.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Lease {
    /// Its number; 0 for none.
    pub id: u64,
    /// Until when it surely holds.
    pub valid_until: Moment,
    /// The revision of the node's key under it.
    pub key_revision: u64,
}

impl App {
    pub(super) fn new(
        settings: EntrySettings,
        ports: Ports,
        peers: impl FnOnce(Arc<Tally>) -> Arc<dyn Peers>,
    ) -> Arc<Self> {
        let Ports { store, replicas, notices, duties, clock } = ports;
        let life = format!("{}.{:08x}", settings.name, rand::random::<u32>()).into();
        let tally = Arc::new(Tally::default());
        let peers = peers(tally.clone());
        let direct = Arc::new(CountedStore::new(store, notices.clone(), tally.clone()));
        let detour = FallbackStore::new(direct.clone(), peers.clone(), settings.seeds.clone());
        let slots = Slots::new(settings.zone.clone());
        let usage = settings.usage_windows.map(|windows| Arc::new(Usage::new(windows, clock)));
        Arc::new(Self {
            settings,
            tally,
            store: Arc::new(detour.clone()),
            direct_store: direct,
            fallback_store: detour,
            peers,
            unreachable_peers: Mutex::default(),
            replicas,
            notices,
            duties,
            usage,
            incarnation: life,
            routes: Mutex::default(),
            versions: Mutex::default(),
            demand: Mutex::default(),
            load: Mutex::default(),
            slots,
            membership: Mutex::default(),
            owned_jobs: Homes::default(),
            ended_jobs: EndedJobs::default(),
            feeds: Feeds::default(),
            remote_jobs: RemoteJobs::default(),
            view_changes: watch::Sender::new(0),
            lease: Mutex::default(),
            last_duty: Mutex::default(),
            draining: AtomicBool::new(false),
            registered: AtomicBool::new(false),
            stale_routes: AtomicBool::new(false),
            draws: AtomicU64::new(u64::from(rand::random::<u32>())),
            watch_gaps: AtomicU64::new(0),
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
            abort: CancellationToken::new(),
            begun: Instant::now(),
        })
    }

    /// Runs a task for as long as the process lasts.
    pub(super) fn spawn(&self, task: impl Future<Output = ()> + Send + 'static) {
        let gone = self.abort.clone();
        self.tasks.spawn(async move {
            tokio::select! {
                () = gone.cancelled() => {}
                () = task => {}
            }
        });
    }

    /// The present, as the time since the process began.
    pub(super) fn now(&self) -> Moment {
        self.begun.elapsed()
    }

    /// The present as missing nodes are judged by: it stands while the store is away.
    pub(super) fn store_time(&self) -> Moment {
        self.fallback_store.store_time()
    }

    /// The configuration in force; none before the first.
    pub fn routes(&self) -> Option<Arc<Routes>> {
        self.routes.lock().clone()
    }

    /// The text of all counters and gauges.
    pub fn metrics(&self) -> String {
        self.tally.open_jobs.set(self.owned_jobs.all().len() as i64);
        self.tally.routes.set(self.routes().map_or(0, |r| r.version as i64));
        self.tally.lines_dropped.set(crate::logs::dropped() as i64);
        self.tally.text()
    }

    /// Whether a route that is not there may have come since: the store does not answer, and
    /// the routes are those that another node had.
    pub fn routes_may_be_stale(&self) -> bool {
        self.stale_routes.load(Ordering::Relaxed)
    }

    /// Whether clients may be sent here.
    pub fn ready(&self) -> bool {
        let known = self.routes.lock().is_some() && self.registered.load(Ordering::Relaxed);
        known && !self.draining()
    }

    /// Whether the process is stopping.
    pub fn draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// A number that differs from call to call, for weighted choices.
    pub(super) fn draw(&self) -> u32 {
        // An odd step far from a multiple of usual sums of weights spreads draws evenly.
        (self.draws.fetch_add(0x9E37_79B9, Ordering::Relaxed) >> 3) as u32
    }

    /// Tells all who wait for news.
    pub(super) fn notify_view_change(&self) {
        self.view_changes.send_modify(|n| *n += 1);
    }

    /// Whether the store answers this node itself, as far as is known.
    pub(super) fn reaches_store(&self) -> bool {
        self.fallback_store.is_direct()
    }

    /// When a client that is refused now is to come back.
    pub fn retry_after(&self) -> Duration {
        come_back(self.fallback_store.outage_duration(), self.draw())
    }

    /// Whether the node may give orders: it has renewed its lease within half of its time.
    /// Whoever is holder after it counts on that, see [`App::turn`].
    pub(super) fn may_order(&self) -> bool {
        let half = self.settings.lease_ttl / 2;
        self.lease.lock().valid_until > self.now() + half
    }

    /// Whether a term surely lasts: the lease does, and no other holder was seen.
    pub(super) fn holds_term(&self, fence: u64) -> bool {
        let seen = self.membership.lock().holder().map(|seen| seen.revision);
        self.may_order() && seen.is_none_or(|revision| revision <= fence)
    }

    /// How long a new holder waits before its first order. The one before gave its last
    /// order half a lease before its key went, at the latest.
    pub(super) fn takeover_delay(&self) -> Duration {
        self.settings.order_gap.saturating_sub(self.settings.lease_ttl / 2)
    }

    /// Whether the node's lease surely holds now.
    pub(super) fn has_lease(&self) -> bool {
        self.lease.lock().valid_until > self.now()
    }
}

/// Names by key, for lookups by text.
pub(super) type ByName<T> = HashMap<Name, T>;
