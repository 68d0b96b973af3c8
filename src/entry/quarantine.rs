//! Quarantine of requests that crash the replicas that run them, over all nodes.
//!
//! Every attempt whose connection breaks is checked: if the replica's process has ended, the request
//! is a suspect. `decide::quarantine` judges the suspects. Other nodes learn of suspects from their
//! second crash on, and before the caller of a request that has failed gets its response. While
//! nothing crashes, no message is sent and no request is delayed.

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use http::Method;
use parking_lot::Mutex;
use tokio::sync::{Notify, OnceCell, watch};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::peer::{PeerRequest, Peers};
use crate::decide::quarantine::{
    CrashNotice, FingerprintStatus, InFlightAttempt, MIN_CRASHES, Quarantine, QuarantineRule,
    RecentCrashes,
};
use crate::decide::{Fleet, rendezvous_rank};
use crate::edge::replica::{CallError, Replicas, Target};
use crate::edge::upstream::ProbeResult;
use crate::error::{Kind, Refusal};
use crate::metrics::EntryMetrics;
use crate::{Moment, Name};

/// How long a replica may take to report its start time after a broken connection.
const STATUS_TIMEOUT: Duration = Duration::from_millis(250);
/// How long the final response to a request that crashed a replica waits for the other nodes to
/// know it. Probing takes up to 0.1 s of that at a replica that refuses connections, and a notice
/// some milliseconds; a node that does not reply must not delay a live request by more.
const NOTICE_WAIT: Duration = Duration::from_millis(300);
/// How long another node may take to acknowledge notices.
const PEER_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a node that did not acknowledge notices gets none.
const PEER_RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// How long the result of checking a replica holds for other requests that break off there. They
/// break off at the same moment, and a check takes 0.1 s.
const CHECK_RETENTION: Duration = Duration::from_millis(500);
/// How often suspects are judged and notices are sent again while there are suspects.
const REVIEW_INTERVAL: Duration = Duration::from_millis(250);
/// How many nodes tell a node that has started everything that they know. One of them may be gone.
const TELLING_NODES: usize = 2;
/// The most notices in one message, about 50 kB.
const MAX_NOTICES_PER_MESSAGE: usize = 512;
/// How long a node that is not registered any more still gets notices, as during an outage of the
/// store, which ends all registrations.
const DEPARTED_RETENTION: Duration = Duration::from_secs(30);

/// What one other node has been told.
#[derive(Debug, Clone)]
struct PeerState {
    address: SocketAddr,
    /// The last own change that it acknowledged.
    acknowledged: u64,
    /// Whether it started lately and gets everything that this node knows.
    needs_all: bool,
    retry_at: Moment,
    departed_at: Option<Moment>,
}

/// A check whether a replica has crashed.
#[derive(Debug, Clone)]
struct ReplicaCheck {
    target: Target,
    began_at: Moment,
    crashed: Arc<OnceCell<bool>>,
}

/// The quarantine of an entry node.
#[derive(Debug)]
pub(super) struct EntryQuarantine {
    incarnation: Name,
    state: Mutex<Quarantine>,
    recent: Mutex<RecentCrashes>,
    peer_states: Mutex<HashMap<Name, PeerState>>,
    /// The checks of replicas within the last [`CHECK_RETENTION`].
    replica_checks: Mutex<Vec<ReplicaCheck>>,
    /// Whether anything is known of any request.
    active: AtomicBool,
    /// Notified when there is something to send or to judge.
    changed: Notify,
    /// Counts the rounds in which notices were sent.
    rounds: watch::Sender<u64>,
    fleet: Arc<Mutex<Fleet>>,
    replicas: Arc<dyn Replicas>,
    peers: Arc<dyn Peers>,
    tally: Arc<EntryMetrics>,
    started: Instant,
}

