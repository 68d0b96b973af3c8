//! Answering other nodes.

use std::net::SocketAddr;
use std::sync::Arc;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::message::{PeerAsk, PeerReply, StoreAsk, StoreReply};
use crate::edge::peer::{PeerHandler, PeerListener};
use crate::edge::store::StoreError;
use crate::entry::app::App;
use crate::entry::submit::SubmitResult;
use crate::metrics::Traffic;

/// What answers other nodes.
#[derive(Debug, Clone)]
pub struct Door {
    app: Arc<App>,
}

/// The listener for other nodes. It closes when dropped.
#[derive(Debug)]
pub struct PeerDoor {
    address: SocketAddr,
    connections: TaskTracker,
    cancel: CancellationToken,
}

impl PeerDoor {
    /// Binds an address; port 0 takes a free one.
    pub async fn bind(app: Arc<App>, address: SocketAddr) -> std::io::Result<Self> {
        let (connections, cancel) = (TaskTracker::new(), CancellationToken::new());
        let listener = PeerListener::bind(address).await?;
        let address = listener.address();
        listener.spawn(Arc::new(Door { app }), &connections, cancel.clone());
        Ok(Self { address, connections, cancel })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for PeerDoor {
    fn drop(&mut self) {
        self.cancel.cancel();
        self.connections.close();
    }
}

impl PeerHandler for Door {
    type Asked = PeerAsk;

    async fn reply(self: Arc<Self>, ask: PeerAsk) -> PeerReply {
        self.answer(ask).await
    }

    fn traffic(&self, ask: &PeerAsk) -> Traffic {
        self.app.tally.peer(ask.purpose())
    }
}

impl Door {
    /// What a node answers with.
    pub fn new(app: Arc<App>) -> Self {
        Self { app }
    }

    /// Answers one request.
    pub async fn answer(&self, ask: PeerAsk) -> PeerReply {
        let app = &self.app;
        match ask {
            PeerAsk::Submit(spec) => PeerReply::Submitted(if app.leased() {
                app.accept_here(spec).await
            } else {
                SubmitResult::Refused("no_lease".into())
            }),
            PeerAsk::Find(job) => {
                let home = app.homes.get(&job).is_some() && app.leased();
                PeerReply::Found(home || app.ended.get(&job).is_some())
            }
            PeerAsk::Body { job, item } => PeerReply::Body(app.local_body(&job, &item)),
            PeerAsk::Read { job, after, wait } => {
                if let Some(ended) = app.ended.get(&job) {
                    return PeerReply::Read(Some(ended.read(after)));
                }
                // Without a lease another node may be home by now, and have shown more.
                let read = match app.homes.get(&job).filter(|_| app.leased()) {
                    Some(home) => app.read_owned(&home, after, app.now() + wait).await,
                    None => None,
                };
                PeerReply::Read(read.filter(|_| app.leased()))
            }
            PeerAsk::Whole { followed, wait } => {
                PeerReply::Followed(app.feeds.of(followed).first(wait).await)
            }
            PeerAsk::Follow { followed, after, wait } => {
                let feed = app.feeds.of(followed);
                let news = if app.reaches() { feed.after(after, wait).await } else { None };
                PeerReply::Followed(news.filter(|_| app.reaches()))
            }
            PeerAsk::Demand => {
                let demand = app.demand.lock().by_model(app.now());
                PeerReply::Demand {
                    steps: demand.into_iter().collect(),
                    life: app.life.clone(),
                    wanted: app.slots.wanted.totals(),
                }
            }
            PeerAsk::Store(ask) => PeerReply::Store(self.store(ask).await),
            PeerAsk::Usage { life, time, notes } => {
                let Some(usage) = &app.usage else { return PeerReply::Noted };
                usage.hear(&life, time);
                app.take_notes(usage, &life, &notes);
                PeerReply::UsageNoted { life: app.life.clone(), time: usage.time() }
            }
            PeerAsk::Reached => {
                app.detour.told();
                PeerReply::Noted
            }
        }
    }

    async fn store(&self, ask: StoreAsk) -> Result<StoreReply, StoreError> {
        if !self.app.reaches() {
            return Err(StoreError::Refused("not reached from here either".to_owned()));
        }
        let store = &self.app.direct;
        match ask {
            StoreAsk::Get(key) => store.get(&key).await.map(StoreReply::Item),
            StoreAsk::Range(prefix) => store.range(&prefix).await.map(StoreReply::Page),
            StoreAsk::Watch { prefix, after, wait } => {
                store.watch(&prefix, after, wait).await.map(StoreReply::Watched)
            }
            StoreAsk::Txn(txn) => store.txn(txn).await.map(StoreReply::Txn),
            StoreAsk::Grant(ttl) => store.grant(ttl).await.map(StoreReply::Lease),
            StoreAsk::Keep(lease) => store.keep(lease).await.map(StoreReply::Kept),
            StoreAsk::End(lease) => store.end(lease).await.map(|()| StoreReply::Ended),
        }
    }
}
