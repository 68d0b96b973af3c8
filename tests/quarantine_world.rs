//! Quarantine without sockets: a simulation of nodes, upstreams and requests in steps of ten
//! milliseconds.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;
use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::decide::quarantine::{
    CrashNotice, FingerprintStatus, InFlightAttempt, Quarantine, TrialLocks,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};
use rand::{Rng, SeedableRng};

/// The time that one step of the simulation takes.
const STEP: Duration = Duration::from_millis(10);
const NODE_COUNT: usize = 3;
const UPSTREAM_COUNT: usize = 5;
/// How long a crashed upstream is down.
const DOWN_TIME: Duration = Duration::from_secs(4);
/// Fingerprint of the request that crashes its upstream, and of its copies.
const POISON: u64 = 0;

/// The state of a request.
#[derive(Debug, Clone)]
enum State {
    /// It is sent to an upstream at this time or later.
    Waiting(Duration),
    /// An upstream runs it. `trial` is how long it must run for its trial to succeed, if it has
    /// one.
    Running { attempt: InFlightAttempt, trial: Option<Duration>, trial_id: u64 },
    /// It is complete, or its caller gave up.
    Done,
}

/// A request of a caller.
#[derive(Debug, Clone)]
struct Request {
    /// The fingerprint of its body.
    content: u64,
    /// The node that handles it.
    node: usize,
    /// Number of retries that its caller has left.
    retries: u32,
    /// Running time that the request still needs.
    remaining: Duration,
    state: State,
}

/// The simulated nodes, upstreams and requests.
#[derive(Debug)]
struct World {
    rng: SmallRng,
    now: Duration,
    nodes: Vec<Quarantine>,
    trials: TrialLocks,
    /// The time until which each upstream is down.
    down_until: Vec<Duration>,
    requests: Vec<Request>,
    /// The notices in transit: when each arrives, and at which node.
    notices: Vec<(Duration, usize, CrashNotice)>,
    /// How long the crashing request runs before its upstream crashes.
    crash_after: Duration,
    /// The maximum delay of a notice, in milliseconds.
    max_delay_ms: u64,
    crashes: usize,
    refused_harmless: BTreeSet<u64>,
    /// The id of the latest attempt, which identifies its trial.
    last_trial_id: u64,
}