impl EntryQuarantine {
    /// Creates the quarantine of an incarnation of a node.
    pub(super) fn new(
        incarnation: Name,
        fleet: Arc<Mutex<Fleet>>,
        replicas: Arc<dyn Replicas>,
        peers: Arc<dyn Peers>,
        tally: Arc<EntryMetrics>,
    ) -> Self {
        let rule = QuarantineRule::UnlikelyCoincidence;
        Self {
            state: Mutex::new(Quarantine::with_rule(incarnation.clone(), 0, rule)),
            incarnation,
            recent: Mutex::default(),
            peer_states: Mutex::default(),
            replica_checks: Mutex::default(),
            active: AtomicBool::new(false),
            changed: Notify::new(),
            rounds: watch::Sender::new(0),
            fleet,
            replicas,
            peers,
            tally,
            started: Instant::now(),
        }
    }

    fn now(&self) -> Moment {
        self.started.elapsed()
    }

    fn is_active(&self) -> bool {
        self.active.load(Ordering::Relaxed)
    }

    /// Sets the other nodes, by incarnation. One that has started since the last call gets
    /// everything that is known, from the nodes that rank first for it.
    pub(super) fn set_peers(&self, nodes: &[(Name, SocketAddr)]) {
        let (now, active) = (self.now(), self.is_active());
        let change = self.state.lock().last_change();
        let mut states = self.peer_states.lock();
        let registered: HashSet<&Name> = nodes.iter().map(|(name, _)| name).collect();
        states.retain(|name, state| {
            let departed_at = state.departed_at.unwrap_or(now);
            state.departed_at = (!registered.contains(name)).then_some(departed_at);
            now.saturating_sub(departed_at) < DEPARTED_RETENTION || state.departed_at.is_none()
        });
        for (name, address) in nodes {
            if *name == self.incarnation || states.contains_key(name) {
                continue;
            }
            let state = PeerState {
                address: *address,
                acknowledged: if active { 0 } else { change },
                needs_all: active && self.tells(name, nodes),
                retry_at: Moment::ZERO,
                departed_at: None,
            };
            states.insert(name.clone(), state);
        }
        drop(states);
        if active {
            self.changed.notify_one();
        }
    }

    /// Whether this node is one of those that tell a node that has started what they know.
    fn tells(&self, started: &Name, nodes: &[(Name, SocketAddr)]) -> bool {
        let others = nodes.iter().map(|(name, _)| name).filter(|name| *name != started);
        let ranked = rendezvous_rank(started, others.map(|n| &**n).chain([&*self.incarnation]));
        ranked.iter().take(TELLING_NODES).any(|name| **name == *self.incarnation)
    }

    /// Applies notices of another node.
    pub(super) fn apply_notices(&self, notices: &[CrashNotice]) {
        let now = self.now();
        let mut state = self.state.lock();
        for notice in notices {
            if state.apply_notice(notice, now)
                && let CrashNotice::Quarantine { fingerprint, .. } = notice
            {
                let fingerprint = format!("{fingerprint:016x}");
                tracing::warn!(event = "quarantine_learned", fingerprint);
            }
        }
        drop(state);
        self.activate();
    }

    /// Judges suspects and sends notices while there are any. Runs for as long as the process.
    pub(super) async fn run(self: Arc<Self>) {
        loop {
            self.changed.notified().await;
            while self.is_active() {
                self.judge();
                self.send_notices().await;
                self.rounds.send_modify(|n| *n += 1);
                self.tick();
                tokio::select! {
                    () = self.changed.notified() => {}
                    () = tokio::time::sleep(REVIEW_INTERVAL) => {}
                }
            }
        }
    }

    fn activate(&self) {
        self.active.store(!self.state.lock().is_empty(), Ordering::Relaxed);
        self.changed.notify_one();
    }

    fn tick(&self) {
        let now = self.now();
        let mut state = self.state.lock();
        state.tick(now);
        self.recent.lock().tick(now);
        let (suspects, quarantined) = state.counts();
        self.tally.suspects.set(suspects as i64);
        self.tally.quarantined.set(quarantined as i64);
        self.active.store(!state.is_empty(), Ordering::Relaxed);
    }

