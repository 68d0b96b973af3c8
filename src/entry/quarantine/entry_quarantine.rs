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

use futures_util::future::join_all;
use parking_lot::Mutex;
use tokio::sync::{Notify, watch};
use tokio::time::Instant;

use super::replica_checks::ReplicaChecks;
use crate::decide::quarantine::{CrashNotice, Quarantine, QuarantineRule, RecentCrashes};
use crate::decide::{Fleet, rendezvous_rank};
use crate::edge::replica::Replicas;
use crate::entry::peer::{PeerRequest, Peers};
use crate::metrics::EntryMetrics;
use crate::{Moment, Name};

/// How long another node may take to acknowledge notices.
pub(super) const PEER_TIMEOUT: Duration = Duration::from_millis(200);
/// How long a node that did not acknowledge notices gets none.
const PEER_RETRY_DELAY: Duration = Duration::from_millis(1_000);
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
pub(super) struct PeerState {
    pub address: SocketAddr,
    /// The last own change that it acknowledged.
    acknowledged: u64,
    /// Whether it started lately and gets everything that this node knows.
    needs_all: bool,
    retry_at: Moment,
    pub departed_at: Option<Moment>,
}

/// The quarantine of an entry node.
#[derive(Debug)]
pub(in crate::entry) struct EntryQuarantine {
    pub(super) incarnation: Name,
    pub(super) state: Mutex<Quarantine>,
    pub(super) recent: Mutex<RecentCrashes>,
    pub(super) peer_states: Mutex<HashMap<Name, PeerState>>,
    pub(super) checks: ReplicaChecks,
    /// Whether anything is known of any request.
    active: AtomicBool,
    /// Notified when there is something to send or to judge.
    pub(super) changed: Notify,
    /// Counts the rounds in which notices were sent.
    pub(super) rounds: watch::Sender<u64>,
    /// Counts the changes of what is known of any request.
    pub(super) updates: watch::Sender<u64>,
    /// The keys of records in the store that have expired.
    pub(super) expired: Mutex<HashSet<Name>>,
    fleet: Arc<Mutex<Fleet>>,
    pub(super) peers: Arc<dyn Peers>,
    pub(super) tally: Arc<EntryMetrics>,
    started: Instant,
}

impl EntryQuarantine {
    /// Creates the quarantine of an incarnation of a node.
    pub(in crate::entry) fn new(
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
            checks: ReplicaChecks::new(replicas, fleet.clone()),
            active: AtomicBool::new(false),
            changed: Notify::new(),
            rounds: watch::Sender::new(0),
            updates: watch::Sender::new(0),
            expired: Mutex::default(),
            fleet,
            peers,
            tally,
            started: Instant::now(),
        }
    }

    pub(super) fn now(&self) -> Moment {
        self.started.elapsed()
    }

    pub(super) fn is_active(&self) -> bool {
        self.active.load(Ordering::Relaxed)
    }

    /// Sets the other nodes, by incarnation. One that has started since the last call gets
    /// everything that is known, from the nodes that rank first for it.
    pub(in crate::entry) fn set_peers(&self, nodes: &[(Name, SocketAddr)]) {
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
    pub(in crate::entry) fn apply_notices(&self, notices: &[CrashNotice]) {
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
    pub(in crate::entry) async fn run(self: Arc<Self>) {
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

    /// Sends what has changed, and wakes requests that wait for it.
    pub(super) fn activate(&self) {
        self.active.store(!self.state.lock().is_empty(), Ordering::Relaxed);
        self.changed.notify_one();
        self.updates.send_modify(|n| *n += 1);
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
                reason = "no_coincidence",
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
    pub(super) fn is_acknowledged(&self, change: u64) -> bool {
        let now = self.now();
        let states = self.peer_states.lock();
        states.values().all(|peer| peer.acknowledged >= change || peer.retry_at > now)
    }
}
