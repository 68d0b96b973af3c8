//! The communication with the other nodes: gossip about the members, and the exchange of bundles.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use rand::seq::IndexedRandom;

use super::app::App;
use super::claims;
use super::members::GossipTarget;
use crate::Name;
use crate::bundle::Envelope;
use crate::decide::members::{GossipEffect, MemberRecord};
use crate::edge::peer::{NodeInfo, NodeLocation, NodeReply, NodeRequest, PeerError, PeerHandler};
use crate::metrics::{ControlTask, PlatformPurpose, Traffic};

/// The time between two gossip rounds.
const GOSSIP_INTERVAL: Duration = Duration::from_millis(500);
/// The number of nodes to exchange gossip with in a round. Two keep the heartbeats of 380 nodes
/// fresh and a failed node noticed, see `members-bench`.
const GOSSIP_FANOUT: usize = 2;
/// The number of nodes to send an urgent change to. With three, it reaches 380 nodes in six hops.
const URGENT_FANOUT: usize = 3;
/// The number of nodes that a starting node asks for their bundle.
const STARTUP_BUNDLE_PEERS: usize = 5;
/// Urgent changes within this time are sent together.
const URGENT_BATCH_DELAY: Duration = Duration::from_millis(20);
/// The timeout of a request to a peer.
const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// One round in this many, on average, also contacts a seed. So two groups of nodes that have
/// forgotten each other find each other again.
const ROUNDS_PER_SEED_CONTACT: u32 = 32;
/// The key prefix of the nodes' registrations at the platform.
const REGISTRATION_PREFIX: &str = "nodes/";
/// How long a registration remains after its node has ended.
const REGISTRATION_TTL: Duration = Duration::from_secs(180);
/// The time between two renewals of the registration: 6.3 calls a second for 380 nodes.
const REGISTRATION_RENEW_INTERVAL: Duration = Duration::from_secs(60);
/// The delay before a renewal that failed is tried again, and the time between two renewals while
/// no other node is known to be alive.
const REGISTRATION_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Answers the requests of peers.
#[derive(Debug)]
pub(super) struct PeerRequestHandler {
    pub(super) app: Arc<App>,
}

impl PeerHandler for PeerRequestHandler {
    type Request = NodeRequest;

    async fn handle(self: Arc<Self>, request: NodeRequest) -> NodeReply {
        let app = &self.app;
        match request {
            NodeRequest::Gossip(gossip) => {
                let wanted = gossip.wanted.clone();
                let effect = app.members.receive(gossip, app.clock.now());
                let from = effect.sender.and_then(|id| app.members.peer_address_by_id(id));
                if let Some(from) = from {
                    tokio::spawn(fetch_newer_bundle(app.clone(), from, effect));
                }
                NodeReply::Gossip(app.members.next_message(&wanted))
            }
            NodeRequest::Join(after) => NodeReply::Nodes(app.members.page(after.as_ref())),
            NodeRequest::Bundle => {
                let current = app.bundles.current();
                NodeReply::Bundle(current.map(|a| a.envelope.as_ref().clone()))
            }
            NodeRequest::Offer(envelope) => {
                offer_bundle(app, envelope);
                NodeReply::Acknowledged
            }
            NodeRequest::Departures(departures) => {
                app.upstreams.record_departures(app, departures);
                NodeReply::Acknowledged
            }
            NodeRequest::Claim(request) => {
                NodeReply::Decision(claims::decide_claim(app, request).await)
            }
            NodeRequest::CallEnded { key, nonce, outcome } => {
                NodeReply::Recorded(claims::record_outcome(app, key, nonce, outcome))
            }
            NodeRequest::Attempt(nonce) => NodeReply::Attempt(claims::attempt_state(app, nonce)),
            NodeRequest::Suspects(notices) => {
                app.quarantine.apply_notices(app, &notices);
                NodeReply::Acknowledged
            }
            NodeRequest::ListSuspects => NodeReply::Suspects(app.quarantine.notices(app)),
            NodeRequest::Trial { upstream, trial_id } => {
                NodeReply::Recorded(app.quarantine.acquire_trial(app, &upstream, trial_id))
            }
            NodeRequest::TrialOver { upstream, trial_id } => {
                app.quarantine.release_trial(&upstream, trial_id);
                NodeReply::Acknowledged
            }
        }
    }

