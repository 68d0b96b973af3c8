//! Links between the nodes of a test, which can be cut and counted.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use mulberrycourse::edge::peer::PeerError;
use mulberrycourse::entry::{App, Door, PeerAsk, PeerReply, Peers};
use parking_lot::Mutex;

/// How long an answer takes.
const ANSWER: Duration = Duration::from_millis(3);

/// What a node does with requests of others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Link {
    Open,
    /// Connections are refused.
    Cut,
    /// Nothing is answered.
    Silent,
    /// Requests are carried out and not answered.
    Deaf,
}

#[derive(Debug)]
struct End {
    app: Arc<App>,
    link: Link,
}

/// All links. Cloning it shares them.
#[derive(Debug, Clone, Default)]
pub(crate) struct Links {
    ends: Arc<Mutex<HashMap<SocketAddr, End>>>,
    asked: Arc<Mutex<Vec<PeerAsk>>>,
    /// Nodes whose requests reach nobody.
    alone: Arc<Mutex<HashSet<SocketAddr>>>,
    /// Whose links these are.
    from: Option<SocketAddr>,
}

impl Links {
    /// The links of one node.
    pub(crate) fn of(&self, from: Option<SocketAddr>) -> Self {
        Self { from, ..self.clone() }
    }

    /// From now on no request of a node reaches another.
    pub(crate) fn isolate(&self, from: SocketAddr) {
        self.alone.lock().insert(from);
    }

    pub(crate) fn open(&self, at: SocketAddr, app: Arc<App>) {
        self.ends.lock().insert(at, End { app, link: Link::Open });
    }

    pub(crate) fn set(&self, at: SocketAddr, link: Link) {
        self.ends.lock().get_mut(&at).unwrap().link = link;
    }

    /// Every request so far.
    pub(crate) fn asked(&self) -> Vec<PeerAsk> {
        self.asked.lock().clone()
    }
}

impl Peers for Links {
    fn ask(
        &self,
        to: SocketAddr,
        ask: PeerAsk,
        limit: Duration,
    ) -> BoxFuture<'static, Result<PeerReply, PeerError>> {
        self.asked.lock().push(ask.clone());
        let alone = self.from.is_some_and(|from| self.alone.lock().contains(&from));
        let found = self.ends.lock().get(&to).map(|end| (end.app.clone(), end.link));
        let found = found.filter(|_| !alone);
        Box::pin(async move {
            tokio::time::sleep(ANSWER).await;
            let late = PeerError::Late { to, limit, came: 0 };
            match found {
                None | Some((_, Link::Cut)) => {
                    Err(PeerError::Connect { to, reason: "refused".to_owned() })
                }
                Some((_, Link::Silent)) => {
                    tokio::time::sleep(limit).await;
                    Err(late)
                }
                Some((app, Link::Deaf)) => {
                    tokio::spawn(async move { Door::new(app).answer(ask).await });
                    tokio::time::sleep(limit).await;
                    Err(late)
                }
                Some((app, Link::Open)) => {
                    let door = Door::new(app);
                    let answer = tokio::time::timeout(limit, door.answer(ask)).await;
                    answer.map_err(|_| late)
                }
            }
        })
    }
}
