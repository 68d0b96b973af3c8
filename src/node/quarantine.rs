//! Applies the quarantine to attempts: each attempt is checked here just before it is sent, and
//! crashes are reported to the other nodes.

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

/// The delay before a trial that was not granted is requested again.
const TRIAL_RETRY_DELAY: Duration = Duration::from_millis(50);
/// The timeout of a request to a peer.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);
/// The delay after each failed attempt to send a notice to a peer.
const NOTICE_RETRY_DELAYS: [Duration; 3] =
    [Duration::from_millis(50), Duration::from_millis(250), Duration::from_millis(500)];
/// How long the response to a request that crashed an upstream waits for the other nodes to
/// receive the notice: several attempts at a node that is slow to accept, but no longer for a node
/// that is gone.
const NOTICE_WAIT: Duration = Duration::from_secs(1);
/// The time between two requests for the notices that another node knows.
const SYNC_INTERVAL: Duration = Duration::from_secs(5);
/// The delay before the first such request, and between requests until one has succeeded.
const INITIAL_SYNC_DELAY: Duration = Duration::from_millis(50);
/// How long a trial lock is held at most. It is longer than any trial, and frees the upstream if
/// the holder dies.
const TRIAL_LOCK_TTL: Duration = Duration::from_secs(65);

/// The quarantine state of this node, and the trial locks of the upstreams that it owns.
#[derive(Debug)]
pub(super) struct NodeQuarantine {
    state: Mutex<Quarantine>,
    trial_locks: Mutex<TrialLocks>,
    /// The fingerprints on trial at this node. Each is on trial at most once at a time.
    local_trials: Mutex<HashSet<u64>>,
}

/// Returns the fingerprint of a request: the hash of its service and its content hash.
pub(super) fn fingerprint(service: &str, content: u64) -> u64 {
    xxh3_64_with_seed(service.as_bytes(), content)
}

impl NodeQuarantine {
    pub(super) fn new(name: &Name) -> Self {
        let state = Quarantine::new(name.clone(), rand::random());
        Self {
            state: Mutex::new(state),
            trial_locks: Mutex::default(),
            local_trials: Mutex::default(),
        }
    }

    /// Refuses the request if its fingerprint is quarantined.
    pub(super) fn check(&self, app: &App, fingerprint: u64) -> Result<(), Refusal> {
        match self.state.lock().status(fingerprint, app.clock.now()) {
            FingerprintStatus::Clear | FingerprintStatus::Suspect(_) => Ok(()),
            FingerprintStatus::Quarantined(left) => {
                let detail = format!("refused for another {} s", left.as_secs());
                Err(Refusal::new(Kind::Quarantined, detail))
            }
        }
    }

    /// Returns the number of suspects and the number of quarantined fingerprints.
    pub(super) fn counts(&self) -> (usize, usize) {
        self.state.lock().counts()
    }

    /// Applies notices of another node.
    pub(super) fn apply_notices(&self, app: &App, notices: &[CrashNotice]) {
        let mut state = self.state.lock();
        notices.iter().for_each(|notice| {
            state.apply_notice(notice, app.clock.now());
        });
    }

    /// Returns the notices that carry all that this node knows.
    pub(super) fn notices(&self, app: &App) -> Vec<CrashNotice> {
        self.state.lock().notices(app.clock.now())
    }

    /// Acquires the trial lock of an upstream that this node owns. Returns false if another trial
    /// holds it.
    pub(super) fn acquire_trial(&self, app: &App, upstream: &Name, trial_id: u64) -> bool {
        let now = app.clock.now();
        self.trial_locks.lock().acquire(upstream, trial_id, now + TRIAL_LOCK_TTL, now)
    }

    /// Releases the trial lock of an upstream.
    pub(super) fn release_trial(&self, upstream: &Name, trial_id: u64) {
        self.trial_locks.lock().release(upstream, trial_id);
    }
}

/// An attempt that may be sent now. Dropping it ends its trial, if it has one.
#[derive(Debug)]
pub(super) struct CheckedAttempt<'a> {
    app: &'a App,
    in_flight: InFlightAttempt,
    address: SocketAddr,
    trial: Option<Trial>,
}

