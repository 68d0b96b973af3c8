//! The shell around quarantine: each attempt passes here just before it is sent.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use parking_lot::Mutex;
use rand::seq::IndexedRandom;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::app::App;
use crate::Name;
use crate::decide::AttemptOutcome;
use crate::decide::quarantine::{
    CrashNotice, FingerprintStatus, InFlightAttempt, Quarantine, TrialLocks,
};
use crate::edge::peer::{NodeInfo, NodeReply, NodeRequest, PeerClient};
use crate::edge::platform::VmState;
use crate::edge::upstream::{ProbeResult, probe};
use crate::error::{Kind, Refusal};

/// Pause before a trial is asked for again.
const PAUSE: Duration = Duration::from_millis(50);
/// How long a peer may take to reply.
const LIMIT: Duration = Duration::from_millis(500);
/// Pauses between the tries to tell a peer.
const TELLS: [Duration; 3] =
    [Duration::from_millis(50), Duration::from_millis(250), Duration::from_millis(500)];
/// How long the answer to a crash waits until the others know: several tries at a node that is
/// slow to accept, and no more for one that is gone.
const HEARD: Duration = Duration::from_secs(1);
/// Time between two looks at what another node knows.
const PERIOD: Duration = Duration::from_secs(5);
/// Longer than any trial, by which a holder that died frees its upstream.
const HELD: Duration = Duration::from_secs(65);

/// What this node knows, and the trials that it is home to.
#[derive(Debug)]
pub(super) struct Suspects {
    known: Mutex<Quarantine>,
    trials: Mutex<TrialLocks>,
    /// Fingerprints that are on trial at this node: one copy of each at a time.
    own: Mutex<HashSet<u64>>,
}

/// The fingerprint of a content for a service.
pub(super) fn fingerprint(service: &str, content: u64) -> u64 {
    xxh3_64_with_seed(service.as_bytes(), content)
}

impl Suspects {
    pub(super) fn new(name: &Name) -> Self {
        let known = Quarantine::new(name.clone(), rand::random());
        Self { known: Mutex::new(known), trials: Mutex::default(), own: Mutex::default() }
    }

    /// Refuses what is quarantined, at once.
    pub(super) fn check(&self, app: &App, fingerprint: u64) -> Result<(), Refusal> {
        match self.known.lock().status(fingerprint, app.clock.now()) {
            FingerprintStatus::Clear | FingerprintStatus::Suspect(_) => Ok(()),
            FingerprintStatus::Quarantined(left) => {
                let detail = format!("refused for {} s more", left.as_secs());
                Err(Refusal::new(Kind::Quarantined, detail))
            }
        }
    }

    /// How many are suspects, and how many are quarantined.
    pub(super) fn counts(&self) -> (usize, usize) {
        self.known.lock().counts()
    }

    /// Another node tells.
    pub(super) fn told(&self, app: &App, all: &[CrashNotice]) {
        let mut known = self.known.lock();
        all.iter().for_each(|news| {
            known.apply_notice(news, app.clock.now());
        });
    }

    /// Everything that is known.
    pub(super) fn all(&self, app: &App) -> Vec<CrashNotice> {
        self.known.lock().notices(app.clock.now())
    }

    /// Another node asks for a trial at an upstream.
    pub(super) fn take(&self, app: &App, upstream: &Name, holder: u64) -> bool {
        let now = app.clock.now();
        self.trials.lock().acquire(upstream, holder, now + HELD, now)
    }

    /// Another node's trial is over.
    pub(super) fn end(&self, upstream: &Name, holder: u64) {
        self.trials.lock().release(upstream, holder);
    }
}

/// An attempt that may be sent now. Dropping it ends its trial, if it is one.
#[derive(Debug)]
pub(super) struct Visit<'a> {
    app: &'a App,
    flight: InFlightAttempt,
    address: SocketAddr,
    trial: Option<Trial>,
}