impl World {
    fn new(
        seed: u64,
        crash_after_ms: u64,
        max_delay_ms: u64,
        copies: usize,
        harmless: &[(u64, u64)],
    ) -> Self {
        let name = |n: usize| Name::from(format!("n{n}"));
        let request = |content, node, retries, at_ms: u64, remaining_ms: u64| Request {
            content,
            node,
            retries,
            remaining: Duration::from_millis(remaining_ms),
            state: State::Waiting(Duration::from_millis(at_ms)),
        };
        let poison = (0..copies).map(|c| request(POISON, c % NODE_COUNT, 6, 700, u64::MAX >> 1));
        let others = harmless.iter().enumerate();
        let others =
            others.map(|(n, (at, left))| request(1 + n as u64, n % NODE_COUNT, 0, *at, *left));
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            nodes: (0..NODE_COUNT).map(|n| Quarantine::new(name(n), n as u64 * 1_000)).collect(),
            trials: TrialLocks::default(),
            down_until: vec![Duration::ZERO; UPSTREAM_COUNT],
            requests: poison.chain(others).collect(),
            notices: vec![],
            crash_after: Duration::from_millis(crash_after_ms),
            max_delay_ms,
            crashes: 0,
            refused_harmless: BTreeSet::new(),
            last_trial_id: 0,
        }
    }

    fn run(&mut self) {
        while self.now < Duration::from_secs(240) && !self.all_done() {
            self.now += STEP;
            self.deliver_notices();
            let mut order: Vec<usize> = (0..self.requests.len()).collect();
            order.shuffle(&mut self.rng);
            for index in order {
                match self.requests[index].state.clone() {
                    State::Waiting(at) if at <= self.now => self.start(index),
                    State::Waiting(_) | State::Done => {}
                    State::Running { attempt, trial, trial_id } => {
                        self.advance(index, &attempt, trial, trial_id);
                    }
                }
            }
        }
    }

    /// Returns whether no request waits or runs.
    fn all_done(&self) -> bool {
        self.requests.iter().all(|r| matches!(r.state, State::Done))
    }

    /// Delivers the notices that arrive now.
    fn deliver_notices(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.notices).into_iter().partition(|n| n.0 <= now);
        self.notices = later;
        let due: Vec<(Duration, usize, CrashNotice)> = due;
        for (_, node, notice) in due {
            self.nodes[node].apply_notice(&notice, now);
        }
    }

    /// Sends a notice to the other nodes.
    fn broadcast(&mut self, from: usize, notice: &CrashNotice) {
        for node in (0..NODE_COUNT).filter(|n| *n != from) {
            let delay = Duration::from_millis(self.rng.random_range(0..=self.max_delay_ms));
            self.notices.push((self.now + delay, node, notice.clone()));
        }
    }

    /// Sends a request to an upstream, if one is up and the quarantine allows it.
    fn start(&mut self, index: usize) {
        let Request { content, node, .. } = self.requests[index];
        let up: Vec<usize> =
            (0..UPSTREAM_COUNT).filter(|u| self.down_until[*u] <= self.now).collect();
        let Some(upstream) = up.choose(&mut self.rng) else { return };
        let upstream = Name::from(format!("u{upstream}"));
        self.last_trial_id += 1;
        let trial_id = self.last_trial_id;
        let trial = match self.nodes[node].status(content, self.now) {
            FingerprintStatus::Clear => None,
            FingerprintStatus::Suspect(length) => {
                let until = self.now + Duration::from_secs(65);
                let has_trial = self.requests.iter().any(|r| {
                    let on_trial = matches!(&r.state, State::Running { trial: Some(_), .. });
                    r.content == content && r.node == node && on_trial
                });
                if has_trial || !self.trials.acquire(&upstream, trial_id, until, self.now) {
                    return;
                }
                Some(length)
            }
            FingerprintStatus::Quarantined(_) => return self.refuse(index),
        };
        let attempt = InFlightAttempt { upstream, fingerprint: content, sent_at: self.now };
        self.requests[index].state = State::Running { attempt, trial, trial_id };
    }

    /// Refuses a request; its caller retries through the next node.
    fn refuse(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if request.content != POISON {
            self.refused_harmless.insert(request.content);
        }
        if request.retries == 0 {
            request.state = State::Done;
            return;
        }
        request.retries -= 1;
        request.node = (request.node + 1) % NODE_COUNT;
        request.state = State::Waiting(self.now + Duration::from_millis(200));
    }

    /// Advances a running request by one step.
    fn advance(
        &mut self,
        index: usize,
        attempt: &InFlightAttempt,
        trial: Option<Duration>,
        trial_id: u64,
    ) {
        let ran = self.now - attempt.sent_at;
        let request = &mut self.requests[index];
        if request.content == POISON && ran >= self.crash_after {
            return self.crash(&attempt.upstream);
        }
        request.remaining = request.remaining.saturating_sub(STEP);
        let done = request.remaining.is_zero();
        if done {
            request.state = State::Done;
        }
        if trial.is_some_and(|length| ran >= length) || (trial.is_some() && done) {
            self.trials.release(&attempt.upstream, trial_id);
            let node = self.requests[index].node;
            if let State::Running { trial, .. } = &mut self.requests[index].state {
                *trial = None;
            }
            if let Some(notice) = self.nodes[node].record_success(attempt.fingerprint, self.now) {
                self.broadcast(node, &notice);
            }
        }
    }

    /// Crashes an upstream with all requests that it runs.
    fn crash(&mut self, upstream: &Name) {
        self.crashes += 1;
        let number: usize = upstream[1..].parse().unwrap();
        self.down_until[number] = self.now + DOWN_TIME;
        for index in 0..self.requests.len() {
            let request = &mut self.requests[index];
            let State::Running { attempt, trial_id, .. } = request.state.clone() else { continue };
            if attempt.upstream != *upstream {
                continue;
            }
            request.state = State::Waiting(self.now + Duration::from_millis(100));
            let node = request.node;
            self.trials.release(upstream, trial_id);
            let notice = self.nodes[node].record_crash(&attempt, self.now, self.now);
            self.broadcast(node, &notice);
        }
    }
}

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(12);
    ProptestConfig { cases: 300, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

fn harmless() -> impl Strategy<Value = Vec<(u64, u64)>> {
    prop::collection::vec((0_u64..4_000, 100_u64..6_000), 0..24)
}

proptest! {
    #![proptest_config(config())]

    /// One request that crashes its upstream after some time, retried six times through all
    /// nodes, among harmless ones that share the upstreams, with notices that are delayed by up
    /// to 90 ms: two upstreams crash, every harmless request completes, and none is refused.
    #[test]
    fn two_upstreams_crash_and_no_harmless_request_is_refused(
        seed in any::<u64>(),
        crash_after in 0_u64..3_000,
        max_delay_ms in 0_u64..90,
        harmless in harmless(),
    ) {
        let mut world = World::new(seed, crash_after, max_delay_ms, 1, &harmless);
        world.run();
        prop_assert_eq!(world.crashes, 2);
        prop_assert_eq!(&world.refused_harmless, &BTreeSet::new());
        prop_assert!(world.all_done(), "{:#?}", world.requests);
    }

    /// Several copies are in flight when the first crash is seen: at most one upstream crashes
    /// for each copy, and one more for each node.
    #[test]
    fn crashes_by_copies_are_bounded(
        seed in any::<u64>(),
        crash_after in 0_u64..3_000,
        max_delay_ms in 0_u64..90,
        copies in 2_usize..6,
    ) {
        let mut world = World::new(seed, crash_after, max_delay_ms, copies, &[]);
        world.run();
        prop_assert!(world.crashes <= copies + NODE_COUNT, "{} crashes", world.crashes);
        prop_assert!(world.all_done());
    }
}

fn attempt(upstream: &str, fingerprint: u64, sent_at_ms: u64) -> InFlightAttempt {
    InFlightAttempt {
        upstream: upstream.into(),
        fingerprint,
        sent_at: Duration::from_millis(sent_at_ms),
    }
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Many requests break off at slightly different times in one crash that two nodes see: it counts
/// as one. The next crash of the same upstream counts as another.
#[test]
fn one_crash_is_counted_once() {
    let mut a = Quarantine::new("a".into(), 7);
    let mut b = Quarantine::new("b".into(), 7);
    let first = a.record_crash(&attempt("u1", 1, 100), ms(500), ms(600));
    a.record_crash(&attempt("u1", 1, 200), ms(510), ms(610));
    b.record_crash(&attempt("u1", 1, 300), ms(505), ms(605));
    assert!(!b.apply_notice(&first, ms(620)));
    assert!(matches!(a.status(1, ms(700)), FingerprintStatus::Suspect(_)));
    assert!(matches!(b.status(1, ms(700)), FingerprintStatus::Suspect(_)));
    a.record_crash(&attempt("u1", 1, 800), ms(900), ms(1_000));
    assert!(matches!(a.status(1, ms(1_000)), FingerprintStatus::Quarantined(_)));
}

/// Notices arrive out of order, and the clear notice may be lost: a crash of an earlier epoch is
/// ignored once a later epoch is known.
#[test]
fn late_notices_are_ignored() {
    let mut a = Quarantine::new("a".into(), 1);
    let crash = a.record_crash(&attempt("u1", 1, 0), ms(10), ms(10));
    let clear = a.record_success(1, ms(500)).unwrap();
    let second = a.record_crash(&attempt("u2", 1, 600), ms(700), ms(700));
    assert!(matches!(a.status(1, ms(800)), FingerprintStatus::Suspect(_)));
    let orders: [&[&CrashNotice]; 5] = [
        &[&second, &clear, &crash],
        &[&clear, &second, &crash],
        &[&crash, &second, &clear],
        &[&crash, &second],
        &[&second, &crash],
    ];
    for order in orders {
        let mut b = Quarantine::new("b".into(), 1);
        for notice in order {
            b.apply_notice(notice, ms(800));
        }
        assert!(matches!(b.status(1, ms(800)), FingerprintStatus::Suspect(_)), "{order:?}");
    }
}

/// A quarantine expires; a suspect expires earlier; what one node sends to another keeps its age.
#[test]
fn quarantines_and_suspects_expire() {
    let mut a = Quarantine::new("a".into(), 1);
    a.record_crash(&attempt("u1", 1, 0), ms(10), ms(10));
    a.record_crash(&attempt("u2", 1, 20), ms(30), ms(30));
    a.record_crash(&attempt("u2", 2, 20), ms(30), ms(30));
    assert_eq!(a.counts(), (1, 1));
    assert_eq!(a.record_success(1, ms(40)), None);
    let later = ms(601_000);
    let mut b = Quarantine::new("b".into(), 1);
    a.notices(later).iter().for_each(|notice| {
        b.apply_notice(notice, later);
    });
    assert_eq!(b.status(2, later), FingerprintStatus::Clear);
    assert!(matches!(b.status(1, later), FingerprintStatus::Quarantined(_)));
    assert_eq!(b.status(1, ms(3_600_100)), FingerprintStatus::Clear);
    a.tick(ms(3_600_100));
    assert_eq!(a.counts(), (0, 0));
}

/// A rack of upstreams crashes with thousands of requests in flight: memory is bounded, and
/// quarantined requests are kept longer than suspects.
#[test]
fn memory_is_bounded() {
    let mut a = Quarantine::new("a".into(), 1);
    a.record_crash(&attempt("u1", 0, 0), ms(10), ms(10));
    a.record_crash(&attempt("u2", 0, 20), ms(30), ms(30));
    for content in 1..20_000 {
        a.record_crash(&attempt("u3", content, 40), ms(50), ms(50 + content));
    }
    let (suspects, quarantined) = a.counts();
    assert_eq!(quarantined, 1);
    assert!(suspects < mulberrycourse::decide::quarantine::MAX_FINGERPRINTS);
}
