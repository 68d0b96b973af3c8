//! Chooses where a node gets changes from: its own watch of the store, or a node that watches
//! the store for others.
//!
//! Load pattern: every node needs each change of a replica or a node, and each watch that
//! returns is a call to the store. If every node watches, the calls grow with the square of the
//! fleet.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use parking_lot::Mutex;

use super::feed::{Feed, FeedReply};
use super::received_update::PeerUpdate;
use super::store_contact::StoreContact;
use crate::decide::{ViewAge, rendezvous_rank, rendezvous_score, watcher_count};
use crate::edge::peer::ReplyStart;
use crate::entry::app::App;
use crate::entry::membership::NodeSet;
use crate::entry::peer::{FeedTopic, MAX_UPDATE_WAIT, NO_REVISION, SnapshotReply};
use crate::{Moment, Name};

/// The key by which nodes are ranked as watchers.
const WATCHER_RANKING_KEY: &str = "watchers";
/// How many watchers are asked in turn before a node watches the store itself.
const MAX_WATCHERS_ASKED: usize = 3;
/// How much later than the end of its wait a watcher may reply before the next one is asked as
/// well. A reply takes a few milliseconds unless the watcher is short of processor time.
const LATE_REPLY_DELAY: Duration = Duration::from_millis(150);
/// How long a watcher whose reply was late is asked after the others.
const LATE_WATCHER_BACKOFF: Duration = Duration::from_millis(2_500);
/// The delay between two rounds: reading a snapshot takes a few calls of a few milliseconds.
const ROUND_DELAY: Duration = Duration::from_millis(100);
/// How old a snapshot from another node may be for a node that starts: nodes ask for updates
/// once a second, and watchers hear from the store every 0.7 s.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_millis(2_000);

/// How long a node that starts waits for a seed that is starting as well: all nodes of a fleet
/// start within a third of a second of each other, and seeds read the store at once.
const SEED_WAIT: Duration = Duration::from_millis(800);
/// How much later each further seed is asked, and a seed that gave no snapshot is asked again. A
/// round trip between availability zones with the answer takes a tenth of it if the seed runs.
const SEED_STAGGER: Duration = Duration::from_millis(40);

/// The most keys that a node takes from a seed when it starts. Hundreds of nodes may start at once
/// with three seeds; larger lists come from the watchers.
pub(super) const MAX_SEED_KEYS: usize = 1_000;
/// From this many known nodes on, the watchers are taken to be final. With fewer, the nodes of a
/// large fleet may still be starting.
const SETTLED_FLEET_NODES: usize = 256;
/// How long a node of a large fleet waits for others that start with it.
const SETTLE_DELAY: Duration = Duration::from_millis(1_000);
/// How long a node that starts asks the watchers for a large snapshot before it reads the store.
const FIRST_SNAPSHOT_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a node that starts waits for the list of nodes before it judges their number.
const NODES_TIMEOUT: Duration = Duration::from_secs(5);
/// The delay between two requests for the first large snapshot. Hundreds of nodes ask, and a
/// watcher has to read the list meanwhile.
const FIRST_ROUND_DELAY: Duration = Duration::from_millis(400);
/// After how many such requests other watchers are asked: each one is a connection more.
const ROUNDS_PER_SOURCE: usize = 5;

/// The feeds that other nodes may follow on this node.
#[derive(Debug, Default)]
pub(in crate::entry) struct Feeds {
    /// The seed that gave the first snapshot.
    first_source: Mutex<Option<SocketAddr>>,
    /// The watchers of the last known set of nodes.
    watchers: Mutex<Option<KnownWatchers>>,
    /// Watchers whose replies were late, and until when they are asked last.
    late: Mutex<HashMap<SocketAddr, Moment>>,
    routes: Feed,
    replicas: Feed,
    nodes: Feed,
}

/// The names and addresses of the nodes that watch the store for others.
type Watchers = Arc<[(Name, SocketAddr)]>;

/// The watchers of a set of nodes.
#[derive(Debug)]
struct KnownWatchers {
    nodes: NodeSet,
    watchers: Option<Watchers>,
}

impl Feeds {
    /// Creates the feeds of a node whose calls to the store are recorded in `contact`.
    pub(in crate::entry) fn new(contact: &StoreContact) -> Self {
        let feed = || Feed::new(contact.clone());
        Self { routes: feed(), replicas: feed(), nodes: feed(), ..Self::default() }
    }

    /// Returns the feed of a topic.
    pub(in crate::entry) fn get(&self, topic: FeedTopic) -> &Feed {
        match topic {
            FeedTopic::Routes => &self.routes,
            FeedTopic::Replicas => &self.replicas,
            FeedTopic::Nodes => &self.nodes,
        }
    }
}

