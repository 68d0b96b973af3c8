//! Telling the holder of duties, and who would follow it, what was counted here.
//!
//! A count is at two nodes besides its own within some hundred milliseconds, so that the loss
//! of a node costs none. Windows in which a node has counted nothing are not told: three hundred
//! nodes that close a window at the same moment would stop the holder for half a second.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use super::meter::Usage;
use crate::decide::rank;
use crate::decide::usage::WindowNote;
use crate::entry::app::App;
use crate::entry::keys::LEADER_KEY;
use crate::entry::peer::{PeerReply, PeerRequest};

/// How long counts are gathered for one message.
const GATHER: Duration = Duration::from_millis(100);
/// How long a node may take to note them.
const NOTE: Duration = Duration::from_millis(500);
/// The pause after a node did not answer.
const AGAIN: Duration = Duration::from_millis(500);
/// Nodes that are told: the holder and the one that is to follow it.
const TOLD: usize = 2;

/// Tells counts for as long as the process lasts.
pub(in crate::entry) async fn share_counts(app: Arc<App>, usage: Arc<Usage>) {
    let mut news = app.view_changes.subscribe();
    let mut told: HashMap<SocketAddr, Vec<WindowNote>> = HashMap::new();
    loop {
        let left = usage.windows.end(usage.current_window()).saturating_sub(usage.time());
        tokio::select! {
            () = usage.changed.notified() => {}
            _ = news.changed() => {}
            () = tokio::time::sleep(left) => {}
        }
        tokio::time::sleep(GATHER).await;
        let mut notes = usage.meter.lock().notes(usage.current_window());
        app.record_counts(&usage, &app.incarnation, &notes);
        notes.retain(|note| !note.counts.is_empty());
        if notes.is_empty() {
            continue;
        }
        let to = app.collectors();
        told.retain(|at, _| to.contains(at));
        let mut failed = false;
        for at in to {
            let known = told.get(&at);
            let fresh: Vec<WindowNote> =
                notes.iter().filter(|n| known.is_none_or(|k| !k.contains(n))).cloned().collect();
            if fresh.is_empty() {
                continue;
            }
            let (life, time) = (app.incarnation.clone(), usage.time());
            let ask = PeerRequest::Usage { life, time, notes: fresh };
            match app.peers.ask(at, ask, NOTE).await {
                Ok(PeerReply::UsageNoted { life, time }) => {
                    usage.record_peer_time(&life, time);
                    told.insert(at, notes.clone());
                }
                reply => {
                    tracing::info!(event = "usage_not_noted", to = %at, ?reply);
                    failed = true;
                }
            }
        }
        if failed {
            tokio::time::sleep(AGAIN).await;
            usage.changed.notify_one();
        }
    }
}

impl App {
    /// Takes over what a node has counted.
    pub(in crate::entry) fn record_counts(
        &self,
        usage: &Usage,
        life: &crate::Name,
        notes: &[WindowNote],
    ) {
        let present = usage.current_window();
        let strange = usage.ledger.lock().note(life, notes, present);
        if !strange.is_empty() {
            tracing::warn!(event = "usage_of_other_times", %life, windows = ?strange, present);
        }
    }

    /// The other nodes that gather counts: the holder of duties and the next in its rank. None
    /// while there is no holder, as ranks change with every node that comes back.
    fn collectors(&self) -> Vec<SocketAddr> {
        let live = self.membership.lock();
        let Some(seen) = live.leader() else { return Vec::new() };
        let (able, holder) = (live.serving_incarnations(), &seen.value.incarnation);
        let ranked = rank(LEADER_KEY, able.iter().map(|l| &**l));
        let followers = ranked.into_iter().filter(|l| **holder != **l);
        let lives = std::iter::once(&**holder).chain(followers).take(TOLD);
        lives.filter(|l| **l != *self.incarnation).filter_map(|l| live.peer_of(l)).collect()
    }
}
