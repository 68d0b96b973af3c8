//! The limit on the runs of a request after its third crash, over nodes that ask at the same time,
//! lose messages and end.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::decide::quarantine::{
    CrashId, CrashNotice, InFlightAttempt, Quarantine, QuarantineRule, RerunDecision,
};
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use rand::{Rng, SeedableRng};

/// The request.
const FINGERPRINT: u64 = 1;
/// The most runs after the third crash, and the most of them that are sent later than
/// [`LATE_TIME`] after it.
const MAX_RERUNS: usize = 3;
const MAX_LATE_RERUNS: usize = 2;
const LATE_TIME: Duration = Duration::from_millis(3_000);
/// How long a node waits for the replies of others.
const ASK_TIME: Duration = Duration::from_millis(200);
/// How often some node wants to run the request in one case.
const WISHES: usize = 30;

/// A node, and the run that it asks others about.
struct Node {
    quarantine: Quarantine,
    asking: Option<Question>,
    alive: bool,
}

/// A run that is asked for.
struct Question {
    id: CrashId,
    since: Duration,
    /// The nodes that have not been asked.
    unasked: Vec<usize>,
    /// The nodes that know the run.
    known: usize,
}

struct World {
    nodes: Vec<Node>,
    rng: SmallRng,
    now: Duration,
    third: Duration,
    /// When each run began.
    runs: Vec<Duration>,
    loss: f64,
    deaths: usize,
}

impl World {
    /// Nodes that all know of three crashes.
    fn new(seed: u64, count: usize, loss: f64) -> Self {
        let node = |n: usize| Node {
            quarantine: Quarantine::with_rule(
                format!("n{n}").into(),
                0,
                QuarantineRule::UnlikelyCoincidence,
            ),
            asking: None,
            alive: true,
        };
        let (rng, now) = (SmallRng::seed_from_u64(seed), Duration::from_secs(100));
        let nodes = (0..count).map(node).collect();
        let deaths = (count - 1) / 2;
        let mut world = Self { nodes, rng, now, third: now, runs: Vec::new(), loss, deaths };
        for crash in 0..3 {
            world.crash(0, crash);
        }
        world.third = world.now;
        let notices = world.nodes[0].quarantine.notices_of(FINGERPRINT, world.now);
        for node in &mut world.nodes[1..] {
            apply(node, &notices, world.now);
        }
        world
    }

    /// A run at a node crashes its replica.
    fn crash(&mut self, node: usize, replica: usize) -> CrashNotice {
        let sent_at = self.now;
        self.now += Duration::from_millis(100);
        let upstream: Name = format!("r{replica}").into();
        let attempt = InFlightAttempt { upstream, fingerprint: FINGERPRINT, sent_at };
        self.nodes[node].quarantine.record_crash(&attempt, self.now, self.now)
    }

    /// A node wants to run the request.
    fn wish(&mut self, at: usize) {
        let count = self.nodes.len();
        let mut unasked: Vec<usize> = (0..count).filter(|n| *n != at).collect();
        unasked.shuffle(&mut self.rng);
        let node = &mut self.nodes[at];
        if !node.alive || node.asking.is_some() {
            return;
        }
        if let RerunDecision::Granted(id) = node.quarantine.begin_rerun(FINGERPRINT, self.now) {
            node.asking = Some(Question { id, since: self.now, unasked, known: 1 });
        }
    }

    /// A node asks the next one, or ends its question once it has asked all or long enough.
    fn go_on(&mut self, at: usize) {
        let Some(mut question) = self.nodes[at].asking.take() else { return };
        let in_time = self.now <= question.since + ASK_TIME;
        if let Some(peer) = question.unasked.pop().filter(|_| in_time) {
            let notices = self.nodes[at].quarantine.notices_of(FINGERPRINT, self.now);
            let [sent, replied] = [0; 2].map(|_| !self.rng.random_bool(self.loss));
            if sent && self.nodes[peer].alive {
                apply(&mut self.nodes[peer], &notices, self.now);
                if replied {
                    let reply = self.nodes[peer].quarantine.notices_of(FINGERPRINT, self.now);
                    apply(&mut self.nodes[at], &reply, self.now);
                    question.known += 1;
                }
            }
            self.nodes[at].asking = Some(question);
            return;
        }
        let (majority, now) = (self.nodes.len() / 2 + 1, self.now);
        let quarantine = &mut self.nodes[at].quarantine;
        if question.known < majority || !quarantine.confirm_rerun(FINGERPRINT, &question.id, now) {
            quarantine.withdraw_rerun(FINGERPRINT, &question.id, now);
            return;
        }
        self.runs.push(now);
        if self.deaths > 0 && self.rng.random_bool(0.3) {
            // It ends with all that it knows.
            self.deaths -= 1;
            self.nodes[at].alive = false;
        } else {
            let replica = 3 + self.runs.len();
            self.crash(at, replica);
        }
    }
}

fn apply(node: &mut Node, notices: &[CrashNotice], now: Duration) {
    for notice in notices {
        node.quarantine.apply_notice(notice, now);
    }
}

proptest! {
    /// Guards against more runs than allowed, whatever meets what.
    #[test]
    fn no_more_than_three_runs_follow_the_third_crash(
        seed: u64,
        count in 3_usize..=7,
        loss in 0.0_f64..0.5,
        pace_ms in 1_u64..2_000,
    ) {
        let mut world = World::new(seed, count, loss);
        for _ in 0..WISHES {
            let at = world.rng.random_range(0..count);
            world.wish(at);
            for _ in 0..world.rng.random_range(0..2 * count) {
                let at = world.rng.random_range(0..count);
                world.go_on(at);
                world.now += Duration::from_millis(world.rng.random_range(0..3));
            }
            world.now += Duration::from_millis(world.rng.random_range(0..=pace_ms));
        }
        let late_at = world.third + LATE_TIME;
        let late = world.runs.iter().filter(|at| **at > late_at).count();
        prop_assert!(world.runs.len() <= MAX_RERUNS, "{:?}", world.runs);
        prop_assert!(late <= MAX_LATE_RERUNS, "{late} late: {:?}", world.runs);
    }
}

/// Guards against a limit that no run ever passes.
#[test]
fn a_request_gets_all_three_runs_if_the_nodes_reach_each_other() {
    let mut world = World::new(1, 5, 0.0);
    world.deaths = 0;
    for number in 0..20 {
        world.wish(number % 5);
        (0..5).for_each(|_| world.go_on(number % 5));
        world.now += Duration::from_millis(if number == 0 { 1_200 } else { 700 });
    }
    assert_eq!(world.runs.len(), MAX_RERUNS, "{:?}", world.runs);
}

/// Guards against a completed request that stays limited.
#[test]
fn a_completion_ends_the_limit_at_every_node() {
    let mut world = World::new(1, 3, 0.0);
    world.wish(1);
    let now = world.now;
    assert!(world.nodes[1].quarantine.record_success(FINGERPRINT, now).is_some());
    let notices = world.nodes[1].quarantine.notices_of(FINGERPRINT, now);
    for node in &mut world.nodes {
        apply(node, &notices, now);
        let decision = node.quarantine.begin_rerun(FINGERPRINT, now);
        assert_eq!(decision, RerunDecision::Unlimited);
    }
}
