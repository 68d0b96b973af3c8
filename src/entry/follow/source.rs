//! Where a node hears of changes: from its own watch of the store, or from a node that watches
//! for others.
//!
//! Load pattern: each change of a replica or a node concerns every node, and each watch that
//! returns is a call. Where every node watches, calls grow with the square of the fleet.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use parking_lot::Mutex;

use super::feed::{Feed, News};
use crate::decide::{rendezvous_rank, rendezvous_score};
use crate::edge::store::Page;
use crate::entry::app::App;
use crate::entry::peer::Followed;
use crate::{Moment, Name};

/// Up to so many nodes each watches for itself: with three watchers nothing would be saved.
const FEW: usize = 4;
/// One node in so many watches for the others, which ask it once a second.
const PART: usize = 16;
/// The least of these: one may be gone, one cut off.
const LEAST: usize = 3;
/// What the nodes that watch are ranked by.
const WATCHERS: &str = "watchers";
/// Watchers that are asked in turn before a node watches for itself.
const ASKED: usize = 3;
/// Rounds in which they may say that they can't, as they read the whole anew themselves.
const ROUNDS: u32 = 8;
/// The pause between two rounds: a whole reading takes some calls of some milliseconds.
const PAUSE: Duration = Duration::from_millis(100);
/// How old what other nodes believe may be for a node that starts: they ask once a second.
const FRESH: Duration = Duration::from_millis(1_500);

/// How long a node that starts waits for one of its settings that is starting as well: all
/// start within a third of a second of each other, and those read the store at once.
const START: Duration = Duration::from_millis(800);
/// How much later each next of them is asked, and one that said nothing again: two ways between
/// zones and the answer take a tenth of it, where somebody is there to answer.
const NEXT: Duration = Duration::from_millis(40);

/// What another node said.
#[derive(Debug)]
pub(super) struct Told {
    pub(super) from: SocketAddr,
    pub(super) news: News,
}

/// The feeds of what other nodes may follow here.
#[derive(Debug, Default)]
pub(in crate::entry) struct Feeds {
    /// Who was the first to say anything.
    first: Mutex<Option<SocketAddr>>,
    routes: Feed,
    replicas: Feed,
    live: Feed,
}

impl Feeds {
    pub(in crate::entry) fn of(&self, followed: Followed) -> &Feed {
        match followed {
            Followed::Routes => &self.routes,
            Followed::Replicas => &self.replicas,
            Followed::Live => &self.live,
        }
    }
}

impl App {
    /// News from a node that watches for others; none where this node is to watch itself.
    pub(super) async fn hear(&self, followed: Followed, after: u64) -> Option<Told> {
        let mut round = 0;
        loop {
            let sources = self.sources();
            if sources.is_empty() {
                return None;
            }
            for from in sources {
                if let Some(news) = self.follow_at(from, followed, after).await {
                    return Some(Told { from, news });
                }
            }
            // Where the store is away from everybody, an own watch would bring nothing.
            round = if self.detour.nobody() { 0 } else { round + 1 };
            if round > ROUNDS {
                return None;
            }
            self.detour.rest(PAUSE).await;
        }
    }

    /// What the nodes that are known from the start believe now.
    ///
    /// Load pattern: hundreds of nodes start at once, first of all or after a loss of power.
    /// Where each read the store, they made seven calls each, 1,750 of 250 nodes; now those
    /// that are named in the settings read it, and the others wait for one of them.
    pub(super) async fn hear_first(&self, followed: Followed) -> Option<Told> {
        if self.is_seed() {
            return None;
        }
        let seeds = self.other_seeds();
        let ends = self.now() + START;
        let asks = seeds.iter().zip(0..).map(|(seed, place)| async move {
            tokio::time::sleep(NEXT * place).await;
            self.first_at(*seed, followed, ends).await
        });
        let mut asked: FuturesUnordered<_> = asks.collect();
        while let Some(first) = asked.next().await {
            if first.is_some() {
                return first;
            }
        }
        None
    }