    fn judge(&self) {
        let verdicts = {
            let mut state = self.state.lock();
            let replica_count = |service: &Name| {
                let fleet = self.fleet.lock();
                let zones = [true, false].map(|spot| fleet.count_by_zone(service, spot));
                zones.iter().flat_map(|zone| zone.values()).sum::<u32>() as usize
            };
            state.judge(&self.recent.lock(), replica_count, self.now())
        };
        for verdict in verdicts {
            tracing::warn!(
                event = "request_quarantined",
                fingerprint = format!("{:016x}", verdict.fingerprint),
                crashes = verdict.crashes,
                coincidence = verdict.coincidence
            );
        }
    }

    /// Sends each other node the notices that it has not acknowledged.
    async fn send_notices(&self) {
        let now = self.now();
        let (due, change) = {
            let state = self.state.lock();
            let states = self.peer_states.lock();
            let due = states.iter().filter(|(_, peer)| peer.retry_at <= now).map(|(name, peer)| {
                let notices = if peer.needs_all {
                    state.shared_notices(now)
                } else {
                    state.changes_after(peer.acknowledged, now)
                };
                (name.clone(), peer.address, notices)
            });
            let due: Vec<_> = due.filter(|(_, _, notices)| !notices.is_empty()).collect();
            (due, state.last_change())
        };
        join_all(due.into_iter().map(|(name, to, notices)| self.notify(name, to, notices, change)))
            .await;
    }

    /// Sends one node notices, of which the last is about the change with this number.
    async fn notify(&self, name: Name, to: SocketAddr, notices: Vec<CrashNotice>, change: u64) {
        for part in notices.chunks(MAX_NOTICES_PER_MESSAGE) {
            let request = PeerRequest::Crashes(part.to_vec());
            let purpose = request.purpose();
            if let Err(error) = self.peers.request(to, request, PEER_TIMEOUT).await {
                self.tally.count_peer_failure(purpose);
                tracing::info!(event = "crash_notice_not_sent", %to, %error);
                let mut states = self.peer_states.lock();
                if let Some(peer) = states.get_mut(&name) {
                    peer.retry_at = self.now() + PEER_RETRY_DELAY;
                }
                return;
            }
        }
        if let Some(peer) = self.peer_states.lock().get_mut(&name) {
            (peer.acknowledged, peer.needs_all) = (change, false);
        }
    }

    /// Whether every node that can be reached has acknowledged a change.
    fn is_acknowledged(&self, change: u64) -> bool {
        let now = self.now();
        let states = self.peer_states.lock();
        states.values().all(|peer| peer.acknowledged >= change || peer.retry_at > now)
    }

    /// Checks a replica at which an attempt broke off, and records the crash if there was one.
    /// `excused` is set once the request completes elsewhere.
    async fn check_broken(&self, broken: BrokenAttempt, excused: &Arc<AtomicBool>) {
        let BrokenAttempt { service, target, fingerprint, sent_at, broke_at } = broken;
        let crashed = self.replica_check(&target);
        if !*crashed.get_or_init(|| self.has_crashed(&target)).await {
            return;
        }
        let first = self.recent.lock().record(&service, &target.id, broke_at);
        if first {
            self.tally.replica_crashes.inc();
        }
        let innocent = excused.load(Ordering::Relaxed);
        let replica = target.id.clone();
        let attempt = InFlightAttempt { upstream: target.id, fingerprint, sent_at };
        let mut crashes = 0;
        if !innocent {
            let mut state = self.state.lock();
            state.record_crash(&attempt, broke_at, self.now());
            state.set_service(fingerprint, &service);
            if Arc::strong_count(excused) == 1 {
                // Nobody waits for the response any more, so the caller may send the request again.
                state.share(fingerprint);
            }
            crashes = state.crash_count(fingerprint);
        }
        tracing::warn!(
            event = "replica_crashed",
            %replica,
            %service,
            fingerprint = format!("{fingerprint:016x}"),
            ran_ms = broke_at.saturating_sub(sent_at).as_millis() as u64,
            completed_elsewhere = innocent,
            crashes
        );
        self.activate();
    }

