//! The store, through another node where it turns this one away.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use parking_lot::Mutex;
use tokio::sync::watch;
use tokio::time::Instant;

use super::messages::{PeerReply, PeerRequest, StoreReply, StoreRequest};
use super::peers::Peers;
use crate::Moment;
use crate::decide::detour::{self, Way};
use crate::edge::peer::PeerError;
use crate::edge::store::{Answer, Store, StoreError, Watched};

/// How long another node may take with a call: its own call may take a third of it, and a
/// lease has to be renewed within two seconds.
const LIMIT: Duration = Duration::from_millis(1_000);
/// How long a look at the own way takes at most, for the same reason.
const PROBE: Duration = Duration::from_millis(300);
/// How long a call that began before the store came back may still take after that.
const GRACE: Duration = Duration::from_millis(100);
/// A silence of the store that counts as an outage: longer than between two renewals of a
/// lease, shorter than what makes entries of replicas lapse.
const OUTAGE: Duration = Duration::from_millis(1_000);
/// Nodes that are asked for one call.
const ASKED: usize = 2;

/// The store as a node reaches it. Cloning it shares what is believed.
#[derive(Debug, Clone)]
pub(in crate::entry) struct FallbackStore {
    pub(super) direct: Arc<dyn Store>,
    peers: Arc<dyn Peers>,
    state: Arc<Mutex<State>>,
    /// Counts how often the own way was found closed.
    closed: watch::Sender<u64>,
    /// Counts how often it was found open again.
    opened: watch::Sender<u64>,
    begun: Instant,
}

/// Nodes that are told at the same time that the store is back.
const TOLD: usize = 16;
/// How long one of them may take to say that it heard; it learns by itself otherwise.
const TELL: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct State {
    way: detour::Detour,
    /// Who can be asked, the one that helped last first.
    nodes: Vec<SocketAddr>,
    /// The most that were known: an outage ends the leases of many that look on.
    most: usize,
    /// When the store last said something, on whichever way.
    heard: Moment,
    /// When it did so again after an outage.
    back: Option<Moment>,
    /// How long it was away from everybody in all outages that are over.
    lost: Duration,
}

impl State {
    /// The store said something; `news` if it had not before, and `nobody` had heard it.
    fn hear(&mut self, news: bool, nobody: bool, now: Moment) {
        if nobody && news {
            self.lost += now.saturating_sub(self.heard);
        }
        if news || now.saturating_sub(self.heard) > OUTAGE {
            self.back = Some(now);
        }
        self.heard = now;
    }
}

/// How a call through another node ended.
enum Helped<T> {
    Answered(Result<T, StoreError>),
    /// It did nothing.
    Not(StoreError),
    /// It may have done it.
    Unsure(StoreError),
}

impl FallbackStore {
    pub(in crate::entry) fn new(
        direct: Arc<dyn Store>,
        peers: Arc<dyn Peers>,
        seeds: Vec<SocketAddr>,
    ) -> Self {
        let mut way = detour::Detour::default();
        way.set_pace(detour::pace(seeds.len() + 1, rand::random()), rand::random());
        let state = State {
            way,
            most: seeds.len(),
            nodes: seeds,
            heard: Moment::ZERO,
            back: None,
            lost: Duration::ZERO,
        };
        Self {
            direct,
            peers,
            state: Arc::new(Mutex::new(state)),
            closed: watch::Sender::new(0),
            opened: watch::Sender::new(0),
            begun: Instant::now(),
        }
    }

    /// Whether the store answers this node, as far as is known.
    pub(in crate::entry) fn is_direct(&self) -> bool {
        self.state.lock().way.open()
    }

    /// Whether the store is away from everybody, as far as is known.
    pub(in crate::entry) fn is_down(&self) -> bool {
        self.state.lock().way.nobody()
    }

    /// How long the store has been away from everybody; none while it is not.
    pub(in crate::entry) fn outage_duration(&self) -> Option<Duration> {
        let state = self.state.lock();
        let away = self.begun.elapsed().saturating_sub(state.heard);
        state.way.nobody().then_some(away)
    }