impl App {
    /// Fetches an update after a revision from a node that watches for others. None if this node
    /// has to read or watch the store itself: it is a watcher, no watcher can be asked, or none
    /// has confirmed the view in time.
    pub(super) async fn fetch_update(
        &self,
        topic: FeedTopic,
        after: u64,
        view: ViewAge,
    ) -> Option<PeerUpdate> {
        let mut round = 0;
        loop {
            let sources = self.update_sources(round);
            if sources.is_empty() {
                return None;
            }
            let view = self.without_outage(view);
            let poll = self.poll_watchers(sources, topic, after, view);
            let left = view.time_until_read(self.now());
            if let Ok(Some(update)) = tokio::time::timeout(left, poll).await {
                return Some(update);
            }
            let now = self.now();
            if now >= self.without_outage(view).read_due() {
                self.tally.unconfirmed_views.inc();
                let age_ms = view.age(now).as_millis();
                tracing::info!(event = "view_not_confirmed", ?topic, age_ms, round);
                return None;
            }
            round += 1;
            self.fallback_store.wait_for_recovery(ROUND_DELAY).await;
        }
    }

    /// Returns a view as if it was confirmed at the end of the last outage of the store, or now while
    /// that lasts.
    ///
    /// Load pattern: all views are overdue after an outage. If every node read the store at its end,
    /// its link would be full; so the watchers have the time to read it for the others.
    fn without_outage(&self, view: ViewAge) -> ViewAge {
        let mut view = view;
        if self.fallback_store.is_down() {
            view.confirm(self.now());
        } else if let Some(since) = self.fallback_store.time_since_recovery() {
            view.confirm(self.now().saturating_sub(since));
        }
        view
    }

    /// Asks watchers for an update after a revision: the next one as soon as one has none, or as
    /// its reply does not begin in time. Returns the first update.
    ///
    /// Load pattern: a long reply to many nodes fills the link of the watcher. If they asked the next
    /// one before its end, that link would be full as well, of replies that are thrown away.
    async fn poll_watchers(
        &self,
        sources: Vec<SocketAddr>,
        topic: FeedTopic,
        after: u64,
        view: ViewAge,
    ) -> Option<PeerUpdate> {
        let mut replies = FuturesUnordered::new();
        let mut is_late = false;
        for from in sources {
            let wait = match is_late {
                true => Duration::ZERO,
                false => view.poll_wait(self.now(), MAX_UPDATE_WAIT),
            };
            let start = ReplyStart::default();
            replies.push(self.poll_watcher(from, topic, after, wait, start.clone()));
            let late = tokio::time::sleep(wait + LATE_REPLY_DELAY);
            let reply = tokio::select! {
                reply = replies.next() => reply,
                () = late => match start.has_begun() {
                    true => replies.next().await,
                    false => {
                        self.record_late(from, topic, wait);
                        is_late = true;
                        None
                    }
                },
            };
            if let Some(Some(update)) = reply {
                return Some(update);
            }
        }
        while let Some(reply) = replies.next().await {
            if reply.is_some() {
                return reply;
            }
        }
        None
    }

    /// Records that a watcher did not reply in time, so that it is asked last for a while.
    fn record_late(&self, from: SocketAddr, topic: FeedTopic, wait: Duration) {
        tracing::info!(event = "watcher_late", ?topic, %from, waited_ms = wait.as_millis());
        let until = self.now() + LATE_WATCHER_BACKOFF;
        self.feeds.late.lock().insert(from, until);
    }

    /// Asks one watcher for an update after a revision.
    async fn poll_watcher(
        &self,
        from: SocketAddr,
        topic: FeedTopic,
        after: u64,
        wait: Duration,
        start: ReplyStart,
    ) -> Option<PeerUpdate> {
        let reply = self.fetch_update_from(from, topic, after, wait, start).await?;
        PeerUpdate::unpack(from, reply)
    }

