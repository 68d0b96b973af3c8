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
use crate::decide::rendezvous_rank;
use crate::decide::usage::WindowNote;
use crate::entry::app::App;
use crate::entry::keys::HOLDER;
use crate::entry::peer::{PeerAsk, PeerReply};

/// How long counts are gathered for one message.
const GATHER: Duration = Duration::from_millis(100);
/// How long a node may take to note them.
const NOTE: Duration = Duration::from_millis(500);
/// The pause after a node did not answer.
const AGAIN: Duration = Duration::from_millis(500);
/// Nodes that are told: the holder and the one that is to follow it.
const TOLD: usize = 2;

/// Tells counts for as long as the process lasts.
pub(in crate::entry) async fn send_notes(app: Arc<App>, usage: Arc<Usage>) {
    let mut news = app.news.subscribe();
    let mut told: HashMap<SocketAddr, Vec<WindowNote>> = HashMap::new();
    loop {
        let left = usage.windows.end(usage.window()).saturating_sub(usage.time());
        tokio::select! {
            () = usage.changed.notified() => {}
            _ = news.changed() => {}
            () = tokio::time::sleep(left) => {}
        }
        tokio::time::sleep(GATHER).await;
        let mut notes = usage.meter.lock().notes(usage.window());
        app.take_notes(&usage, &app.life, &notes);
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
            let (life, time) = (app.life.clone(), usage.time());
            let ask = PeerAsk::Usage { life, time, notes: fresh };
            match app.peers.ask(at, ask, NOTE).await {
                Ok(PeerReply::UsageNoted { life, time }) => {
                    usage.hear(&life, time);
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
    pub(in crate::entry) fn take_notes(
        &self,
        usage: &Usage,
        life: &crate::Name,
        notes: &[WindowNote],
    ) {
        let present = usage.window();
        let strange = usage.ledger.lock().note(life, notes, present);
        if !strange.is_empty() {
            tracing::warn!(event = "usage_of_other_times", %life, windows = ?strange, present);
        }
    }

    /// The other nodes that gather counts: the holder of duties and the next in its rank. None
    /// while there is no holder, as ranks change with every node that comes back.
    fn collectors(&self) -> Vec<SocketAddr> {
        let live = self.live.lock();
        let Some(seen) = live.holder() else { return Vec::new() };
        let (able, holder) = (live.able(), &seen.value.life);
        let ranked = rendezvous_rank(HOLDER, able.iter().map(|l| &**l));
        let followers = ranked.into_iter().filter(|l| **holder != **l);
        let lives = std::iter::once(&**holder).chain(followers).take(TOLD);
        lives.filter(|l| **l != *self.life).filter_map(|l| live.peer(l)).collect()
    }
}
