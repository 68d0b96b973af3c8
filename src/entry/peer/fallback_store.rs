//! Access to the store, with a fallback to calls through other nodes while this node does not
//! reach the store itself.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use rand::seq::SliceRandom;
use tokio::sync::watch;
use tokio::time::Instant;

use super::messages::{PeerReply, PeerRequest, StoreReply, StoreRequest};
use super::peers::Peers;
use crate::Moment;
use crate::decide::Announcements;
use crate::decide::fallback::{self, CallPath};
use crate::edge::peer::PeerError;
use crate::edge::store::{Store, StoreError, StoreFuture, WatchBatch};
use crate::entry::follow::StoreContact;

/// How long another node may take with a call: its own call to the store may take a third of it,
/// and a lease has to be renewed within two seconds.
const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// How long a probe of the direct path may take. The call may have to go through another node after
/// it, and a lease has to be renewed within two seconds.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);
/// How long a call that began during an outage of the store may still take after its end.
const RECOVERY_GRACE: Duration = Duration::from_millis(100);
/// A time without any reply of the store that counts as an outage: longer than the time between
/// two renewals of a lease, and shorter than the time after which entries of replicas expire.
const MIN_OUTAGE: Duration = Duration::from_millis(1_000);
/// How many other nodes are asked in turn for one call.
const MAX_PEERS_PER_CALL: usize = 2;

/// The store, reached directly or through another node. Clones share their state.
#[derive(Debug, Clone)]
pub(in crate::entry) struct FallbackStore {
    /// The store, reached only directly.
    pub(super) direct: Arc<dyn Store>,
    /// Requests to other entry nodes.
    peers: Arc<dyn Peers>,
    state: Arc<Mutex<State>>,
    /// When the store last answered a direct call.
    contact: StoreContact,
    /// Counts how often the store became unreachable on the direct path.
    disconnects: watch::Sender<u64>,
    /// Counts how often the store became reachable again.
    recoveries: watch::Sender<u64>,
    /// The zero of the moments in `state`.
    started: Instant,
}

/// How many nodes one node notifies that the store is back. Each of them notifies a part of the
/// rest, so that a thousand nodes know after three rounds, and no node sends more than this.
const NOTICE_FANOUT: usize = 16;
/// How long a node may take to acknowledge that notice; then the next one of its part gets it. A
/// node that misses it finds out by its own probe.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(300);

/// The delay before a node that reaches the store again announces it is drawn from this time for
/// each node that it knows. Timers have a resolution of a millisecond: with 20 ms for 250 nodes,
/// six that reached the store at once often began within the same one.
const ANNOUNCE_DELAY_PER_NODE: Duration = Duration::from_micros(200);
/// The longest delay: callers that wait for the store are held up for it.
const MAX_ANNOUNCE_DELAY: Duration = Duration::from_millis(60);

/// What is known about the reachability of the store.
#[derive(Debug)]
struct State {
    /// Decides by which path calls are made.
    fallback: fallback::FallbackState,
    /// The nodes that can be asked, starting with the one that answered last.
    nodes: Vec<SocketAddr>,
    /// The largest number of nodes that were known. Probes are paced by it, because an outage ends
    /// the leases of many nodes that go on probing.
    max_nodes: usize,
    /// When the store last replied, directly or through another node.
    last_reply: Moment,
    /// When the store replied again after the last outage. None if there was no outage.
    recovered_at: Option<Moment>,
    /// The total length of past outages in which no node reached the store.
    total_outage: Duration,
    /// The announcement of the store's return that this node has passed on.
    announcements: Announcements,
}

impl State {
    /// Records a reply of the store. `recovered` says that this path did not work before, and
    /// `was_down` that the store was believed to be unreachable from every node.
    fn record_reply(&mut self, recovered: bool, was_down: bool, now: Moment) {
        if was_down && recovered {
            self.total_outage += now.saturating_sub(self.last_reply);
        }
        if recovered || now.saturating_sub(self.last_reply) > MIN_OUTAGE {
            self.recovered_at = Some(now);
        }
        self.last_reply = now;
    }
}

/// How a call through another node ended.
enum PeerCall<T> {
    /// The store replied.
    Answered(Result<T, StoreError>),
    /// The other node did not make the call.
    NotDone(StoreError),
    /// The other node may have made the call.
    Unsure(StoreError),
}