    /// Fetches the first snapshot from the seeds, which are the nodes named in the settings. None
    /// if this node is a seed or no seed has a recent snapshot.
    ///
    /// Load pattern: hundreds of nodes start at once, in a new deployment or after a power loss.
    /// When each node read the store, each made seven calls, 1,750 for 250 nodes. Now only the
    /// seeds read the store, and the other nodes wait for one of them.
    pub(super) async fn fetch_initial(&self, topic: FeedTopic) -> Option<PeerUpdate> {
        if self.is_seed() {
            return None;
        }
        let seeds = self.other_seeds();
        let deadline = self.now() + SEED_WAIT;
        let requests = seeds.iter().zip(0..).map(|(seed, index)| async move {
            tokio::time::sleep(SEED_STAGGER * index).await;
            self.fetch_initial_from(*seed, topic, deadline).await
        });
        let mut replies: FuturesUnordered<_> = requests.collect();
        let mut silent = !seeds.is_empty();
        while let Some(reply) = replies.next().await {
            match reply {
                InitialReply::Update(update) => return Some(update),
                InitialReply::TooLarge => return self.fetch_first(topic).await,
                InitialReply::Stale => silent = false,
                InitialReply::Nothing => {}
            }
        }
        // The seeds of a large fleet may need longer to read a long list.
        if topic == FeedTopic::Replicas && silent && self.is_fleet_large().await {
            return self.fetch_first(topic).await;
        }
        None
    }

    /// Waits until the nodes are known and those that start with this one are registered. Returns
    /// whether the fleet is so large that only its watchers read a long list from the store.
    ///
    /// Load pattern: all machines lose power at once. The seeds are busy with hundreds of nodes for
    /// seconds, and a node that gave them up would read megabytes from the store, as all others.
    async fn is_fleet_large(&self) -> bool {
        let deadline = self.now() + NODES_TIMEOUT;
        while !self.membership.lock().is_loaded() && self.now() < deadline {
            tokio::time::sleep(ROUND_DELAY).await;
        }
        if self.membership.lock().known_count() < SETTLED_FLEET_NODES {
            tokio::time::sleep(SETTLE_DELAY).await;
        }
        self.membership.lock().known_count() >= SETTLED_FLEET_NODES
    }

    /// Fetches the first snapshot from a node that watches for others. None if this node watches,
    /// if the fleet is too small for watchers, or if no watcher has sent one within
    /// [`FIRST_SNAPSHOT_TIMEOUT`].
    async fn fetch_first(&self, topic: FeedTopic) -> Option<PeerUpdate> {
        let deadline = self.now() + FIRST_SNAPSHOT_TIMEOUT;
        if self.membership.lock().known_count() < SETTLED_FLEET_NODES {
            tokio::time::sleep(SETTLE_DELAY).await;
        }
        let mut round = 0;
        while self.now() < deadline {
            let watchers_known = self.watchers().is_some();
            if self.is_fleet_small() || (watchers_known && !self.relies_on_watchers()) {
                return None;
            }
            let sources = if watchers_known {
                self.update_sources(round / ROUNDS_PER_SOURCE)
            } else {
                Vec::new()
            };
            round += 1;
            for from in sources {
                let start = ReplyStart::default();
                let update =
                    self.poll_watcher(from, topic, NO_REVISION, MAX_UPDATE_WAIT, start).await;
                if update.is_some() {
                    return update;
                }
            }
            tokio::time::sleep(FIRST_ROUND_DELAY).await;
        }
        tracing::info!(event = "first_snapshot_not_received", ?topic);
        None
    }

    /// Whether the nodes are known and too few for watchers.
    fn is_fleet_small(&self) -> bool {
        let membership = self.membership.lock();
        membership.is_loaded() && watcher_count(membership.known_count()).is_none()
    }

    /// Fetches a snapshot from a seed as soon as it has one. Nothing if it has none until
    /// `deadline`, and `Stale` if its snapshot is too old because it does not reach the store either.
    async fn fetch_initial_from(
        &self,
        seed: SocketAddr,
        topic: FeedTopic,
        deadline: Moment,
    ) -> InitialReply {
        loop {
            let left = deadline.saturating_sub(self.now());
            let reply = self.fetch_snapshot_from(seed, topic, left, Some(MAX_SEED_KEYS)).await;
            match reply {
                SnapshotReply::TooLarge => return InitialReply::TooLarge,
                SnapshotReply::Update(reply) if reply.age <= MAX_SNAPSHOT_AGE => {
                    *self.feeds.first_source.lock() = Some(seed);
                    return match PeerUpdate::unpack(seed, reply) {
                        Some(update) => InitialReply::Update(update),
                        None => InitialReply::Nothing,
                    };
                }
                SnapshotReply::Update(_) => return InitialReply::Stale,
                SnapshotReply::Nothing if self.now() >= deadline => return InitialReply::Nothing,
                SnapshotReply::Nothing => tokio::time::sleep(SEED_STAGGER).await,
            }
        }
    }