impl<'a> Visit<'a> {
    /// Waits until the attempt may be sent: a suspect until no other suspect is at its
    /// upstream. Refuses what is quarantined.
    pub(super) async fn enter(
        app: &'a App,
        upstream: &Name,
        address: SocketAddr,
        fingerprint: u64,
        deadline: Instant,
    ) -> Result<Self, Refusal> {
        loop {
            app.suspects.check(app, fingerprint)?;
            let standing = app.suspects.known.lock().status(fingerprint, app.clock.now());
            let trial = match standing {
                FingerprintStatus::Clear => None,
                FingerprintStatus::Suspect(length) => {
                    let trial = Trial::take(app, upstream, fingerprint, length).await;
                    if trial.is_none() {
                        wait(deadline).await?;
                        continue;
                    }
                    trial
                }
                FingerprintStatus::Quarantined(_) => continue,
            };
            // It may have been quarantined while the trial was asked for.
            app.suspects.check(app, fingerprint)?;
            let flight = InFlightAttempt {
                upstream: upstream.clone(),
                fingerprint,
                sent_at: app.clock.now(),
            };
            return Ok(Self { app, flight, address, trial });
        }
    }

    /// Runs the attempt. A suspect that runs for long enough is cleared on the way.
    pub(super) async fn run<T>(&mut self, attempt: impl Future<Output = T>) -> T {
        let Some(length) = self.trial.as_ref().map(|t| t.length) else { return attempt.await };
        tokio::pin!(attempt);
        match tokio::time::timeout(length, attempt.as_mut()).await {
            Ok(ended) => ended,
            Err(_) => {
                self.clear();
                attempt.await
            }
        }
    }

    /// The attempt brought its answer.
    pub(super) fn passed(mut self) {
        self.clear();
    }

    /// The attempt failed. If its upstream crashed under it, all nodes are told first: a caller
    /// that has its answer may send the request to any of them at once.
    pub(super) async fn broke(self, outcome: AttemptOutcome) {
        let broke = self.app.clock.now();
        match outcome {
            AttemptOutcome::Unknown => {}
            AttemptOutcome::Unsent | AttemptOutcome::Refused | AttemptOutcome::Answered => return,
        }
        if !self.live() || probe(self.address).await != ProbeResult::Refused {
            return;
        }
        let app = self.app;
        let news = app.suspects.known.lock().record_crash(&self.flight, broke, app.clock.now());
        tracing::warn!(
            event = "upstream_crashed",
            upstream = %self.flight.upstream,
            fingerprint = format!("{:016x}", self.flight.fingerprint),
            trial = self.trial.is_some(),
        );
        let told = join_all(spread(app, news));
        if tokio::time::timeout(HEARD, told).await.is_err() {
            tracing::info!(event = "suspect_told_late", upstream = %self.flight.upstream);
        }
    }

    /// Whether the upstream was to stay: one that is leaving is stopped, not crashed.
    fn live(&self) -> bool {
        let list = self.app.upstreams.list();
        let vm = list.iter().find(|vm| vm.name == self.flight.upstream);
        vm.is_some_and(|vm| vm.state == VmState::Live)
    }

    fn clear(&mut self) {
        self.trial = None;
        let now = self.app.clock.now();
        let news = self.app.suspects.known.lock().record_success(self.flight.fingerprint, now);
        if let Some(news) = news {
            drop(spread(self.app, news));
        }
    }
}

async fn wait(deadline: Instant) -> Result<(), Refusal> {
    if Instant::now() >= deadline {
        return Err(Refusal::new(Kind::DeadlinePassed, "it waited to run without other suspects"));
    }
    tokio::time::sleep(PAUSE).await;
    Ok(())
}

/// The right to run a suspect at an upstream, from the upstream's home.
#[derive(Debug)]
struct Trial {
    /// After so long it is cleared.
    length: Duration,
    upstream: Name,
    holder: u64,
    home: Home,
    _own: Own,
}

/// A fingerprint's place among those on trial at this node.
#[derive(Debug)]
struct Own {
    suspects: Arc<Suspects>,
    fingerprint: u64,
}