impl FallbackStore {
    /// Creates the store of a node that starts and knows only the seeds.
    pub(in crate::entry) fn new(
        direct: Arc<dyn Store>,
        peers: Arc<dyn Peers>,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let mut fallback = fallback::FallbackState::default();
        fallback.set_probe_interval(
            fallback::probe_interval(seeds.len() + 1, rand::random()),
            rand::random(),
        );
        let state = State {
            fallback,
            max_nodes: seeds.len(),
            nodes: seeds,
            last_reply: Moment::ZERO,
            recovered_at: None,
            total_outage: Duration::ZERO,
            announcements: Announcements::default(),
        };
        Self {
            direct,
            peers,
            state: Arc::new(Mutex::new(state)),
            contact: StoreContact::default(),
            disconnects: watch::Sender::new(0),
            recoveries: watch::Sender::new(0),
            started: Instant::now(),
        }
    }

    /// Returns the record of when the store last answered a direct call.
    pub(in crate::entry) fn contact(&self) -> &StoreContact {
        &self.contact
    }

    /// Whether this node is believed to reach the store directly.
    pub(in crate::entry) fn is_direct(&self) -> bool {
        self.state.lock().fallback.direct_works()
    }

    /// Whether the store is believed to be unreachable from every node.
    pub(in crate::entry) fn is_down(&self) -> bool {
        self.state.lock().fallback.is_down_for_all()
    }

    /// Returns for how long no node has reached the store. None if one does.
    pub(in crate::entry) fn outage_duration(&self) -> Option<Duration> {
        let state = self.state.lock();
        let elapsed = self.started.elapsed().saturating_sub(state.last_reply);
        state.fallback.is_down_for_all().then_some(elapsed)
    }

    /// Returns the present on a clock that stops while no node reaches the store. Nodes cannot
    /// renew their registration in that time, so it does not count towards their absence.
    pub(in crate::entry) fn store_time(&self) -> Moment {
        let state = self.state.lock();
        let now = if state.fallback.is_down_for_all() {
            state.last_reply
        } else {
            self.started.elapsed()
        };
        now.saturating_sub(state.total_outage)
    }

    /// Returns how long ago the last outage of the store ended. None if there was no outage.
    pub(in crate::entry) fn time_since_recovery(&self) -> Option<Duration> {
        let recovered_at = self.state.lock().recovered_at?;
        Some(self.started.elapsed().saturating_sub(recovered_at))
    }

    /// Sets the nodes that can be asked. The node that answered last stays first.
    pub(in crate::entry) fn set_peers(&self, nodes: Vec<SocketAddr>) {
        if nodes.is_empty() {
            return;
        }
        let mut state = self.state.lock();
        let first = state.nodes.first().copied();
        if nodes.len() > state.max_nodes {
            state.max_nodes = nodes.len();
            let interval = fallback::probe_interval(nodes.len() + 1, rand::random());
            state.fallback.set_probe_interval(interval, rand::random());
        }
        state.nodes = nodes;
        if let Some(position) = state.nodes.iter().position(|n| Some(*n) == first) {
            state.nodes.swap(0, position);
        }
    }

    /// Makes a call, directly or through another node. `repeatable` says that the call may be made
    /// more than once without harm.
    ///
    /// # Errors
    ///
    /// For a call that is not repeatable, `Refused` if it was not made and `Unknown` if it may have
    /// been made. `Compacted` if the store no longer retains the revision.
    pub(super) async fn call<T>(
        self,
        direct: StoreFuture<T>,
        request: StoreRequest,
        repeatable: bool,
        extract: fn(StoreReply) -> Option<T>,
    ) -> Result<T, StoreError> {
        let mut path = self.choose_path(repeatable);
        let mut peer_error = None;
        if path == CallPath::ViaPeer {
            match self.clone().call_peers(request.clone(), repeatable, None, extract).await {
                Err(e) if repeatable || matches!(e, StoreError::Refused(_)) => {
                    // No node can help, but the direct path may have recovered meanwhile.
                    path = self.choose_path(repeatable);
                    if path != CallPath::DirectOnly {
                        return Err(e);
                    }
                    peer_error = Some(e);
                }
                answer => return answer,
            }
        }
        let sent = Instant::now();
        let result = match path {
            CallPath::ViaPeer | CallPath::NoCall => {
                return Err(StoreError::Refused(
                    "the store is unreachable from every node".to_owned(),
                ));
            }
            CallPath::DirectProbe => probe_call(direct).await,
            CallPath::DirectOnly if repeatable => probe_call(direct).await,
            CallPath::Direct | CallPath::DirectOnly => self.until_recovery(direct).await,
        };
        let failed = match result {
            Ok(answer) => {
                // A watch may have been sent long ago, and its answer as well.
                if !matches!(request, StoreRequest::Watch { .. }) {
                    self.contact.record(sent);
                }
                self.record_success();
                return Ok(answer);
            }
            Err(StoreError::Compacted) => {
                self.record_success();
                return Err(StoreError::Compacted);
            }
            Err(e) => {
                // The caller of a watch has to learn that it was cut. That may be the end of just
                // one connection; the next call shows whether the store is still reachable.
                if matches!(request, StoreRequest::Watch { .. }) {
                    return Err(e);
                }
                self.record_failure(&e);
                let e = e.or_unknown(peer_error);
                if path == CallPath::DirectOnly
                    || (!repeatable && matches!(e, StoreError::Unknown(_)))
                {
                    return Err(e);
                }
                e
            }
        };
        self.call_peers(request, repeatable, Some(failed), extract).await
    }