impl<'a> CheckedAttempt<'a> {
    /// Waits until the attempt may be sent: a suspect waits until no other suspect is at its
    /// upstream. Refuses a quarantined request, and one whose deadline passes.
    pub(super) async fn wait_to_send(
        app: &'a App,
        upstream: &Name,
        address: SocketAddr,
        fingerprint: u64,
        deadline: Instant,
    ) -> Result<Self, Refusal> {
        loop {
            app.quarantine.check(app, fingerprint)?;
            let status = app.quarantine.state.lock().status(fingerprint, app.clock.now());
            let trial = match status {
                FingerprintStatus::Clear => None,
                FingerprintStatus::Suspect(duration) => {
                    let trial = Trial::acquire(app, upstream, fingerprint, duration).await;
                    if trial.is_none() {
                        wait_for_trial(deadline).await?;
                        continue;
                    }
                    trial
                }
                FingerprintStatus::Quarantined(_) => continue,
            };
            // The fingerprint may have been quarantined while the trial was requested.
            app.quarantine.check(app, fingerprint)?;
            let in_flight = InFlightAttempt {
                upstream: upstream.clone(),
                fingerprint,
                sent_at: app.clock.now(),
            };
            return Ok(Self { app, in_flight, address, trial });
        }
    }

    /// Runs the attempt. A suspect that runs for its trial duration is cleared while it runs.
    pub(super) async fn run<T>(&mut self, attempt: impl Future<Output = T>) -> T {
        let Some(duration) = self.trial.as_ref().map(|t| t.duration) else { return attempt.await };
        tokio::pin!(attempt);
        match tokio::time::timeout(duration, attempt.as_mut()).await {
            Ok(ended) => ended,
            Err(_) => {
                self.clear();
                attempt.await
            }
        }
    }

    /// Records that the attempt succeeded.
    pub(super) fn succeeded(mut self) {
        self.clear();
    }

    /// Records that the attempt failed. If its upstream crashed meanwhile, this waits until the
    /// other nodes have received the notice, for at most [`NOTICE_WAIT`]: once the caller has the
    /// response, it may send the request to any node again at once.
    pub(super) async fn failed(self, outcome: AttemptOutcome) {
        let failed_at = self.app.clock.now();
        match outcome {
            AttemptOutcome::Unknown => {}
            AttemptOutcome::Unsent | AttemptOutcome::Refused | AttemptOutcome::Answered => return,
        }
        if !self.upstream_is_live() || probe(self.address).await != ProbeResult::Refused {
            return;
        }
        let app = self.app;
        let notice =
            app.quarantine.state.lock().record_crash(&self.in_flight, failed_at, app.clock.now());
        tracing::warn!(
            event = "upstream_crashed",
            upstream = %self.in_flight.upstream,
            fingerprint = format!("{:016x}", self.in_flight.fingerprint),
            trial = self.trial.is_some(),
        );
        let sent = join_all(send_to_peers(app, notice));
        if tokio::time::timeout(NOTICE_WAIT, sent).await.is_err() {
            tracing::info!(event = "crash_notice_late", upstream = %self.in_flight.upstream);
        }
    }

    /// Whether the list marks the upstream as live. One that is leaving was stopped and did not
    /// crash.
    fn upstream_is_live(&self) -> bool {
        let list = self.app.upstreams.list();
        let vm = list.iter().find(|vm| vm.name == self.in_flight.upstream);
        vm.is_some_and(|vm| vm.state == VmState::Live)
    }

    fn clear(&mut self) {
        self.trial = None;
        let now = self.app.clock.now();
        let fingerprint = self.in_flight.fingerprint;
        let notice = self.app.quarantine.state.lock().record_success(fingerprint, now);
        if let Some(notice) = notice {
            drop(send_to_peers(self.app, notice));
        }
    }
}

async fn wait_for_trial(deadline: Instant) -> Result<(), Refusal> {
    if Instant::now() >= deadline {
        return Err(Refusal::new(
            Kind::DeadlinePassed,
            "the request waited for an upstream without other suspect requests",
        ));
    }
    tokio::time::sleep(TRIAL_RETRY_DELAY).await;
    Ok(())
}

/// The right to run a suspect at an upstream, granted by the owner of the upstream's trial lock.
#[derive(Debug)]
struct Trial {
    /// After this time without a crash the suspect is cleared.
    duration: Duration,
    upstream: Name,
    trial_id: u64,
    owner: TrialOwner,
    _local: LocalTrial,
}

/// Marks a fingerprint as on trial at this node until it is dropped.
#[derive(Debug)]
struct LocalTrial {
    quarantine: Arc<NodeQuarantine>,
    fingerprint: u64,
}

impl LocalTrial {
    fn begin(quarantine: &Arc<NodeQuarantine>, fingerprint: u64) -> Option<Self> {
        let added = quarantine.local_trials.lock().insert(fingerprint);
        added.then(|| Self { quarantine: quarantine.clone(), fingerprint })
    }
}

impl Drop for LocalTrial {
    fn drop(&mut self) {
        self.quarantine.local_trials.lock().remove(&self.fingerprint);
    }
}

