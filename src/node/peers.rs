//! Talk with the other nodes: who is there, and which bundle is in force.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::app::App;
use super::claims;
use super::members::Target;
use crate::Name;
use crate::bundle::Envelope;
use crate::decide::members::{GossipEffect, MemberRecord};
use crate::edge::peer::{NodeInfo, NodeLocation, NodeReply, NodeRequest, PeerError, PeerHandler};
use crate::metrics::{PlatformUse, Task, Traffic};

/// Time between two rounds.
const ROUND: Duration = Duration::from_millis(500);
/// Nodes that are asked in a round: two keep heartbeats of 380 nodes fresh and a
/// failed node noticed, see `members-bench`.
const FANOUT: usize = 2;
/// Nodes that are told at once when something changed: three reach 380 in six hops.
const PUSH: usize = 3;
/// Nodes that are asked for their bundle at the start.
const CONSULT: usize = 5;
/// Changes within this time go out together.
const GATHER: Duration = Duration::from_millis(20);
/// How long a node may take to reply.
const LIMIT: Duration = Duration::from_secs(1);
/// One round in so many also asks a seed: two sides that forgot each other find
/// each other again.
const SEED: u32 = 32;
/// The prefix of the nodes' own entries at the platform.
const NODES: &str = "nodes/";
/// How long an entry outlives its node.
const ENTRY: Duration = Duration::from_secs(180);
/// Time between two renewals: 380 nodes make 6.3 calls a second of it.
const RENEW: Duration = Duration::from_secs(60);
/// Time before a renewal that failed is tried again.
const RETRY: Duration = Duration::from_secs(5);

/// What answers peers.
#[derive(Debug)]
pub(super) struct Peers {
    pub(super) app: Arc<App>,
}

impl PeerHandler for Peers {
    type Request = NodeRequest;

    async fn handle(self: Arc<Self>, request: NodeRequest) -> NodeReply {
        let app = &self.app;
        match request {
            NodeRequest::Gossip(gossip) => {
                let wanted = gossip.wanted.clone();
                let heard = app.members.receive(gossip, app.clock.now());
                let from = heard.sender.and_then(|id| app.members.find(id));
                if let Some(from) = from {
                    tokio::spawn(catch_up(app.clone(), from, heard));
                }
                NodeReply::Gossip(app.members.message(&wanted))
            }
            NodeRequest::Join(after) => NodeReply::Nodes(app.members.page(after.as_ref())),
            NodeRequest::Bundle => {
                let current = app.bundles.current();
                NodeReply::Bundle(current.map(|a| a.envelope.as_ref().clone()))
            }
            NodeRequest::Offer(envelope) => {
                offered(app, envelope);
                NodeReply::Acknowledged
            }
            NodeRequest::Departures(departures) => {
                app.upstreams.left(app, departures);
                NodeReply::Acknowledged
            }
            NodeRequest::Claim(ask) => NodeReply::Decision(claims::verdict(app, ask).await),
            NodeRequest::CallEnded { key, nonce, outcome: end } => {
                NodeReply::Recorded(claims::ended(app, key, nonce, end))
            }
            NodeRequest::Attempt(nonce) => NodeReply::Attempt(claims::attempt(app, nonce)),
            NodeRequest::Suspects(all) => {
                app.suspects.told(app, &all);
                NodeReply::Acknowledged
            }
            NodeRequest::ListSuspects => NodeReply::Suspects(app.suspects.all(app)),
            NodeRequest::Trial { upstream, trial_id: holder } => {
                NodeReply::Recorded(app.suspects.take(app, &upstream, holder))
            }
            NodeRequest::TrialOver { upstream, trial_id: holder } => {
                app.suspects.end(&upstream, holder);
                NodeReply::Acknowledged
            }
        }
    }

    fn traffic(&self, request: &NodeRequest) -> Traffic {
        self.app.metrics.traffic(request.purpose())
    }
}

/// Talks to some nodes in each round, and at once when something changed, until
/// the node stops.
pub(super) async fn gossip(app: Arc<App>) {
    join(&app).await;
    consult(&app).await;
    let mut timer = tokio::time::interval(ROUND);
    loop {
        let targets = tokio::select! {
            () = app.cancel.cancelled() => return,
            _ = timer.tick() => round(&app),
            () = app.members.urgent() => {
                tokio::time::sleep(GATHER).await;
                app.members.targets(PUSH, app.clock.now())
            }
        };
        for to in targets {
            tokio::spawn(app.metrics.timed(Task::Members, exchange(app.clone(), to)));
        }
    }
}

/// Tells some nodes of what changed last, and waits until they know or do not answer.
pub(super) async fn farewell(app: &Arc<App>) {
    let targets = app.members.targets(PUSH, app.clock.now()).into_iter();
    let told = targets.map(|to| exchange(app.clone(), to));
    futures_util::future::join_all(told).await;
}