    /// Probes the direct path with one call, regardless of when it was last probed. True if the
    /// store answers.
    pub(in crate::entry) async fn probe(&self, key: &str) -> bool {
        match probe_call(self.direct.get(key)).await {
            Ok(_) => {
                self.record_success();
                true
            }
            Err(e) => {
                self.record_failure(&e);
                false
            }
        }
    }

    /// Chooses the path of a call.
    fn choose_path(&self, repeatable: bool) -> CallPath {
        self.state.lock().fallback.choose_path(repeatable, self.started.elapsed())
    }

    /// Makes a call through other nodes. `failed` is the error of the direct call before it.
    async fn call_peers<T>(
        self,
        request: StoreRequest,
        repeatable: bool,
        failed: Option<StoreError>,
        extract: fn(StoreReply) -> Option<T>,
    ) -> Result<T, StoreError> {
        let nodes: Vec<SocketAddr> =
            self.state.lock().nodes.iter().copied().take(MAX_PEERS_PER_CALL).collect();
        let mut last = failed.unwrap_or_else(|| {
            StoreError::Refused("no other node is known to make the call".to_owned())
        });
        for node in nodes {
            match self.call_peer(node, request.clone(), extract).await {
                PeerCall::Answered(answer) => {
                    let mut state = self.state.lock();
                    let was_down = state.fallback.is_down_for_all();
                    let recovered = state.fallback.peer_answered();
                    state.record_reply(recovered, was_down, self.started.elapsed());
                    return answer;
                }
                PeerCall::Unsure(e) if !repeatable => return Err(e),
                PeerCall::NotDone(e) | PeerCall::Unsure(e) => last = e.or_unknown(Some(last)),
            }
            // The next call asks another node first.
            self.state.lock().nodes.rotate_left(1);
        }
        self.state.lock().fallback.peers_failed(self.started.elapsed());
        Err(last)
    }

    /// Makes a call through one other node.
    async fn call_peer<T>(
        &self,
        node: SocketAddr,
        request: StoreRequest,
        extract: fn(StoreReply) -> Option<T>,
    ) -> PeerCall<T> {
        let timeout = match &request {
            StoreRequest::Watch { wait, .. } => PEER_CALL_TIMEOUT + *wait,
            _ => PEER_CALL_TIMEOUT,
        };
        match self.peers.request(node, PeerRequest::Store(request), timeout).await {
            Ok(PeerReply::Store(Ok(reply))) => {
                PeerCall::Answered(extract(reply).ok_or_else(|| {
                    StoreError::Unknown(
                        "the node replied with a message of another kind".to_owned(),
                    )
                }))
            }
            Ok(PeerReply::Store(Err(StoreError::Compacted))) => {
                PeerCall::Answered(Err(StoreError::Compacted))
            }
            Ok(PeerReply::Store(Err(e @ StoreError::Refused(_)))) => PeerCall::NotDone(e),
            Ok(PeerReply::Store(Err(e))) => PeerCall::Unsure(e),
            Ok(_) => PeerCall::Unsure(StoreError::Unknown(
                "the node replied with a message of another kind".to_owned(),
            )),
            Err(e @ PeerError::Connect { .. }) => {
                PeerCall::NotDone(StoreError::Refused(e.to_string()))
            }
            Err(e) => PeerCall::Unsure(StoreError::Unknown(e.to_string())),
        }
    }

    /// Awaits a direct call. A call that began during an outage gets no answer after its end
    /// either, so it is given up [`RECOVERY_GRACE`] after that.
    async fn until_recovery<T>(&self, call: StoreFuture<T>) -> Result<T, StoreError> {
        let mut recoveries = self.recoveries.subscribe();
        tokio::select! {
            answer = call => answer,
            () = async {
                let _ = recoveries.changed().await;
                tokio::time::sleep(RECOVERY_GRACE).await;
            } => Err(StoreError::Unknown("no answer before the store came back".to_owned())),
        }
    }