/// The node that owns the trial lock of an upstream.
#[derive(Debug)]
enum TrialOwner {
    Local(Arc<NodeQuarantine>),
    Remote(PeerClient, SocketAddr),
    /// No node is known to own the lock, or the address of the owner is unknown. The trial runs
    /// without a lock, since a suspect must not wait forever for a node that is gone.
    Unknown,
}

impl Trial {
    /// Requests a trial. `None` if the fingerprint is already on trial here, or if the upstream is
    /// locked by another trial. If the owner does not answer, the trial runs without a lock.
    async fn acquire(
        app: &App,
        upstream: &Name,
        fingerprint: u64,
        duration: Duration,
    ) -> Option<Self> {
        let local = LocalTrial::begin(&app.quarantine, fingerprint)?;
        let trial_id = rand::random();
        let owner = trial_owner(app, upstream);
        let acquired = match &owner {
            TrialOwner::Local(quarantine) => quarantine.acquire_trial(app, upstream, trial_id),
            TrialOwner::Remote(peers, to) => {
                let request = NodeRequest::Trial { upstream: upstream.clone(), trial_id };
                match peers.request(*to, &request, PEER_TIMEOUT).await {
                    Ok(NodeReply::Recorded(acquired)) => acquired,
                    Ok(_) | Err(_) => true,
                }
            }
            TrialOwner::Unknown => true,
        };
        acquired.then(|| Self {
            duration,
            upstream: upstream.clone(),
            trial_id,
            owner,
            _local: local,
        })
    }
}

impl Drop for Trial {
    fn drop(&mut self) {
        match &self.owner {
            TrialOwner::Local(quarantine) => {
                quarantine.release_trial(&self.upstream, self.trial_id);
            }
            TrialOwner::Remote(peers, to) => {
                let request = NodeRequest::TrialOver {
                    upstream: self.upstream.clone(),
                    trial_id: self.trial_id,
                };
                let (peers, to) = (peers.clone(), *to);
                tokio::spawn(async move { peers.request(to, &request, PEER_TIMEOUT).await });
            }
            TrialOwner::Unknown => {}
        }
    }
}

/// Returns the owner of an upstream's trial lock, among the nodes that serve.
fn trial_owner(app: &App, upstream: &Name) -> TrialOwner {
    match app.key_owner(&format!("trial/{upstream}")) {
        Some(name) if name == app.settings.node.name => TrialOwner::Local(app.quarantine.clone()),
        Some(name) => match app.members.peer_address(&name) {
            Some(to) => TrialOwner::Remote(app.peers.clone(), to),
            None => TrialOwner::Unknown,
        },
        None => TrialOwner::Unknown,
    }
}

/// Sends a notice to every other node. The tasks continue even if nobody awaits them.
fn send_to_peers(app: &App, notice: CrashNotice) -> Vec<JoinHandle<()>> {
    let request = Arc::new(NodeRequest::Suspects(vec![notice]));
    let others = app.members.alive(app.clock.now());
    let send =
        |to: NodeInfo| tokio::spawn(send_notice(app.peers.clone(), to.peers, request.clone()));
    others.into_iter().map(send).collect()
}

async fn send_notice(peers: PeerClient, to: SocketAddr, request: Arc<NodeRequest>) {
    for delay in NOTICE_RETRY_DELAYS {
        if peers.request(to, &request, PEER_TIMEOUT).await.is_ok() {
            return;
        }
        tokio::time::sleep(delay).await;
    }
    if let Err(e) = peers.request(to, &request, PEER_TIMEOUT).await {
        tracing::info!(event = "crash_notice_not_sent", %to, error = %e);
    }
}

/// Requests the notices of a random other node at intervals until this node stops. This recovers
/// notices that were sent before this node started or while it was disconnected.
pub(super) async fn sync_with_peers(app: Arc<App>) {
    let mut synced = false;
    loop {
        let delay = if synced { SYNC_INTERVAL } else { INITIAL_SYNC_DELAY };
        tokio::select! {
            () = app.cancel.cancelled() => return,
            () = tokio::time::sleep(delay) => {}
        }
        app.quarantine.state.lock().tick(app.clock.now());
        let others = app.members.alive(app.clock.now());
        let Some(other) = others.choose(&mut rand::rng()) else { continue };
        if let Ok(NodeReply::Suspects(notices)) =
            app.peers.request(other.peers, &NodeRequest::ListSuspects, PEER_TIMEOUT).await
        {
            app.quarantine.apply_notices(&app, &notices);
            synced = true;
        }
    }
}