    fn traffic(&self, request: &NodeRequest) -> Traffic {
        self.app.metrics.traffic(request.purpose())
    }
}

/// Exchanges gossip with some nodes in each round, and at once after an urgent change, until this
/// node stops.
pub(super) async fn run_gossip(app: Arc<App>) {
    load_members_from_seeds(&app).await;
    fetch_startup_bundle(&app).await;
    let mut timer = tokio::time::interval(GOSSIP_INTERVAL);
    loop {
        let targets = tokio::select! {
            () = app.cancel.cancelled() => return,
            _ = timer.tick() => begin_round(&app),
            () = app.members.wait_for_urgent_change() => {
                tokio::time::sleep(URGENT_BATCH_DELAY).await;
                app.members.gossip_targets(URGENT_FANOUT, app.clock.now())
            }
        };
        for to in targets {
            tokio::spawn(app.metrics.timed(ControlTask::Members, exchange_gossip(app.clone(), to)));
        }
    }
}

/// Sends the last state change of this node to some nodes, and waits until each has replied or
/// the request has timed out.
pub(super) async fn announce_departure(app: &Arc<App>) {
    let targets = app.members.gossip_targets(URGENT_FANOUT, app.clock.now()).into_iter();
    let exchanges = targets.map(|to| exchange_gossip(app.clone(), to));
    futures_util::future::join_all(exchanges).await;
}

fn begin_round(app: &App) -> Vec<GossipTarget> {
    let now = app.clock.now();
    app.members.begin_round(now);
    let mut targets = app.members.gossip_targets(GOSSIP_FANOUT, now);
    if targets.is_empty() || rand::rng().random_ratio(1, ROUNDS_PER_SEED_CONTACT) {
        targets.extend(random_seed(app));
    }
    targets
}

fn random_seed(app: &App) -> Option<GossipTarget> {
    let own = app.members.own_info().peers;
    let others: Vec<&SocketAddr> = app.settings.peers.seeds.iter().filter(|s| **s != own).collect();
    let address = **others.choose(&mut rand::rng())?;
    Some(GossipTarget { name: None, address })
}

async fn exchange_gossip(app: Arc<App>, to: GossipTarget) {
    let message = NodeRequest::Gossip(app.members.next_message(&[]));
    match app.peers.request(to.address, &message, PEER_TIMEOUT).await {
        Ok(NodeReply::Gossip(gossip)) => {
            let effect = app.members.receive(gossip, app.clock.now());
            fetch_newer_bundle(app, to.address, effect).await;
        }
        Ok(_) => {}
        // The node replied, if only with an error (such as another protocol version), so it is
        // alive.
        Err(PeerError::Status { status, .. }) => {
            tracing::debug!(event = "peer_refused", to = %to.address, %status);
        }
        Err(e) => {
            tracing::debug!(event = "peer_unreachable", to = %to.address, error = %e);
            if let Some(name) = to.name {
                app.members.report_unreachable(&name, app.clock.now());
            }
        }
    }
}

/// Fetches the bundle of a peer if it is newer than the active one.
async fn fetch_newer_bundle(app: Arc<App>, from: SocketAddr, effect: GossipEffect) {
    if effect.bundle <= app.bundles.number() {
        return;
    }
    if let Ok(NodeReply::Bundle(Some(envelope))) =
        app.peers.request(from, &NodeRequest::Bundle, PEER_TIMEOUT).await
    {
        offer_bundle(&app, envelope);
    }
}

