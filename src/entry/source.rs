//! Where a node hears of changes: from its own watch of the store, or from a node that watches
//! for others.
//!
//! Load pattern: each change of a replica or a node concerns every node, and each watch that
//! returns is a call. Where every node watches, calls grow with the square of the fleet.

use std::net::SocketAddr;
use std::time::Duration;

use super::app::App;
use super::feed::Feed;
use super::peer::Followed;
use crate::Name;
use crate::decide::rank;
use crate::edge::store::{StoreError, Watched};

/// Up to so many nodes each watches for itself: their watches cost less than asking others.
const FEW: usize = 16;
/// One node in so many watches for the others, which ask it once a second.
const PART: usize = 16;
/// The least of these: one may be gone, one cut off.
const LEAST: usize = 3;
/// What the nodes that watch are ranked by.
const WATCHERS: &str = "watchers";
/// How long a node watches for itself after nobody could be asked.
const ALONE: Duration = Duration::from_secs(3);

/// The feeds of what other nodes may follow here.
#[derive(Debug, Default)]
pub(super) struct Feeds {
    replicas: Feed,
    live: Feed,
}

impl Feeds {
    pub(super) fn of(&self, followed: Followed) -> &Feed {
        match followed {
            Followed::Replicas => &self.replicas,
            Followed::Live => &self.live,
        }
    }
}

/// A feed that is open while its topic is watched here. It closes when dropped.
pub(super) struct Fed<'a>(&'a Feed);

impl<'a> Fed<'a> {
    /// The whole was read at this revision.
    pub(super) fn begin(app: &'a App, followed: Followed, revision: u64) -> Self {
        let feed = app.feeds.of(followed);
        feed.open(revision);
        Self(feed)
    }
}

impl Drop for Fed<'_> {
    fn drop(&mut self) {
        self.0.close();
    }
}

impl App {
    /// Waits for changes after a revision.
    pub(super) async fn changes(
        &self,
        followed: Followed,
        prefix: &str,
        revision: u64,
        wait: Duration,
    ) -> Result<Watched, StoreError> {
        let feed = self.feeds.of(followed);
        let mut wait = wait;
        if let Some(to) = self.source() {
            feed.close();
            if let Some(watched) = self.follow_at(to, followed, revision).await {
                return Ok(watched);
            }
            wait = wait.min(ALONE);
        }
        let watched = self.store.watch(prefix, revision, wait).await?;
        feed.add(&watched);
        Ok(watched)
    }

    /// Where this node hears of changes; none where it watches for itself.
    pub(super) fn source(&self) -> Option<SocketAddr> {
        let watchers = self.watchers()?;
        if watchers.iter().any(|(name, _)| *name == self.settings.name) {
            return None;
        }
        let ranked = rank(&self.settings.name, watchers.iter().map(|(name, _)| &**name));
        let mut ordered =
            ranked.iter().filter_map(|n| watchers.iter().find(|(name, _)| **name == **n));
        ordered.find(|(_, at)| self.open_to(*at)).map(|(_, at)| *at)
    }

    /// The nodes that watch for others; none where each watches for itself.
    pub(super) fn watchers(&self) -> Option<Vec<(Name, SocketAddr)>> {
        let nodes = self.live.lock().peers();
        if nodes.len() <= FEW {
            return None;
        }
        let count = nodes.len().div_ceil(PART).max(LEAST);
        let ranked = rank(WATCHERS, nodes.keys().map(|n| &**n));
        let chosen = ranked.into_iter().take(count);
        Some(chosen.filter_map(|n| nodes.get_key_value(n)).map(|(n, a)| (n.clone(), *a)).collect())
    }
}