    /// The present on a clock that stands while the store is away from everybody: nobody can be
    /// listed meanwhile, so that time says nothing of who is missing.
    pub(in crate::entry) fn store_time(&self) -> Moment {
        let state = self.state.lock();
        let now = if state.way.nobody() { state.heard } else { self.begun.elapsed() };
        now.saturating_sub(state.lost)
    }

    /// How long ago the store came back after an outage; none if there was none.
    pub(in crate::entry) fn time_since_recovery(&self) -> Option<Duration> {
        let back = self.state.lock().back?;
        Some(self.begun.elapsed().saturating_sub(back))
    }

    /// Takes over who can be asked.
    pub(in crate::entry) fn set_peers(&self, nodes: Vec<SocketAddr>) {
        if nodes.is_empty() {
            return;
        }
        let mut state = self.state.lock();
        let first = state.nodes.first().copied();
        if nodes.len() > state.most {
            state.most = nodes.len();
            let pace = detour::pace(nodes.len() + 1, rand::random());
            state.way.set_pace(pace, rand::random());
        }
        state.nodes = nodes;
        if let Some(place) = state.nodes.iter().position(|n| Some(*n) == first) {
            state.nodes.swap(0, place);
        }
    }

    /// Makes a call. `again` for one that may be made more than once.
    pub(super) async fn call<T>(
        self,
        direct: Answer<T>,
        ask: StoreRequest,
        again: bool,
        open: fn(StoreReply) -> Option<T>,
    ) -> Result<T, StoreError> {
        let mut way = self.way(again);
        if way == Way::Peer {
            match self.clone().ask(ask.clone(), again, None, open).await {
                Err(e) if again || matches!(e, StoreError::Refused(_)) => {
                    // Nobody can help: the own way may have opened meanwhile.
                    way = self.way(again);
                    if way != Way::Alone {
                        return Err(e);
                    }
                }
                answer => return answer,
            }
        }
        let tried = match way {
            Way::Peer | Way::Not => return Err(StoreError::Refused("away from all".to_owned())),
            Way::Probe => look(direct).await,
            Way::Alone if again => look(direct).await,
            Way::Direct | Way::Alone => self.until_opened(direct).await,
        };
        let failed = match tried {
            Ok(answer) => {
                self.answered();
                return Ok(answer);
            }
            Err(StoreError::Compacted) => {
                self.answered();
                return Err(StoreError::Compacted);
            }
            Err(e) => {
                // Whoever watches has to learn that the watch was cut. That is one connection's
                // end; the next call shows whether the way is closed.
                if matches!(ask, StoreRequest::Watch { .. }) {
                    return Err(e);
                }
                self.failed(&e);
                if way == Way::Alone || (!again && matches!(e, StoreError::Unknown(_))) {
                    return Err(e);
                }
                e
            }
        };
        self.ask(ask, again, Some(failed), open).await
    }

    /// Looks whether the own way is open, whoever looked when. One call.
    pub(in crate::entry) async fn probe(&self, key: &str) -> bool {
        match look(self.direct.get(key)).await {
            Ok(_) => {
                self.answered();
                true
            }
            Err(e) => {
                self.failed(&e);
                false
            }
        }
    }

    fn way(&self, again: bool) -> Way {
        self.state.lock().way.way(again, self.begun.elapsed())
    }

    async fn ask<T>(
        self,
        ask: StoreRequest,
        again: bool,
        failed: Option<StoreError>,
        open: fn(StoreReply) -> Option<T>,
    ) -> Result<T, StoreError> {
        let nodes: Vec<SocketAddr> = self.state.lock().nodes.iter().copied().take(ASKED).collect();
        let mut last = failed.unwrap_or_else(|| StoreError::Refused("no node to ask".to_owned()));
        for node in nodes {
            match self.help(node, ask.clone(), open).await {
                Helped::Answered(answer) => {
                    let mut state = self.state.lock();
                    let nobody = state.way.nobody();
                    let news = state.way.helped();
                    state.hear(news, nobody, self.begun.elapsed());
                    return answer;
                }
                Helped::Unsure(e) if !again => return Err(e),
                Helped::Not(e) | Helped::Unsure(e) => last = e,
            }
            // The next call asks another one first.
            self.state.lock().nodes.rotate_left(1);
        }
        self.state.lock().way.alone(self.begun.elapsed());
        Err(last)
    }

