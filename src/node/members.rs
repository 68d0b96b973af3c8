//! The other nodes, as this one sees them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use parking_lot::RwLock;

use crate::edge::peer::{NodeInfo, NodeState};
use crate::{Moment, Name};

/// A node that was not heard for so long counts as gone.
const SILENCE: Duration = Duration::from_secs(3);
/// A node that was not heard for so long is forgotten.
const FORGET: Duration = Duration::from_secs(60);

#[derive(Debug, Clone)]
struct Member {
    info: NodeInfo,
    heard: Option<Moment>,
    learned: Moment,
}

/// The other nodes by name.
#[derive(Debug, Default)]
pub(super) struct Members {
    known: RwLock<BTreeMap<Name, Member>>,
}

impl Members {
    /// A node spoke for itself.
    pub(super) fn heard(&self, info: NodeInfo, now: Moment) {
        let mut known = self.known.write();
        match known.get_mut(&info.name) {
            Some(member) if later(&info, &member.info) => {
                *member = Member { info, heard: Some(now), learned: now };
            }
            Some(member) if info.incarnation == member.info.incarnation => {
                member.heard = Some(now);
                member.learned = now;
                member.info.bundle = member.info.bundle.max(info.bundle);
            }
            Some(_) => {}
            None => {
                let member = Member { info: info.clone(), heard: Some(now), learned: now };
                known.insert(info.name, member);
            }
        }
    }

    /// Another node, or the platform, told of a node.
    pub(super) fn told(&self, info: NodeInfo, now: Moment) {
        let mut known = self.known.write();
        match known.get_mut(&info.name) {
            Some(member) if later(&info, &member.info) => {
                member.info = info;
                member.learned = now;
            }
            Some(_) => {}
            None => {
                let member = Member { info: info.clone(), heard: None, learned: now };
                known.insert(info.name, member);
            }
        }
    }

    /// The nodes that were heard lately.
    pub(super) fn alive(&self, now: Moment) -> Vec<NodeInfo> {
        let known = self.known.read();
        let fresh = |m: &&Member| m.heard.is_some_and(|h| now.saturating_sub(h) < SILENCE);
        known.values().filter(fresh).map(|m| m.info.clone()).collect()
    }

    /// The nodes that serve now.
    pub(super) fn serving(&self, now: Moment) -> Vec<NodeInfo> {
        let alive = self.alive(now).into_iter();
        alive.filter(|info| info.state == NodeState::Serving).collect()
    }

    /// How many other nodes are known, heard lately or not.
    pub(super) fn held(&self) -> usize {
        self.known.read().len()
    }

    /// Where a node listens for peers, also if it was not heard lately.
    pub(super) fn address(&self, name: &str) -> Option<SocketAddr> {
        self.known.read().get(name).map(|m| m.info.peers)
    }

    /// Where all known nodes listen for peers.
    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.known.read().values().map(|m| m.info.peers).collect()
    }

    /// Forgets nodes that have been silent for long.
    pub(super) fn forget(&self, now: Moment) {
        let recent = |m: &Member| now.saturating_sub(m.heard.unwrap_or(m.learned)) < FORGET;
        self.known.write().retain(|_, m| recent(m));
    }
}

/// Whether news of a node replace what is known: a later start, or further in its life.
fn later(news: &NodeInfo, known: &NodeInfo) -> bool {
    (news.incarnation, news.state) > (known.incarnation, known.state)
}
