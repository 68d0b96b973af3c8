//! Links between the nodes of a test, which can be cut and counted.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use mulberrycourse::decide::Transfer;
use mulberrycourse::edge::peer::{PeerError, pack};
use mulberrycourse::entry::{App, PeerReply, PeerRequest, PeerResponder, Peers};
use parking_lot::Mutex;
use tokio::time::Instant;
use tokio::time::error::Elapsed;

/// Bytes of one reply that a link carries before the next one has its turn.
const PIECE: usize = 64 << 10;
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
    asked: Arc<Mutex<Vec<PeerRequest>>>,
    /// The bytes a second of each node's way out, and whose turn it is there; none for no limit.
    rate: Arc<Mutex<Option<u64>>>,
    ways: Arc<Mutex<HashMap<SocketAddr, Arc<tokio::sync::Mutex<()>>>>>,
    /// Replies that were given up, and the bytes of them that had come.
    given_up: Arc<Mutex<Vec<u64>>>,
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

    /// From now on each node sends so many bytes a second.
    pub(crate) fn limit(&self, rate: u64) {
        *self.rate.lock() = Some(rate);
    }

    /// The bytes that had come of each reply that was given up so far.
    pub(crate) fn given_up(&self) -> Vec<u64> {
        self.given_up.lock().clone()
    }

    /// Carries a reply over the way out of a node, beside its other replies, for as long as it
    /// is waited for.
    async fn carry(
        &self,
        from: SocketAddr,
        reply: &PeerReply,
        transfer: &mut Transfer,
        begun: Instant,
    ) -> Result<(), Elapsed> {
        let Some(rate) = *self.rate.lock() else { return Ok(()) };
        let way = self.ways.lock().entry(from).or_default().clone();
        let mut left = pack(reply).unwrap().len();
        while left > 0 {
            let piece = left.min(PIECE);
            let sent = async {
                let _turn = way.lock().await;
                tokio::time::sleep(Duration::from_micros(piece as u64 * 1_000_000 / rate)).await;
            };
            tokio::time::timeout_at(begun + transfer.due(), sent).await?;
            transfer.come(piece, begun.elapsed());
            left -= piece;
        }
        Ok(())
    }

    /// Every request so far.
    pub(crate) fn asked(&self) -> Vec<PeerRequest> {
        self.asked.lock().clone()
    }
}

impl Peers for Links {
    fn request(
        &self,
        to: SocketAddr,
        ask: PeerRequest,
        limit: Duration,
    ) -> BoxFuture<'static, Result<PeerReply, PeerError>> {
        self.asked.lock().push(ask.clone());
        let alone = self.from.is_some_and(|from| self.alone.lock().contains(&from));
        let found = self.ends.lock().get(&to).map(|end| (end.app.clone(), end.link));
        let found = found.filter(|_| !alone);
        let links = self.clone();
        Box::pin(async move {
            tokio::time::sleep(ANSWER).await;
            let late = PeerError::Timeout { to, timeout: limit, received: 0 };
            match found {
                None | Some((_, Link::Cut)) => {
                    Err(PeerError::Connect { to, reason: "refused".to_owned() })
                }
                Some((_, Link::Silent)) => {
                    tokio::time::sleep(limit).await;
                    Err(late)
                }
                Some((app, Link::Deaf)) => {
                    tokio::spawn(async move { PeerResponder::new(app).answer(ask).await });
                    tokio::time::sleep(limit).await;
                    Err(late)
                }
                Some((app, Link::Open)) => {
                    let begun = Instant::now();
                    let mut transfer = Transfer::new(limit, pack(&ask).unwrap().len());
                    let door = PeerResponder::new(app);
                    let answer = tokio::time::timeout_at(begun + transfer.due(), door.answer(ask));
                    let Ok(reply) = answer.await else { return Err(late) };
                    let carried = links.carry(to, &reply, &mut transfer, begun).await;
                    carried.map(|()| reply).map_err(|_| {
                        links.given_up.lock().push(transfer.came());
                        late
                    })
                }
            }
        })
    }
}