    async fn help<T>(
        &self,
        node: SocketAddr,
        ask: StoreRequest,
        open: fn(StoreReply) -> Option<T>,
    ) -> Helped<T> {
        let limit = match &ask {
            StoreRequest::Watch { wait, .. } => LIMIT + *wait,
            _ => LIMIT,
        };
        match self.peers.ask(node, PeerRequest::Store(ask), limit).await {
            Ok(PeerReply::Store(Ok(reply))) => Helped::Answered(
                open(reply).ok_or_else(|| StoreError::Unknown("another answer".to_owned())),
            ),
            Ok(PeerReply::Store(Err(StoreError::Compacted))) => {
                Helped::Answered(Err(StoreError::Compacted))
            }
            Ok(PeerReply::Store(Err(e @ StoreError::Refused(_)))) => Helped::Not(e),
            Ok(PeerReply::Store(Err(e))) => Helped::Unsure(e),
            Ok(_) => Helped::Unsure(StoreError::Unknown("another answer".to_owned())),
            Err(e @ PeerError::Connect { .. }) => Helped::Not(StoreError::Refused(e.to_string())),
            Err(e) => Helped::Unsure(StoreError::Unknown(e.to_string())),
        }
    }

    /// A call on the own way. One that began while the store was away is not answered after
    /// its return either, and is given up then.
    async fn until_opened<T>(&self, called: Answer<T>) -> Result<T, StoreError> {
        let mut opened = self.opened.subscribe();
        tokio::select! {
            answer = called => answer,
            () = async {
                let _ = opened.changed().await;
                tokio::time::sleep(GRACE).await;
            } => Err(StoreError::Unknown("no answer as the store came back".to_owned())),
        }
    }

    /// A watch on the own way, which hangs unnoticed where the store has fallen silent.
    pub(super) fn until_closed(&self, watched: Answer<Watched>) -> Answer<Watched> {
        let mut closed = self.closed.subscribe();
        Box::pin(async move {
            tokio::select! {
                watched = watched => watched,
                _ = closed.changed() => {
                    Err(StoreError::Unknown("the way to the store is closed".to_owned()))
                }
            }
        })
    }

    fn answered(&self) {
        let (nobody, news) = {
            let mut state = self.state.lock();
            let nobody = state.way.nobody();
            let news = state.way.answered();
            state.hear(news, nobody, self.begun.elapsed());
            (nobody, news)
        };
        if !news {
            return;
        }
        self.opened.send_modify(|n| *n += 1);
        tracing::info!(event = "store_reached", way = "direct");
        if nobody {
            tokio::spawn(self.clone().tell());
        }
    }

    /// Tells the others that the store is back: they look now and not in a while.
    async fn tell(self) {
        let nodes = self.state.lock().nodes.clone();
        let asks =
            nodes.into_iter().map(|to| self.peers.ask(to, PeerRequest::StoreRecovered, TELL));
        let mut asks = futures_util::stream::iter(asks).buffer_unordered(TOLD);
        while asks.next().await.is_some() {}
    }

    /// Another node says that the store is back. Whoever is told does not tell on.
    pub(super) fn on_recovery_notice(&self) {
        {
            let mut state = self.state.lock();
            if !state.way.nobody() {
                return;
            }
            state.way.told();
            state.hear(true, true, self.begun.elapsed());
        }
        self.opened.send_modify(|n| *n += 1);
        tracing::info!(event = "store_reached", way = "told");
    }

    /// Waits for a pause to be over, or for the store to be back.
    pub(in crate::entry) async fn wait_for_recovery(&self, pause: Duration) {
        let mut opened = self.opened.subscribe();
        let _ = tokio::time::timeout(pause, opened.changed()).await;
    }

    fn failed(&self, e: &StoreError) {
        if self.state.lock().way.failed(self.begun.elapsed()) {
            self.closed.send_modify(|n| *n += 1);
            tracing::info!(event = "store_not_reached", way = "direct", error = %e);
        }
    }
}

/// A call that is to show soon whether the own way is open.
async fn look<T>(called: Answer<T>) -> Result<T, StoreError> {
    let late = || StoreError::Unknown("no answer to a look".to_owned());
    tokio::time::timeout(PROBE, called).await.unwrap_or_else(|_| Err(late()))
}
