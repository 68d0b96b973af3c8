//! Sends the counts of this node to the leader and to the node that ranks next as leader.
//!
//! Within a few hundred milliseconds two nodes besides this one have each count, so that the
//! loss of one node loses no counts. Windows in which a node has counted nothing are not sent:
//! 300 nodes that close a window at the same moment would block the leader for half a second.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::meter::Usage;
use crate::decide::rendezvous_rank;
use crate::decide::usage::WindowNote;
use crate::entry::app::App;
use crate::entry::keys::LEADER_KEY;
use crate::entry::peer::{PeerReply, PeerRequest};

/// How long counts are collected into one message.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);
/// How long a collector may take to acknowledge counts.
const SHARE_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay before counts are sent again after a collector did not acknowledge them.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// How many nodes collect counts: the leader and the node that ranks next.
const MAX_COLLECTORS: usize = 2;

/// Sends counts to the collectors until the process ends.
pub(in crate::entry) async fn share_counts(app: Arc<App>, usage: Arc<Usage>) {
    let mut view_changes = app.view_changes.subscribe();
    let mut acknowledged: HashMap<SocketAddr, Vec<WindowNote>> = HashMap::new();
    loop {
        let left = usage.windows.end_of(usage.current_window()).saturating_sub(usage.time());
        tokio::select! {
            () = usage.changed.notified() => {}
            _ = view_changes.changed() => {}
            () = tokio::time::sleep(left) => {}
        }
        tokio::time::sleep(BATCH_INTERVAL).await;
        let settled = usage.settled();
        let mut notes = usage.meter.lock().window_notes(usage.current_window());
        app.record_counts(&usage, &app.incarnation, &notes);
        notes.retain(|note| !note.counts.is_empty());
        if notes.is_empty() {
            usage.record_acknowledged(settled);
            continue;
        }
        let to = app.collectors();
        acknowledged.retain(|at, _| to.contains(at));
        let mut failed = false;
        for at in to {
            let known = acknowledged.get(&at);
            let fresh: Vec<WindowNote> =
                notes.iter().filter(|n| known.is_none_or(|k| !k.contains(n))).cloned().collect();
            if fresh.is_empty() {
                continue;
            }
            let (incarnation, time) = (app.incarnation.clone(), usage.time());
            let request = PeerRequest::Usage { incarnation, time, notes: fresh };
            match app.peers.request(at, request, SHARE_TIMEOUT).await {
                Ok(PeerReply::UsageNoted { life, time }) => {
                    usage.record_peer_time(&life, time);
                    acknowledged.insert(at, notes.clone());
                }
                reply => {
                    tracing::info!(event = "usage_not_acknowledged", to = %at, ?reply);
                    failed = true;
                }
            }
        }
        if failed {
            tokio::time::sleep(RETRY_DELAY).await;
            usage.changed.notify_one();
        } else {
            usage.record_acknowledged(settled);
        }
    }
}

impl App {
    /// Adds the counts of a node to the ledger. Windows that are too far from the present are
    /// logged and ignored.
    pub(in crate::entry) fn record_counts(
        &self,
        usage: &Usage,
        incarnation: &crate::Name,
        notes: &[WindowNote],
    ) {
        let present = usage.current_window();
        let rejected = usage.ledger.lock().record(incarnation, notes, present);
        if !rejected.is_empty() {
            let life = incarnation;
            tracing::warn!(event = "usage_windows_rejected", %life, windows = ?rejected, present);
        }
    }

    /// Returns the addresses of the other nodes that collect counts: the leader and the node
    /// that ranks next. Empty while there is no leader, because ranks change with every node
    /// that comes back.
    fn collectors(&self) -> Vec<SocketAddr> {
        let membership = self.membership.lock();
        let Some(stored) = membership.leader() else { return Vec::new() };
        let (candidates, leader) = (membership.serving_incarnations(), &stored.value.incarnation);
        let ranked = rendezvous_rank(LEADER_KEY, candidates.iter().map(|l| &**l));
        let successors = ranked.into_iter().filter(|l| **leader != **l);
        let collectors = std::iter::once(&**leader).chain(successors).take(MAX_COLLECTORS);
        collectors
            .filter(|l| **l != *self.incarnation)
            .filter_map(|l| membership.peer_of(l))
            .collect()
    }
}