    /// Returns the running or recent check of a replica, or a new one.
    fn replica_check(&self, target: &Target) -> Arc<OnceCell<bool>> {
        let now = self.now();
        let mut checks = self.replica_checks.lock();
        checks.retain(|check| now.saturating_sub(check.began_at) < CHECK_RETENTION);
        if let Some(known) = checks.iter().find(|check| check.target == *target) {
            return known.crashed.clone();
        }
        let crashed = Arc::<OnceCell<bool>>::default();
        let (target, began_at) = (target.clone(), now);
        checks.push(ReplicaCheck { target, began_at, crashed: crashed.clone() });
        crashed
    }

    /// Whether the process of a replica has ended. One that is cut off or silent is not known to
    /// have crashed, and one that drains or is not listed any more was stopped.
    async fn has_crashed(&self, target: &Target) -> bool {
        if !self.fleet.lock().accepts_work(&target.id) {
            return false;
        }
        let crashed = match self.replicas.probe(target).await {
            ProbeResult::Refused => true,
            ProbeResult::Unreachable => false,
            ProbeResult::Accepted => match self.replicas.status(target, STATUS_TIMEOUT).await {
                Ok(status) => status.is_other_incarnation(target),
                Err(CallError::WrongInstance) => true,
                Err(_) => false,
            },
        };
        crashed && self.fleet.lock().accepts_work(&target.id)
    }
}

/// An attempt whose connection broke.
#[derive(Debug)]
struct BrokenAttempt {
    service: Name,
    target: Target,
    fingerprint: u64,
    sent_at: Moment,
    broke_at: Moment,
}

/// What identifies a request, under whichever id it is sent.
#[derive(Debug, Clone)]
pub(super) struct RequestContent {
    /// The service of its route.
    pub service: Name,
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: Name,
    /// The whole body.
    pub body: Bytes,
}

impl RequestContent {
    /// The hash of the content.
    fn fingerprint(&self) -> u64 {
        let head = xxh3_64_with_seed(self.service.as_bytes(), 0);
        let head = xxh3_64_with_seed(self.method.as_str().as_bytes(), head);
        xxh3_64_with_seed(&self.body, xxh3_64_with_seed(self.path.as_bytes(), head))
    }
}

/// The quarantine as it applies to one request, over its attempts.
#[derive(Debug)]
pub(super) struct RequestCheck {
    quarantine: Arc<EntryQuarantine>,
    content: RequestContent,
    /// Computed once it is needed, which is not before something crashes.
    fingerprint: Option<u64>,
    /// Whether the request has completed, so that crashes that are still being checked don't count
    /// against it.
    excused: Arc<AtomicBool>,
    /// The checks of replicas at which attempts broke off.
    pending: Vec<JoinHandle<()>>,
}

impl RequestCheck {
    /// The checks of a request.
    pub(super) fn new(quarantine: &Arc<EntryQuarantine>, content: RequestContent) -> Self {
        Self {
            quarantine: quarantine.clone(),
            content,
            fingerprint: None,
            excused: Arc::default(),
            pending: Vec::new(),
        }
    }

    /// Checks of the same request that another task makes.
    pub(super) fn fork(&self) -> Self {
        Self {
            quarantine: self.quarantine.clone(),
            content: self.content.clone(),
            fingerprint: self.fingerprint,
            excused: self.excused.clone(),
            pending: Vec::new(),
        }
    }

    fn fingerprint(&mut self) -> u64 {
        *self.fingerprint.get_or_insert_with(|| self.content.fingerprint())
    }

    /// Refuses the request if it is quarantined.
    ///
    /// # Errors
    ///
    /// `Quarantined`, which is final.
    pub(super) fn check(&mut self) -> Result<(), Refusal> {
        if !self.quarantine.is_active() {
            return Ok(());
        }
        let fingerprint = self.fingerprint();
        let now = self.quarantine.now();
        match self.quarantine.state.lock().status(fingerprint, now) {
            FingerprintStatus::Clear | FingerprintStatus::Suspect(_) => Ok(()),
            FingerprintStatus::Quarantined(left) => {
                let detail = format!("refused for another {} s", left.as_secs());
                Err(Refusal::new(Kind::Quarantined, detail).with_retry_after(left))
            }
        }
    }