    /// Wraps a direct watch so that it fails once the store becomes unreachable: the watch itself
    /// would go on waiting.
    pub(super) fn until_closed(&self, watched: StoreFuture<WatchBatch>) -> StoreFuture<WatchBatch> {
        let mut disconnects = self.disconnects.subscribe();
        Box::pin(async move {
            tokio::select! {
                watched = watched => watched,
                _ = disconnects.changed() => {
                    Err(StoreError::Unknown("the store became unreachable".to_owned()))
                }
            }
        })
    }

    /// Records that the store answered a direct call. Notifies the other nodes if no node reached
    /// it before.
    fn record_success(&self) {
        let (was_down, recovered) = {
            let mut state = self.state.lock();
            let was_down = state.fallback.is_down_for_all();
            let recovered = state.fallback.direct_answered();
            state.record_reply(recovered, was_down, self.started.elapsed());
            (was_down, recovered)
        };
        if !recovered {
            return;
        }
        self.recoveries.send_modify(|n| *n += 1);
        tracing::info!(event = "store_reached", way = "direct");
        if was_down {
            tokio::spawn(self.clone().announce_unless_told());
        }
    }

    /// Announces that the store is back, unless another node does so within a short random time.
    ///
    /// Load pattern: the probes of several of hundreds of nodes are answered at the same moment.
    async fn announce_unless_told(self) {
        let nodes = self.state.lock().nodes.len() as u32;
        let longest = (ANNOUNCE_DELAY_PER_NODE * nodes).min(MAX_ANNOUNCE_DELAY);
        tokio::time::sleep(longest.mul_f64(rand::random())).await;
        let id = rand::random();
        let mut nodes = {
            let mut state = self.state.lock();
            let now = self.started.elapsed();
            if state.announcements.is_under_way(now) || !state.announcements.passes_on(id, now) {
                return;
            }
            state.nodes.clone()
        };
        // In an order of its own, each of several announcements is passed on by other nodes.
        nodes.shuffle(&mut rand::rng());
        self.announce_recovery(nodes, id).await;
    }

    /// Notifies nodes that the store is back, so that they call it at once.
    async fn announce_recovery(self, nodes: Vec<SocketAddr>, id: u64) {
        let part_size = nodes.len().div_ceil(NOTICE_FANOUT).max(1);
        let notices = nodes.chunks(part_size).map(|part| self.notify_part(part, id));
        futures_util::future::join_all(notices).await;
    }

    /// Notifies the first of some nodes that replies, which notifies those after it.
    async fn notify_part(&self, part: &[SocketAddr], id: u64) {
        let mut rest = part;
        while let [to, others @ ..] = rest {
            let request = PeerRequest::StoreRecovered { rest: others.to_vec(), id };
            if self.peers.request(*to, request, NOTICE_TIMEOUT).await.is_ok() {
                return;
            }
            rest = others;
        }
    }

    /// Handles the notice of another node that the store is back, and passes it on to `rest`
    /// unless another announcement of the same return covers these nodes.
    pub(super) fn on_recovery_notice(&self, rest: Vec<SocketAddr>, id: u64) {
        let now = self.started.elapsed();
        let passes_on = self.state.lock().announcements.passes_on(id, now);
        if passes_on && !rest.is_empty() {
            tokio::spawn(self.clone().announce_recovery(rest, id));
        }
        {
            let mut state = self.state.lock();
            if !state.fallback.is_down_for_all() {
                return;
            }
            state.fallback.on_recovery_notice();
            state.record_reply(true, true, self.started.elapsed());
        }
        self.recoveries.send_modify(|n| *n += 1);
        tracing::info!(event = "store_reached", way = "told");
    }

    /// Waits for `delay`, or until the store is back if that is earlier.
    pub(in crate::entry) async fn wait_for_recovery(&self, delay: Duration) {
        let mut recoveries = self.recoveries.subscribe();
        let _ = tokio::time::timeout(delay, recoveries.changed()).await;
    }

    /// Records that a direct call failed.
    fn record_failure(&self, e: &StoreError) {
        let new_outage = {
            let mut state = self.state.lock();
            let new = state.fallback.direct_failed(self.started.elapsed());
            if new {
                state.announcements.outage_began();
            }
            new
        };
        if new_outage {
            self.disconnects.send_modify(|n| *n += 1);
            tracing::info!(event = "store_not_reached", way = "direct", error = %e);
        }
    }
}

/// Makes a call within [`PROBE_TIMEOUT`], to show soon whether the direct path works.
async fn probe_call<T>(call: StoreFuture<T>) -> Result<T, StoreError> {
    let late = || StoreError::Unknown("no answer to a probe".to_owned());
    tokio::time::timeout(PROBE_TIMEOUT, call).await.unwrap_or_else(|_| Err(late()))
}