/// Loads the records of all nodes from the seeds, page by page.
async fn load_members_from_seeds(app: &App) {
    for seed in &app.settings.peers.seeds {
        let mut after: Option<Name> = None;
        while let Some(page) = fetch_member_page(app, *seed, after.take()).await {
            after = page.last().map(|record| record.name.clone());
            app.members.load_records(page, app.clock.now());
        }
    }
}

/// Asks some nodes for their bundle before any bundle becomes active here: the platform may return
/// an older one than the other nodes have.
async fn fetch_startup_bundle(app: &App) {
    load_registered_nodes(app).await;
    let targets = app.members.gossip_targets(STARTUP_BUNDLE_PEERS, app.clock.now()).into_iter();
    let requests = targets.map(|to| async move {
        if let Ok(NodeReply::Bundle(Some(envelope))) =
            app.peers.request(to.address, &NodeRequest::Bundle, PEER_TIMEOUT).await
        {
            offer_bundle(app, envelope);
        }
    });
    futures_util::future::join_all(requests).await;
    app.bundles.peers_asked(app);
}

/// Fetches a page of member records. `None` after the last page or if the request fails.
async fn fetch_member_page(
    app: &App,
    from: SocketAddr,
    after: Option<Name>,
) -> Option<Vec<MemberRecord<NodeLocation>>> {
    match app.peers.request(from, &NodeRequest::Join(after), PEER_TIMEOUT).await {
        Ok(NodeReply::Nodes(page)) if !page.is_empty() => Some(page),
        Ok(_) | Err(_) => None,
    }
}

/// Keeps this node registered at the platform until it stops, and loads the registrations of the
/// other nodes while none of them is known to be alive.
pub(super) async fn maintain_registration(app: Arc<App>) {
    let mut lease = None;
    loop {
        lease = renew_registration(&app, lease).await;
        let alone = app.members.alive(app.clock.now()).is_empty();
        if alone {
            load_registered_nodes(&app).await;
        }
        let interval = if lease.is_some() && !alone {
            REGISTRATION_RENEW_INTERVAL
        } else {
            REGISTRATION_RETRY_INTERVAL
        };
        let jitter = rand::rng().random_range(0.5..1.0);
        tokio::select! {
            () = app.cancel.cancelled() => return,
            () = tokio::time::sleep(interval.mul_f64(jitter)) => {}
        }
    }
}

async fn load_registered_nodes(app: &App) {
    let Ok((values, _)) = app.platform.list(REGISTRATION_PREFIX, PlatformPurpose::Node).await
    else {
        return;
    };
    let infos = values.iter().filter_map(|v| serde_json::from_slice::<NodeInfo>(&v.value).ok());
    let records: Vec<MemberRecord<NodeLocation>> =
        infos.map(|info| MemberRecord::from(&info)).collect();
    app.members.load_records(records, app.clock.now());
}

/// Renews the lease of the registration, or obtains a new lease and writes the registration under
/// it. Returns the lease, if there is one.
async fn renew_registration(app: &App, lease: Option<i64>) -> Option<i64> {
    if let Some(id) = lease
        && app.platform.renew_lease(id, PlatformPurpose::Node).await.unwrap_or(true)
    {
        return lease;
    }
    let id = app.platform.grant_lease(REGISTRATION_TTL, PlatformPurpose::Node).await.ok()?;
    let info = app.own_info();
    let value = serde_json::to_vec(&info).ok()?;
    let key = format!("{REGISTRATION_PREFIX}{}", info.name);
    app.platform.put(&key, value, Some(id), PlatformPurpose::Node).await.ok()?;
    Some(id)
}

fn offer_bundle(app: &App, envelope: Envelope) {
    if let Err(e) = app.bundles.offer(app, envelope) {
        tracing::error!(event = "bundle_rejected", source = "peer", error = %e);
    }
}