    /// What a node believes, as soon as it knows anything; none if it doesn't until `ends`, or
    /// does not hear the store itself.
    async fn first_at(&self, seed: SocketAddr, followed: Followed, ends: Moment) -> Option<Told> {
        loop {
            let left = ends.saturating_sub(self.now());
            match self.whole_at(seed, followed, left).await {
                Some(News::Whole { page, age }) if age <= FRESH => {
                    *self.feeds.first.lock() = Some(seed);
                    return Some(Told { from: seed, news: News::Whole { page, age } });
                }
                Some(_) => return None,
                None if self.now() >= ends => return None,
                None => tokio::time::sleep(NEXT).await,
            }
        }
    }

    /// The newest of what they believed before: better than nothing where the store does not
    /// answer.
    pub(super) async fn hear_old(&self, followed: Followed) -> Option<Told> {
        let seeds = self.other_seeds();
        let asks = seeds
            .iter()
            .map(|seed| async { (*seed, self.whole_at(*seed, followed, Duration::ZERO).await) });
        let mut asked: FuturesUnordered<_> = asks.collect();
        let mut best: Option<(Duration, Page, SocketAddr)> = None;
        while let Some((seed, news)) = asked.next().await {
            let Some(News::Whole { page, age }) = news else { continue };
            if best.as_ref().is_none_or(|(known, ..)| age < *known) {
                best = Some((age, page, seed));
            }
        }
        best.map(|(age, page, from)| Told { from, news: News::Whole { page, age } })
    }

    /// Whether other nodes ask this one as they start. It reads the store at once.
    fn is_seed(&self) -> bool {
        self.settings.peer_address.is_some_and(|own| self.settings.seeds.contains(&own))
    }

    /// The nodes of the settings but this one, in an order of its own.
    fn other_seeds(&self) -> Vec<SocketAddr> {
        let own = self.settings.peer_address;
        let mut seeds = self.settings.seeds.clone();
        seeds.retain(|seed| Some(*seed) != own);
        seeds.sort_by_cached_key(|seed| rendezvous_score(&self.settings.name, &seed.to_string()));
        seeds
    }

    /// Nodes to hear of changes from; none where this node watches for itself. As long as few
    /// are listed, as in the first second of all, that is who spoke first.
    fn sources(&self) -> Vec<SocketAddr> {
        let Some(watchers) = self.watchers() else {
            let first = self.feeds.first.lock().filter(|_| !self.is_seed());
            return first.filter(|at| !self.shunned(*at)).into_iter().collect();
        };
        if !self.follows() {
            return Vec::new();
        }
        let ranked = rendezvous_rank(&self.settings.name, watchers.iter().map(|(name, _)| &**name));
        let ordered = ranked.iter().filter_map(|n| watchers.iter().find(|(name, _)| **name == **n));
        ordered.map(|(_, at)| *at).filter(|at| !self.shunned(*at)).take(ASKED).collect()
    }

    /// Whether others watch for this node.
    pub(super) fn follows(&self) -> bool {
        let own = &self.settings.name;
        self.watchers().is_some_and(|watchers| watchers.iter().all(|(name, _)| name != own))
    }

    /// The nodes that watch for others; none where each watches for itself.
    pub(super) fn watchers(&self) -> Option<Vec<(Name, SocketAddr)>> {
        let nodes = self.live.lock().peers_around(self.store_time());
        if nodes.len() <= FEW {
            return None;
        }
        let count = nodes.len().div_ceil(PART).max(LEAST);
        let ranked = rendezvous_rank(WATCHERS, nodes.keys().map(|n| &**n));
        let chosen = ranked.into_iter().take(count);
        Some(chosen.filter_map(|n| nodes.get_key_value(n)).map(|(n, a)| (n.clone(), *a)).collect())
    }
}
