//! Talk with the other nodes: who is there, and which bundle is in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::seq::SliceRandom;

use super::app::App;
use super::claims;
use crate::bundle::Envelope;
use crate::edge::peer::{NodeInfo, PeerHandler, Reply, Request};
use crate::metrics::{Metrics, PlatformUse, Task};

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(500);
/// Nodes that are asked in a round.
const FANOUT: usize = 3;
/// How long a node may take to reply.
const LIMIT: Duration = Duration::from_secs(1);
/// The prefix of the nodes' own entries at the platform.
const NODES: &str = "nodes/";
/// How long an entry outlives its node.
const ENTRY: Duration = Duration::from_secs(30);
/// Time between two renewals.
const RENEW: Duration = Duration::from_secs(10);

/// What answers peers.
#[derive(Debug)]
pub(super) struct Peers {
    pub(super) app: Arc<App>,
}

impl PeerHandler for Peers {
    async fn reply(self: Arc<Self>, request: Request) -> Reply {
        let app = &self.app;
        match request {
            Request::Hello(info) => {
                app.members.heard(info, app.clock.now());
                let mut known = vec![app.info()];
                known.extend(app.members.alive(app.clock.now()));
                Reply::Known(known)
            }
            Request::Bundle => {
                let current = app.bundles.current();
                Reply::Bundle(current.map(|a| a.envelope.as_ref().clone()))
            }
            Request::Offer(envelope) => {
                offered(app, envelope);
                Reply::Noted
            }
            Request::Claim(ask) => Reply::Verdict(claims::verdict(app, ask).await),
            Request::Ended { key, nonce, end } => {
                Reply::Recorded(claims::ended(app, key, nonce, end))
            }
            Request::Attempt(nonce) => Reply::Attempt(claims::attempt(app, nonce)),
            Request::Suspects(all) => {
                app.suspects.told(app, &all);
                Reply::Noted
            }
            Request::Known => Reply::Suspects(app.suspects.all(app)),
            Request::Trial { upstream, holder } => {
                Reply::Recorded(app.suspects.take(app, &upstream, holder))
            }
            Request::TrialOver { upstream, holder } => {
                app.suspects.end(&upstream, holder);
                Reply::Noted
            }
        }
    }

    fn metrics(&self) -> &Metrics {
        &self.app.metrics
    }
}

/// Asks some nodes in each round, until the node stops.
pub(super) async fn gossip(app: Arc<App>) {
    let mut timer = tokio::time::interval(ROUND);
    loop {
        tokio::select! {
            () = app.cancel.cancelled() => return,
            _ = timer.tick() => {}
        }
        app.members.forget(app.clock.now());
        for to in targets(&app) {
            tokio::spawn(app.metrics.timed(Task::Members, greet(app.clone(), to)));
        }
    }
}

/// Keeps this node's entry at the platform, and reads those of the others.
pub(super) async fn announce(app: Arc<App>) {
    let mut lease = None;
    let mut timer = tokio::time::interval(RENEW);
    loop {
        tokio::select! {
            () = app.cancel.cancelled() => return,
            _ = timer.tick() => {}
        }
        lease = entry(&app, lease).await;
        let Ok((kept, _)) = app.platform.list(NODES, PlatformUse::Node).await else { continue };
        let infos = kept.iter().filter_map(|k| serde_json::from_slice::<NodeInfo>(&k.value).ok());
        for info in infos.filter(|i| i.name != app.settings.node.name) {
            app.members.told(info, app.clock.now());
        }
    }
}

/// Renews the lease, or opens a new one and writes the entry under it.
async fn entry(app: &App, lease: Option<i64>) -> Option<i64> {
    if let Some(id) = lease
        && app.platform.renew(id, PlatformUse::Node).await.unwrap_or(true)
    {
        return lease;
    }
    let id = app.platform.grant(ENTRY, PlatformUse::Node).await.ok()?;
    let info = app.info();
    let value = serde_json::to_vec(&info).ok()?;
    let key = format!("{NODES}{}", info.name);
    app.platform.put(&key, value, Some(id), PlatformUse::Node).await.ok()?;
    Some(id)
}

fn targets(app: &App) -> Vec<SocketAddr> {
    let own = app.info().peers;
    let mut all = app.members.addresses();
    all.extend(&app.settings.peers.seeds);
    all.sort_unstable();
    all.dedup();
    all.retain(|a| *a != own);
    all.shuffle(&mut rand::rng());
    all.truncate(FANOUT);
    all
}

async fn greet(app: Arc<App>, to: SocketAddr) {
    let asked = app.peers.ask(to, &Request::Hello(app.info()), LIMIT).await;
    let known = match asked {
        Ok(Reply::Known(known)) => known,
        Ok(_) => return,
        Err(e) => {
            tracing::debug!(event = "peer_silent", %to, error = %e);
            return;
        }
    };
    let mut known = known.into_iter();
    let Some(first) = known.next() else { return };
    let behind = first.bundle > app.bundles.number();
    if first.name != app.settings.node.name {
        app.members.heard(first, app.clock.now());
    }
    for info in known.filter(|i| i.name != app.settings.node.name) {
        app.members.told(info, app.clock.now());
    }
    if behind
        && let Ok(Reply::Bundle(Some(envelope))) = app.peers.ask(to, &Request::Bundle, LIMIT).await
    {
        offered(&app, envelope);
    }
}

fn offered(app: &App, envelope: Envelope) {
    if let Err(e) = app.bundles.offer(app, envelope) {
        tracing::error!(event = "bundle_rejected", source = "peer", error = %e);
    }
}