    /// Fetches the newest snapshot that any seed has, however old: better than none while the
    /// store does not answer.
    pub(super) async fn fetch_stale(&self, topic: FeedTopic) -> Option<PeerUpdate> {
        let seeds = self.other_seeds();
        let requests = seeds.iter().map(|seed| async {
            (*seed, self.fetch_snapshot_from(*seed, topic, Duration::ZERO, None).await)
        });
        let mut replies: FuturesUnordered<_> = requests.collect();
        let mut best: Option<(FeedReply, SocketAddr)> = None;
        while let Some((seed, reply)) = replies.next().await {
            let SnapshotReply::Update(reply) = reply else { continue };
            if best.as_ref().is_none_or(|(known, _)| reply.age < known.age) {
                best = Some((reply, seed));
            }
        }
        best.and_then(|(reply, from)| PeerUpdate::unpack(from, reply))
    }

    /// Whether this node is a seed, which other nodes ask when they start. A seed reads the store
    /// at once.
    fn is_seed(&self) -> bool {
        self.settings.peer_address.is_some_and(|own| self.settings.seeds.contains(&own))
    }

    /// Returns the seeds other than this node, in an order that is particular to this node.
    fn other_seeds(&self) -> Vec<SocketAddr> {
        let own = self.settings.peer_address;
        let mut seeds = self.settings.seeds.clone();
        seeds.retain(|seed| Some(*seed) != own);
        seeds.sort_by_cached_key(|seed| rendezvous_score(&self.settings.name, &seed.to_string()));
        seeds
    }

    /// Returns the nodes to ask for updates, at most [`MAX_WATCHERS_ASKED`], others in each round;
    /// empty if this node watches the store itself. While few nodes are registered, as in the
    /// first second of a fleet, the node to ask is the seed that gave the first snapshot.
    fn update_sources(&self, round: usize) -> Vec<SocketAddr> {
        let Some(watchers) = self.watchers() else {
            let first = self.feeds.first_source.lock().filter(|_| !self.is_seed());
            return first.filter(|at| !self.is_unreachable(*at)).into_iter().collect();
        };
        // A watcher that the store turns away, while others reach it, follows those.
        let turned_away = !self.reaches_store() && !self.fallback_store.is_down();
        if !self.relies_on_watchers() && !turned_away {
            return Vec::new();
        }
        let ranked = rendezvous_rank(&self.settings.name, watchers.iter().map(|(name, _)| &**name));
        let ordered = ranked.iter().filter_map(|n| watchers.iter().find(|(name, _)| **name == **n));
        let mut reachable: Vec<SocketAddr> = ordered
            .filter(|(name, _)| *name != self.settings.name)
            .map(|(_, at)| *at)
            .filter(|at| !self.is_unreachable(*at))
            .collect();
        let count = reachable.len().max(1);
        reachable.rotate_left(round * MAX_WATCHERS_ASKED % count);
        let now = self.now();
        let mut late = self.feeds.late.lock();
        late.retain(|_, until| *until > now);
        reachable.sort_by_key(|at| late.contains_key(at));
        reachable.truncate(MAX_WATCHERS_ASKED);
        reachable
    }

    /// Whether other nodes watch the store for this one.
    pub(super) fn relies_on_watchers(&self) -> bool {
        let own = &self.settings.name;
        self.watchers().is_some_and(|watchers| watchers.iter().all(|(name, _)| name != own))
    }

    /// Returns the nodes that watch the store for others. None if each node watches it itself.
    pub(super) fn watchers(&self) -> Option<Watchers> {
        let now = self.store_time();
        let membership = self.membership.lock();
        let nodes = membership.node_set(now);
        let mut known = self.feeds.watchers.lock();
        if let Some(known) = known.as_ref().filter(|known| known.nodes == nodes) {
            return known.watchers.clone();
        }
        let watchers = choose_watchers(&membership.stable_peers(now));
        *known = Some(KnownWatchers { nodes, watchers: watchers.clone() });
        watchers
    }
}

/// What a seed gives a node that starts.
enum InitialReply {
    Update(PeerUpdate),
    /// The list is larger than seeds send.
    TooLarge,
    /// A snapshot from before an outage of the store.
    Stale,
    Nothing,
}

/// Chooses the nodes that watch the store for the others. None if each node watches it itself.
fn choose_watchers(nodes: &BTreeMap<Name, SocketAddr>) -> Option<Watchers> {
    let count = watcher_count(nodes.len())?;
    let ranked = rendezvous_rank(WATCHER_RANKING_KEY, nodes.keys().map(|n| &**n));
    let chosen = ranked.into_iter().take(count);
    Some(chosen.filter_map(|n| nodes.get_key_value(n)).map(|(n, a)| (n.clone(), *a)).collect())
}
