//! Chooses where a node gets changes from: its own watch of the store, or a node that watches
//! the store for others.
//!
//! Load pattern: every node needs each change of a replica or a node, and each watch that
//! returns is a call to the store. If every node watches, the calls grow with the square of the
//! fleet.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use parking_lot::Mutex;

use super::feed::{Feed, FeedUpdate};
use crate::decide::{rendezvous_rank, rendezvous_score};
use crate::edge::store::RangeResult;
use crate::entry::app::App;
use crate::entry::peer::FeedTopic;
use crate::{Moment, Name};

/// Up to this fleet size each node watches the store itself: with three watchers nothing would
/// be saved.
const MAX_NODES_WITHOUT_WATCHERS: usize = 4;
/// One node in this many watches for the others, which ask it once a second.
const NODES_PER_WATCHER: usize = 16;
/// The fewest nodes that watch for others: one may be gone and another one disconnected.
const MIN_WATCHERS: usize = 3;
/// The key by which nodes are ranked as watchers.
const WATCHER_RANKING_KEY: &str = "watchers";
/// How many watchers are asked in turn before a node watches the store itself.
const MAX_WATCHERS_ASKED: usize = 3;
/// In how many rounds all watchers may answer that they have no update, because they are reading
/// a snapshot themselves.
const MAX_FETCH_ROUNDS: u32 = 8;
/// The delay between two rounds: reading a snapshot takes a few calls of a few milliseconds.
const ROUND_DELAY: Duration = Duration::from_millis(100);
/// How old a snapshot from another node may be for a node that starts: nodes ask for updates
/// once a second.
const MAX_SNAPSHOT_AGE: Duration = Duration::from_millis(1_500);

/// How long a node that starts waits for a seed that is starting as well: all nodes of a fleet
/// start within a third of a second of each other, and seeds read the store at once.
const SEED_WAIT: Duration = Duration::from_millis(800);
/// How much later each further seed is asked, and a seed that gave no snapshot is asked again. A
/// round trip between availability zones with the answer takes a tenth of it if the seed runs.
const SEED_STAGGER: Duration = Duration::from_millis(40);

/// An update that another node has sent.
#[derive(Debug)]
pub(super) struct PeerUpdate {
    pub(super) from: SocketAddr,
    pub(super) update: FeedUpdate,
}

/// The feeds that other nodes may follow on this node.
#[derive(Debug, Default)]
pub(in crate::entry) struct Feeds {
    /// The seed that gave the first snapshot.
    first_source: Mutex<Option<SocketAddr>>,
    routes: Feed,
    replicas: Feed,
    nodes: Feed,
}

impl Feeds {
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
    /// has to watch the store itself.
    pub(super) async fn fetch_update(&self, topic: FeedTopic, after: u64) -> Option<PeerUpdate> {
        let mut round = 0;
        loop {
            let sources = self.update_sources();
            if sources.is_empty() {
                return None;
            }
            for from in sources {
                if let Some(update) = self.fetch_update_from(from, topic, after).await {
                    return Some(PeerUpdate { from, update });
                }
            }
            // While no node reaches the store, watching it would bring nothing.
            round = if self.fallback_store.is_down() { 0 } else { round + 1 };
            if round > MAX_FETCH_ROUNDS {
                return None;
            }
            self.fallback_store.wait_for_recovery(ROUND_DELAY).await;
        }
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
        while let Some(first) = replies.next().await {
            if first.is_some() {
                return first;
            }
        }
        None
    }

    /// Fetches a snapshot from a seed as soon as it has one. None if it has none until `deadline`,
    /// or if its snapshot is too old because it does not reach the store either.
    async fn fetch_initial_from(
        &self,
        seed: SocketAddr,
        topic: FeedTopic,
        deadline: Moment,
    ) -> Option<PeerUpdate> {
        loop {
            let left = deadline.saturating_sub(self.now());
            match self.fetch_snapshot_from(seed, topic, left).await {
                Some(FeedUpdate::Snapshot { page, age }) if age <= MAX_SNAPSHOT_AGE => {
                    *self.feeds.first_source.lock() = Some(seed);
                    return Some(PeerUpdate {
                        from: seed,
                        update: FeedUpdate::Snapshot { page, age },
                    });
                }
                Some(_) => return None,
                None if self.now() >= deadline => return None,
                None => tokio::time::sleep(SEED_STAGGER).await,
            }
        }
    }

    /// Fetches the newest snapshot that any seed has, however old: better than none while the
    /// store does not answer.
    pub(super) async fn fetch_stale(&self, topic: FeedTopic) -> Option<PeerUpdate> {
        let seeds = self.other_seeds();
        let requests = seeds.iter().map(|seed| async {
            (*seed, self.fetch_snapshot_from(*seed, topic, Duration::ZERO).await)
        });
        let mut replies: FuturesUnordered<_> = requests.collect();
        let mut best: Option<(Duration, RangeResult, SocketAddr)> = None;
        while let Some((seed, update)) = replies.next().await {
            let Some(FeedUpdate::Snapshot { page, age }) = update else { continue };
            if best.as_ref().is_none_or(|(known, ..)| age < *known) {
                best = Some((age, page, seed));
            }
        }
        best.map(|(age, page, from)| PeerUpdate {
            from,
            update: FeedUpdate::Snapshot { page, age },
        })
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

    /// Returns the nodes to ask for updates, at most [`MAX_WATCHERS_ASKED`]; empty if this node
    /// watches the store itself. While few nodes are registered, as in the first second of a
    /// fleet, the node to ask is the seed that gave the first snapshot.
    fn update_sources(&self) -> Vec<SocketAddr> {
        let Some(watchers) = self.watchers() else {
            let first = self.feeds.first_source.lock().filter(|_| !self.is_seed());
            return first.filter(|at| !self.is_unreachable(*at)).into_iter().collect();
        };
        if !self.relies_on_watchers() {
            return Vec::new();
        }
        let ranked = rendezvous_rank(&self.settings.name, watchers.iter().map(|(name, _)| &**name));
        let ordered = ranked.iter().filter_map(|n| watchers.iter().find(|(name, _)| **name == **n));
        ordered
            .map(|(_, at)| *at)
            .filter(|at| !self.is_unreachable(*at))
            .take(MAX_WATCHERS_ASKED)
            .collect()
    }

    /// Whether other nodes watch the store for this one.
    pub(super) fn relies_on_watchers(&self) -> bool {
        let own = &self.settings.name;
        self.watchers().is_some_and(|watchers| watchers.iter().all(|(name, _)| name != own))
    }

    /// Returns the nodes that watch the store for others. None if each node watches it itself.
    pub(super) fn watchers(&self) -> Option<Vec<(Name, SocketAddr)>> {
        let nodes = self.membership.lock().stable_peers(self.store_time());
        if nodes.len() <= MAX_NODES_WITHOUT_WATCHERS {
            return None;
        }
        let count = nodes.len().div_ceil(NODES_PER_WATCHER).max(MIN_WATCHERS);
        let ranked = rendezvous_rank(WATCHER_RANKING_KEY, nodes.keys().map(|n| &**n));
        let chosen = ranked.into_iter().take(count);
        Some(chosen.filter_map(|n| nodes.get_key_value(n)).map(|(n, a)| (n.clone(), *a)).collect())
    }
}
