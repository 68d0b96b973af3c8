//! Whether a node calls a service directly or through another node.
//!
//! Load pattern: the service refuses some nodes, or they are partitioned from it, while
//! others reach it. The jobs of such a node would stop until its lease ends and others
//! take over: three seconds and more of a step. Where the service is unreachable for all nodes,
//! asking others would double every call for nothing, and every task that retries would make
//! its own call: so one probe at a time decides for all tasks of a node.

use std::time::Duration;

use crate::Moment;

/// Time from the first failure until the first direct probe: one lost answer is no outage.
const FIRST_PROBE_DELAY: Duration = Duration::from_millis(300);
/// Longest time between two direct probes; each costs a call.
const MAX_DIRECT_PROBE_INTERVAL: Duration = Duration::from_millis(1_200);
/// How long peers are not asked after none of them could help: the service is then taken to be
/// down for all nodes. After this time one call tries the peers again.
const PEER_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Time between two probes by any of the nodes while the service is down for all: a trainer's
/// step is held up for half of it on average, and each probe costs a call. The node that
/// reaches the service again notifies the others.
const FLEET_PROBE_INTERVAL: Duration = Duration::from_millis(60);
/// Shortest time between two probes of one node, where there are few nodes.
const MIN_NODE_PROBE_INTERVAL: Duration = Duration::from_millis(150);
/// Longest time between two probes of one node, where there are many. The node that reaches the
/// service again notifies the others, and each node asks two others every [`PEER_RETRY_DELAY`];
/// only a node that is cut off from all others waits this long. With 2 s, 250 nodes made 125
/// probes a second.
const MAX_NODE_PROBE_INTERVAL: Duration = Duration::from_secs(8);

/// Returns the time between two probes of one node where `nodes` nodes probe. `draw` is a
/// random number that keeps the nodes apart: the time varies by a quarter in both directions.
pub fn probe_interval(nodes: usize, draw: u32) -> Duration {
    let mean = (FLEET_PROBE_INTERVAL * nodes as u32)
        .clamp(MIN_NODE_PROBE_INTERVAL, MAX_NODE_PROBE_INTERVAL);
    mean.mul_f64(0.75 + 0.5 * fraction(draw))
}

/// Maps a random number to a fraction from 0 up to but not including 1.
fn fraction(draw: u32) -> f64 {
    f64::from(draw % 1_000) / 1_000.0
}

/// The path that one call takes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallPath {
    /// Direct; another node may help if the call fails.
    Direct,
    /// Direct, and no other node is asked.
    DirectOnly,
    /// Direct with a short timeout, to check whether the service can be reached again.
    DirectProbe,
    /// Through another node.
    ViaPeer,
    /// No call: the service is down for all nodes, and a probe was made a moment ago.
    NoCall,
}

/// The schedule of direct probes while direct calls fail.
#[derive(Debug, Clone, Copy)]
struct DirectOutage {
    /// When the next probe is due.
    next_probe: Moment,
    /// Time between the last failure and the next probe.
    interval: Duration,
}

/// What a node knows about its direct path to a service and about help from its peers.
#[derive(Debug, Clone, Copy, Default)]
pub struct FallbackState {
    /// Present while direct calls fail.
    outage: Option<DirectOutage>,
    /// Until when peers are not asked; none once a peer has helped.
    peers_paused: Option<Moment>,
    /// When the next probe is due while no peer can help.
    next_probe: Option<Moment>,
    /// Time between two such probes.
    probe_interval: Option<Duration>,
    /// Time from the start of an outage until its first such probe.
    phase: Duration,
}

impl FallbackState {
    /// Chooses the path of a call. Only a `repeatable` call may be used to probe the direct
    /// path.
    pub fn choose_path(&mut self, repeatable: bool, now: Moment) -> CallPath {
        let Some(outage) = self.outage else { return CallPath::Direct };
        match self.peers_paused {
            Some(until) if now < until => self.probe_alone(now),
            Some(_) => {
                self.peers_failed(now);
                CallPath::ViaPeer
            }
            None if repeatable && now >= outage.next_probe => CallPath::DirectProbe,
            None => CallPath::ViaPeer,
        }
    }

    /// Decides whether this call is the next probe while no peer can help.
    fn probe_alone(&mut self, now: Moment) -> CallPath {
        if self.next_probe.is_some_and(|at| now < at) {
            return CallPath::NoCall;
        }
        self.next_probe = Some(now + self.probe_interval.unwrap_or(MIN_NODE_PROBE_INTERVAL));
        CallPath::DirectOnly
    }

    /// Sets the time between two probes while no peer can help, and by `draw` the offset of the
    /// first one. All nodes lose the service at the same moment: without offsets of their own,
    /// 250 nodes made no probe for six seconds, and detected the recovery two seconds late.
    pub fn set_probe_interval(&mut self, interval: Duration, draw: u32) {
        self.probe_interval = Some(interval);
        self.phase = interval.mul_f64(fraction(draw));
    }

    /// Whether direct calls work, as far as is known.
    pub fn direct_works(&self) -> bool {
        self.outage.is_none()
    }

    /// Whether the service is down for all nodes, as far as is known.
    pub fn is_down_for_all(&self) -> bool {
        self.outage.is_some() && self.peers_paused.is_some()
    }

    /// Records that the service answered a direct call. Returns true if direct calls had failed
    /// before.
    pub fn direct_answered(&mut self) -> bool {
        self.next_probe = None;
        self.outage.take().is_some()
    }

    /// Handles a notice of another node that the service answers again: the next call is
    /// direct and shows whether it does so here, without a separate probe.
    pub fn on_recovery_notice(&mut self) {
        *self = Self { probe_interval: self.probe_interval, phase: self.phase, ..Self::default() };
    }

    /// Records that a direct call failed. Returns true if direct calls had worked before.
    pub fn direct_failed(&mut self, now: Moment) -> bool {
        let interval = self.outage.map_or(FIRST_PROBE_DELAY, |outage| {
            (outage.interval * 2).min(MAX_DIRECT_PROBE_INTERVAL)
        });
        let new = self.outage.is_none();
        if new {
            self.next_probe = self.probe_interval.map(|_| now + self.phase);
        }
        self.outage = Some(DirectOutage { next_probe: now + interval, interval });
        new
    }

    /// Records that no peer could help.
    pub fn peers_failed(&mut self, now: Moment) {
        self.peers_paused = Some(now + PEER_RETRY_DELAY);
    }

    /// Records that a peer helped. Returns true if no peer could before.
    pub fn peer_answered(&mut self) -> bool {
        self.next_probe = None;
        self.peers_paused.take().is_some()
    }
}
