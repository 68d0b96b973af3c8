//! Answering other nodes.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::messages::{PeerReply, PeerRequest, StoreReply, StoreRequest};
use crate::edge::peer::{PeerHandler, PeerListener};
use crate::edge::store::StoreError;
use crate::entry::app::App;
use crate::entry::submit::Submitted;
use crate::metrics::Traffic;

/// What answers other nodes.
#[derive(Debug, Clone)]
pub struct PeerResponder {
    app: Arc<App>,
}

/// The listener for other nodes. It closes when dropped.
#[derive(Debug)]
pub struct PeerServer {
    address: SocketAddr,
    connections: TaskTracker,
    cancel: CancellationToken,
}

impl PeerServer {
    /// Binds an address; port 0 takes a free one.
    pub async fn bind(app: Arc<App>, address: SocketAddr) -> std::io::Result<Self> {
        let (connections, cancel) = (TaskTracker::new(), CancellationToken::new());
        let listener = PeerListener::bind(address).await?;
        let address = listener.address();
        listener.spawn(Arc::new(PeerResponder { app }), &connections, cancel.clone());
        Ok(Self { address, connections, cancel })
    }

    /// The bound address.
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
    type Asked = PeerRequest;

    async fn reply(self: Arc<Self>, ask: PeerRequest) -> PeerReply {
        self.answer(ask).await
    }

    fn traffic(&self, ask: &PeerRequest) -> Traffic {
        self.app.tally.peer(ask.purpose())
    }
}

impl PeerResponder {
    /// What a node answers with.
    pub fn new(app: Arc<App>) -> Self {
        Self { app }
    }

    /// Answers one request.
    pub async fn answer(&self, ask: PeerRequest) -> PeerReply {
        let app = &self.app;
        match ask {
            PeerRequest::Submit(spec) => PeerReply::Submitted(if app.has_lease() {
                app.accept(spec).await
            } else {
                Submitted::Refused("no_lease".into())
            }),
            PeerRequest::OwnsJob(job) => {
                let home = app.owned_jobs.get(&job).is_some() && app.has_lease();
                PeerReply::Found(home || app.ended_jobs.get(&job).is_some())
            }
            PeerRequest::Body { job, item } => PeerReply::Body(app.own_body(&job, &item)),
            PeerRequest::Read { job, after, wait } => {
                if let Some(ended) = app.ended_jobs.get(&job) {
                    return PeerReply::Read(Some(ended.read(after)));
                }
                // Without a lease another node may be home by now, and have shown more.
                let read = match app.owned_jobs.get(&job).filter(|_| app.has_lease()) {
                    Some(home) => app.read_home(&home, after, app.now() + wait).await,
                    None => None,
                };
                PeerReply::Read(read.filter(|_| app.has_lease()))
            }
            PeerRequest::Snapshot { followed, wait } => {
                PeerReply::Followed(app.feeds.get(followed).wait_for_snapshot(wait).await)
            }
            PeerRequest::Follow { followed, after, wait } => {
                let feed = app.feeds.get(followed);
                let news = if app.reaches_store() {
                    feed.wait_for_update(after, wait).await
                } else {
                    None
                };
                PeerReply::Followed(news.filter(|_| app.reaches_store()))
            }
            PeerRequest::Demand => {
                let demand = app.demand.lock().by_model(app.now());
                PeerReply::Demand {
                    steps: demand.into_iter().collect(),
                    life: app.incarnation.clone(),
                    wanted: app.slots.wanted.totals(),
                }
            }
            PeerRequest::Store(ask) => PeerReply::Store(self.store(ask).await),
            PeerRequest::Usage { incarnation, time, notes } => {
                let Some(usage) = &app.usage else { return PeerReply::Noted };
                usage.record_peer_time(&incarnation, time);
                app.record_counts(usage, &incarnation, &notes);
                PeerReply::UsageNoted { life: app.incarnation.clone(), time: usage.time() }
            }
            PeerRequest::StoreRecovered => {
                app.fallback_store.on_recovery_notice();
                PeerReply::Noted
            }
        }
    }

    async fn store(&self, ask: StoreRequest) -> Result<StoreReply, StoreError> {
        if !self.app.reaches_store() {
            return Err(StoreError::Refused("not reached from here either".to_owned()));
        }
        let store = &self.app.direct_store;
        match ask {
            StoreRequest::Get(key) => store.get(&key).await.map(StoreReply::Item),
            StoreRequest::Range(prefix) => store.range(&prefix).await.map(StoreReply::Page),
            StoreRequest::Watch { prefix, after, wait } => {
                store.watch(&prefix, after, wait).await.map(StoreReply::Watched)
            }
            StoreRequest::Txn(txn) => store.txn(txn).await.map(StoreReply::Txn),
            StoreRequest::Grant(ttl) => store.grant(ttl).await.map(StoreReply::Lease),
            StoreRequest::Keep(lease) => store.keep(lease).await.map(StoreReply::Kept),
            StoreRequest::End(lease) => store.end(lease).await.map(|()| StoreReply::Ended),
        }
    }
}
