//! Answers the requests of other entry nodes.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::messages::{PeerReply, PeerRequest, StoreReply, StoreRequest};
use crate::decide::load::{ConnectionBounds, MemoryUse};
use crate::edge::peer::{MAX_MESSAGE_BYTES, PeerHandler, PeerLimits, PeerListener};
use crate::edge::store::StoreError;
use crate::entry::app::App;
use crate::entry::submit::SubmitResult;
use crate::metrics::Traffic;

/// The revision after which a node follows that has no snapshot yet.
pub(in crate::entry) const NO_REVISION: u64 = 0;

/// Answers the requests of other entry nodes.
#[derive(Debug, Clone)]
pub struct PeerResponder {
    app: Arc<App>,
}

/// The listener for requests of other entry nodes. It closes when dropped.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    connections: TaskTracker,
    cancel: CancellationToken,
}

impl PeerServer {
    /// Binds an address and begins to answer; port 0 takes a free port.
    pub async fn bind(app: Arc<App>, address: SocketAddr) -> std::io::Result<Self> {
        let (connections, cancel) = (TaskTracker::new(), CancellationToken::new());
        let listener = PeerListener::bind(address).await?;
        let address = listener.address();
        let capacity = &app.settings.limits;
        let limits = PeerLimits {
            max_open: ConnectionBounds::new(capacity).peers,
            message_memory: MemoryUse::message_limit(capacity, MAX_MESSAGE_BYTES),
        };
        listener.spawn(Arc::new(PeerResponder { app }), limits, &connections, cancel.clone());
        Ok(Self { address, connections, cancel })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for PeerServer {
    fn drop(&mut self) {
        self.cancel.cancel();
        self.connections.close();
    }
}

impl PeerHandler for PeerResponder {
    type Request = PeerRequest;

    async fn handle(self: Arc<Self>, request: PeerRequest) -> PeerReply {
        self.answer(request).await
    }

    fn traffic(&self, request: &PeerRequest) -> Traffic {
        self.app.tally.peer_traffic(request.purpose())
    }
}

impl PeerResponder {
    /// Creates a responder that answers from the state of a node.
    pub fn new(app: Arc<App>) -> Self {
        Self { app }
    }

    /// Answers one request.
    pub async fn answer(&self, request: PeerRequest) -> PeerReply {
        let app = &self.app;
        match request {
            PeerRequest::Submit(spec) => PeerReply::Submitted(if app.has_lease() {
                app.accept_here(spec).await
            } else {
                SubmitResult::Refused("no_lease".into())
            }),
            PeerRequest::OwnsJob(job) => {
                let owned = app.owned_jobs.get(&job).is_some() && app.has_lease();
                PeerReply::Found(owned || app.ended_jobs.get(&job).is_some())
            }
            PeerRequest::Body { job, item } => PeerReply::Body(app.local_body(&job, &item)),
            PeerRequest::Read { job, after, wait } => {
                if let Some(ended) = app.ended_jobs.get(&job) {
                    return PeerReply::Read(Some(ended.read(after)));
                }
                // Without a lease another node may own the job by now and have returned more
                // results.
                let read = match app.owned_jobs.get(&job).filter(|_| app.has_lease()) {
                    Some(owned) => app.read_owned(&owned, after, app.now() + wait).await,
                    None => None,
                };
                PeerReply::Read(read.filter(|_| app.has_lease()))
            }
            PeerRequest::Snapshot { topic, wait, max_keys } => {
                let feed = app.feeds.get(topic);
                if !feed.wait_until_loaded(wait).await {
                    return PeerReply::Followed(None);
                }
                if max_keys.is_some_and(|max| feed.len() > max) {
                    return PeerReply::TooLarge;
                }
                PeerReply::Followed(feed.snapshot())
            }
            PeerRequest::Follow { topic, after, wait } => {
                let feed = app.feeds.get(topic);
                if after == NO_REVISION && app.reaches_store() && feed.is_sending() {
                    return PeerReply::Busy;
                }
                let reply = if app.reaches_store() {
                    feed.wait_for_update(after, wait).await
                } else {
                    None
                };
                PeerReply::Followed(reply.filter(|_| app.reaches_store()))
            }
            PeerRequest::Demand(shares) => {
                if let Some(order) = shares {
                    app.accept_shares(order);
                }
                let demand = app.demand.lock().by_model(app.now());
                PeerReply::Demand {
                    steps: demand.into_iter().collect(),
                    life: app.incarnation.clone(),
                    wanted: app.slots.demand.totals(),
                    trainers: app.trainer_demand(),
                }
            }
            PeerRequest::Store(request) => PeerReply::Store(self.store(request).await),
            PeerRequest::Usage { incarnation, time, notes } => {
                let Some(usage) = &app.usage else { return PeerReply::Noted };
                usage.record_peer_time(&incarnation, time);
                app.record_counts(usage, &incarnation, &notes);
                PeerReply::UsageNoted { life: app.incarnation.clone(), time: usage.time() }
            }
            PeerRequest::StoreRecovered { rest, id } => {
                app.fallback_store.on_recovery_notice(rest, id);
                PeerReply::Noted
            }
            PeerRequest::Crashes(notices) => {
                app.quarantine.apply_notices(&notices);
                PeerReply::Noted
            }
            PeerRequest::Rerun { fingerprint, notices } => {
                app.quarantine.apply_notices(&notices);
                PeerReply::Reruns(app.quarantine.notices_of(fingerprint))
            }
        }
    }

    /// Makes a call to the store for another node. Refused if this node does not reach the store.
    async fn store(&self, request: StoreRequest) -> Result<StoreReply, StoreError> {
        if !self.app.reaches_store() {
            return Err(StoreError::Refused("not reached from here either".to_owned()));
        }
        let store = &self.app.direct_store;
        match request {
            StoreRequest::Get(key) => store.get(&key).await.map(StoreReply::KeyValue),
            StoreRequest::Range(prefix) => store.range(&prefix).await.map(StoreReply::Range),
            StoreRequest::Watch { prefix, after, wait } => {
                store.watch(&prefix, after, wait).await.map(StoreReply::Watch)
            }
            StoreRequest::Txn(txn) => store.txn(txn).await.map(StoreReply::Txn),
            StoreRequest::Grant(ttl) => store.grant(ttl).await.map(StoreReply::Granted),
            StoreRequest::Renew(lease) => store.renew(lease).await.map(StoreReply::Renewed),
            StoreRequest::Revoke(lease) => store.revoke(lease).await.map(|()| StoreReply::Revoked),
        }
    }
}