    /// Whether the request may run again on behalf of the same caller. After [`MIN_CRASHES`] it
    /// runs once for each request of its caller.
    pub(super) fn may_rerun(&mut self) -> bool {
        if !self.quarantine.is_active() {
            return true;
        }
        let fingerprint = self.fingerprint();
        self.quarantine.state.lock().crash_count(fingerprint) < MIN_CRASHES
    }

    /// How long the request should not run, because its crashes are about to be judged.
    pub(super) fn pause(&mut self) -> Duration {
        if !self.quarantine.is_active() {
            return Duration::ZERO;
        }
        let fingerprint = self.fingerprint();
        self.quarantine.state.lock().pause(fingerprint, self.quarantine.now())
    }

    /// Records that the connection of an attempt broke after this time. The replica is checked in
    /// the background.
    pub(super) fn broke(&mut self, service: &Name, target: &Target, ran: Duration) {
        let broke_at = self.quarantine.now();
        let broken = BrokenAttempt {
            service: service.clone(),
            target: target.clone(),
            fingerprint: self.fingerprint(),
            sent_at: broke_at.saturating_sub(ran),
            broke_at,
        };
        let (quarantine, excused) = (self.quarantine.clone(), self.excused.clone());
        self.pending
            .push(tokio::spawn(async move { quarantine.check_broken(broken, &excused).await }));
    }

    /// Records that the request has completed.
    pub(super) fn succeeded(&mut self) {
        self.excused.store(true, Ordering::Relaxed);
        self.pending.clear();
        if !self.quarantine.is_active() {
            return;
        }
        let fingerprint = self.fingerprint();
        let cleared = self
            .quarantine
            .state
            .lock()
            .record_success(fingerprint, self.quarantine.now())
            .is_some();
        if cleared {
            tracing::info!(event = "suspect_cleared", fingerprint = format!("{fingerprint:016x}"));
            self.quarantine.changed.notify_one();
        }
    }

    /// Records that a replica ran the request for this time and did not crash.
    pub(super) fn survived(&mut self, ran: Duration) {
        if self.quarantine.is_active() {
            let fingerprint = self.fingerprint();
            self.quarantine.state.lock().record_survival(fingerprint, ran, self.quarantine.now());
        }
    }

    /// Waits until the crashes of the request are known to the other nodes, for at most
    /// [`NOTICE_WAIT`]: once the caller has its response, it may send the request to any of them.
    pub(super) async fn notify_peers(&mut self) {
        if self.pending.is_empty() {
            return;
        }
        let (pending, fingerprint) = (std::mem::take(&mut self.pending), self.fingerprint());
        let quarantine = &self.quarantine;
        let notified = async {
            join_all(pending).await;
            let change = {
                let mut state = quarantine.state.lock();
                if state.crash_count(fingerprint) == 0 {
                    return;
                }
                state.share(fingerprint);
                state.last_change()
            };
            let mut rounds = quarantine.rounds.subscribe();
            quarantine.changed.notify_one();
            while !quarantine.is_acknowledged(change) {
                if rounds.changed().await.is_err() {
                    return;
                }
            }
        };
        if tokio::time::timeout(NOTICE_WAIT, notified).await.is_err() {
            let fingerprint = format!("{fingerprint:016x}");
            tracing::info!(event = "crash_notice_late", fingerprint);
        }
    }
}

impl Drop for RequestCheck {
    /// Reports the crashes of a request that was given up, as when its caller disconnected. It may
    /// come again at any node.
    fn drop(&mut self) {
        if !self.pending.is_empty() && !self.excused.load(Ordering::Relaxed) {
            let fingerprint = self.fingerprint();
            self.quarantine.state.lock().share(fingerprint);
            self.quarantine.changed.notify_one();
        }
    }
}