fn round(app: &App) -> Vec<Target> {
    let now = app.clock.now();
    app.members.beat(now);
    let mut targets = app.members.targets(FANOUT, now);
    if targets.is_empty() || rand::rng().random_ratio(1, SEED) {
        targets.extend(seed(app));
    }
    targets
}

fn seed(app: &App) -> Option<Target> {
    let own = app.members.own().peers;
    let others: Vec<&SocketAddr> = app.settings.peers.seeds.iter().filter(|s| **s != own).collect();
    let address = **others.choose(&mut rand::rng())?;
    Some(Target { name: None, address })
}

async fn exchange(app: Arc<App>, to: Target) {
    let message = NodeRequest::Gossip(app.members.message(&[]));
    match app.peers.request(to.address, &message, LIMIT).await {
        Ok(NodeReply::Gossip(gossip)) => {
            let heard = app.members.receive(gossip, app.clock.now());
            catch_up(app, to.address, heard).await;
        }
        Ok(_) => {}
        // It answers, if not in our version: it lives.
        Err(PeerError::Status { status, .. }) => {
            tracing::debug!(event = "peer_refuses", to = %to.address, %status);
        }
        Err(e) => {
            tracing::debug!(event = "peer_silent", to = %to.address, error = %e);
            if let Some(name) = to.name {
                app.members.missed(&name, app.clock.now());
            }
        }
    }
}

/// Asks a peer for its bundle if that is later than ours.
async fn catch_up(app: Arc<App>, from: SocketAddr, heard: GossipEffect) {
    if heard.bundle <= app.bundles.number() {
        return;
    }
    if let Ok(NodeReply::Bundle(Some(envelope))) =
        app.peers.request(from, &NodeRequest::Bundle, LIMIT).await
    {
        offered(&app, envelope);
    }
}

/// Learns all nodes from a seed, page by page.
async fn join(app: &App) {
    for seed in &app.settings.peers.seeds {
        let mut after: Option<Name> = None;
        while let Some(page) = page(app, *seed, after.take()).await {
            after = page.last().map(|news| news.name.clone());
            app.members.told(page, app.clock.now());
        }
    }
}

/// Asks some nodes for their bundle, before one comes into force here: the platform
/// may answer with an older one than the others have.
async fn consult(app: &App) {
    others(app).await;
    let targets = app.members.targets(CONSULT, app.clock.now()).into_iter();
    let asked = targets.map(|to| async move {
        if let Ok(NodeReply::Bundle(Some(envelope))) =
            app.peers.request(to.address, &NodeRequest::Bundle, LIMIT).await
        {
            offered(app, envelope);
        }
    });
    futures_util::future::join_all(asked).await;
    app.bundles.asked(app);
}

async fn page(
    app: &App,
    from: SocketAddr,
    after: Option<Name>,
) -> Option<Vec<MemberRecord<NodeLocation>>> {
    match app.peers.request(from, &NodeRequest::Join(after), LIMIT).await {
        Ok(NodeReply::Nodes(page)) if !page.is_empty() => Some(page),
        Ok(_) | Err(_) => None,
    }
}

/// Keeps this node's entry at the platform, and reads those of the others whenever
/// nobody else is known.
pub(super) async fn announce(app: Arc<App>) {
    let mut lease = None;
    loop {
        lease = entry(&app, lease).await;
        let alone = app.members.alive(app.clock.now()).is_empty();
        if alone {
            others(&app).await;
        }
        let pause = if lease.is_some() && !alone { RENEW } else { RETRY };
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::select! {
            () = app.cancel.cancelled() => return,
            () = tokio::time::sleep(pause.mul_f64(jitter)) => {}
        }
    }
}

async fn others(app: &App) {
    let Ok((kept, _)) = app.platform.list(NODES, PlatformUse::Node).await else { return };
    let infos = kept.iter().filter_map(|k| serde_json::from_slice::<NodeInfo>(&k.value).ok());
    let news: Vec<MemberRecord<NodeLocation>> =
        infos.map(|info| MemberRecord::from(&info)).collect();
    app.members.told(news, app.clock.now());
}

/// Renews the lease, or opens a new one and writes the entry under it.
async fn entry(app: &App, lease: Option<i64>) -> Option<i64> {
    if let Some(id) = lease
        && app.platform.renew_lease(id, PlatformUse::Node).await.unwrap_or(true)
    {
        return lease;
    }
    let id = app.platform.grant_lease(ENTRY, PlatformUse::Node).await.ok()?;
    let info = app.info();
    let value = serde_json::to_vec(&info).ok()?;
    let key = format!("{NODES}{}", info.name);
    app.platform.put(&key, value, Some(id), PlatformUse::Node).await.ok()?;
    Some(id)
}

fn offered(app: &App, envelope: Envelope) {
    if let Err(e) = app.bundles.offer(app, envelope) {
        tracing::error!(event = "bundle_rejected", source = "peer", error = %e);
    }
}