impl Own {
    fn take(suspects: &Arc<Suspects>, fingerprint: u64) -> Option<Self> {
        let free = suspects.own.lock().insert(fingerprint);
        free.then(|| Self { suspects: suspects.clone(), fingerprint })
    }
}

impl Drop for Own {
    fn drop(&mut self) {
        self.suspects.own.lock().remove(&self.fingerprint);
    }
}

#[derive(Debug)]
enum Home {
    Here(Arc<Suspects>),
    There(PeerClient, SocketAddr),
    /// No other node is known, or the home does not answer: a suspect must not wait for
    /// ever on a node that is gone.
    Nowhere,
}

impl Trial {
    async fn take(app: &App, upstream: &Name, fingerprint: u64, length: Duration) -> Option<Self> {
        let own = Own::take(&app.suspects, fingerprint)?;
        let holder = rand::random();
        let home = home(app, upstream);
        let taken = match &home {
            Home::Here(suspects) => suspects.take(app, upstream, holder),
            Home::There(peers, to) => {
                let request = NodeRequest::Trial { upstream: upstream.clone(), holder };
                match peers.request(*to, &request, LIMIT).await {
                    Ok(NodeReply::Recorded(taken)) => taken,
                    Ok(_) | Err(_) => true,
                }
            }
            Home::Nowhere => true,
        };
        taken.then(|| Self { length, upstream: upstream.clone(), holder, home, _own: own })
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        match &self.home {
            Home::Here(suspects) => suspects.end(&self.upstream, self.holder),
            Home::There(peers, to) => {
                let request =
                    NodeRequest::TrialOver { upstream: self.upstream.clone(), holder: self.holder };
                let (peers, to) = (peers.clone(), *to);
                tokio::spawn(async move { peers.request(to, &request, LIMIT).await });
            }
            Home::Nowhere => {}
        }
    }
}

/// The home of an upstream's trials among the nodes that serve.
fn home(app: &App, upstream: &Name) -> Home {
    match app.home(&format!("trial/{upstream}")) {
        Some(name) if name == app.settings.node.name => Home::Here(app.suspects.clone()),
        Some(name) => match app.members.address(&name) {
            Some(to) => Home::There(app.peers.clone(), to),
            None => Home::Nowhere,
        },
        None => Home::Nowhere,
    }
}

/// Tells every other node. The tasks go on where nobody waits for them.
fn spread(app: &App, news: CrashNotice) -> Vec<JoinHandle<()>> {
    let request = Arc::new(NodeRequest::Suspects(vec![news]));
    let others = app.members.alive(app.clock.now());
    let tell = |to: NodeInfo| tokio::spawn(tell(app.peers.clone(), to.peers, request.clone()));
    others.into_iter().map(tell).collect()
}

async fn tell(peers: PeerClient, to: SocketAddr, request: Arc<NodeRequest>) {
    for pause in TELLS {
        if peers.request(to, &request, LIMIT).await.is_ok() {
            return;
        }
        tokio::time::sleep(pause).await;
    }
    if let Err(e) = peers.request(to, &request, LIMIT).await {
        tracing::info!(event = "suspect_not_told", %to, error = %e);
    }
}

/// Asks another node now and then what it knows, until the node stops: for what was
/// told before this node started, or while it was cut off.
pub(super) async fn follow(app: Arc<App>) {
    let mut asked = false;
    loop {
        let pause = if asked { PERIOD } else { PAUSE };
        tokio::select! {
            () = app.cancel.cancelled() => return,
            () = tokio::time::sleep(pause) => {}
        }
        app.suspects.known.lock().tick(app.clock.now());
        let others = app.members.alive(app.clock.now());
        let Some(other) = others.choose(&mut rand::rng()) else { continue };
        if let Ok(NodeReply::Suspects(all)) =
            app.peers.request(other.peers, &NodeRequest::ListSuspects, LIMIT).await
        {
            app.suspects.told(&app, &all);
            asked = true;
        }
    }
}
