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

const STEP: Duration = Duration::from_millis(10);
const NODES: usize = 3;
const UPSTREAMS: usize = 5;
/// How long a crashed upstream is down.
const DOWN: Duration = Duration::from_secs(4);
/// Fingerprint of the request that crashes its upstream, and of its copies.
const POISON: u64 = 0;

#[derive(Debug, Clone)]
enum State {
    Waiting(Duration),
    Running { flight: InFlightAttempt, trial: Option<Duration>, holder: u64 },
    Done,
}

#[derive(Debug, Clone)]
struct Request {
    content: u64,
    node: usize,
    /// Number of retries that its caller has left.
    retries: u32,
    /// Running time that the request still needs.
    left: Duration,
    state: State,
}

#[derive(Debug)]
struct World {
    rng: SmallRng,
    now: Duration,
    nodes: Vec<Quarantine>,
    trials: TrialLocks,
    down: Vec<Duration>,
    requests: Vec<Request>,
    notices: Vec<(Duration, usize, CrashNotice)>,
    /// How long the crashing request runs before its upstream crashes.
    crash_after: Duration,
    delay: u64,
    crashes: usize,
    refused_harmless: BTreeSet<u64>,
    holders: u64,
}

impl World {
    fn new(
        seed: u64,
        crash_after: u64,
        delay: u64,
        copies: usize,
        harmless: &[(u64, u64)],
    ) -> Self {
        let name = |n: usize| Name::from(format!("n{n}"));
        let request = |content, node, retries, at: u64, left: u64| Request {
            content,
            node,
            retries,
            left: Duration::from_millis(left),
            state: State::Waiting(Duration::from_millis(at)),
        };
        let poison = (0..copies).map(|c| request(POISON, c % NODES, 6, 700, u64::MAX >> 1));
        let others = harmless.iter().enumerate();
        let others = others.map(|(n, (at, left))| request(1 + n as u64, n % NODES, 0, *at, *left));
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            nodes: (0..NODES).map(|n| Quarantine::new(name(n), n as u64 * 1_000)).collect(),
            trials: TrialLocks::default(),
            down: vec![Duration::ZERO; UPSTREAMS],
            requests: poison.chain(others).collect(),
            notices: vec![],
            crash_after: Duration::from_millis(crash_after),
            delay,
            crashes: 0,
            refused_harmless: BTreeSet::new(),
            holders: 0,
        }
    }

    fn run(&mut self) {
        while self.now < Duration::from_secs(240) && !self.over() {
            self.now += STEP;
            self.deliver();
            let mut order: Vec<usize> = (0..self.requests.len()).collect();
            order.shuffle(&mut self.rng);
            for index in order {
                match self.requests[index].state.clone() {
                    State::Waiting(at) if at <= self.now => self.start(index),
                    State::Waiting(_) | State::Done => {}
                    State::Running { flight, trial, holder } => {
                        self.advance(index, &flight, trial, holder);
                    }
                }
            }
        }
    }

    fn over(&self) -> bool {
        self.requests.iter().all(|r| matches!(r.state, State::Done))
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, later) = std::mem::take(&mut self.notices).into_iter().partition(|n| n.0 <= now);
        self.notices = later;
        let due: Vec<(Duration, usize, CrashNotice)> = due;
        for (_, node, notice) in due {
            self.nodes[node].apply_notice(&notice, now);
        }
    }

    fn spread(&mut self, from: usize, notice: &CrashNotice) {
        for node in (0..NODES).filter(|n| *n != from) {
            let delay = Duration::from_millis(self.rng.random_range(0..=self.delay));
            self.notices.push((self.now + delay, node, notice.clone()));
        }
    }

    fn start(&mut self, index: usize) {
        let Request { content, node, .. } = self.requests[index];
        let up: Vec<usize> = (0..UPSTREAMS).filter(|u| self.down[*u] <= self.now).collect();
        let Some(upstream) = up.choose(&mut self.rng) else { return };
        let upstream = Name::from(format!("u{upstream}"));
        self.holders += 1;
        let holder = self.holders;
        let trial = match self.nodes[node].status(content, self.now) {
            FingerprintStatus::Clear => None,
            FingerprintStatus::Suspect(length) => {
                let until = self.now + Duration::from_secs(65);
                let own = self.requests.iter().any(|r| {
                    let on_trial = matches!(&r.state, State::Running { trial: Some(_), .. });
                    r.content == content && r.node == node && on_trial
                });
                if own || !self.trials.acquire(&upstream, holder, until, self.now) {
                    return;
                }
                Some(length)
            }
            FingerprintStatus::Quarantined(_) => return self.refuse(index),
        };
        let flight = InFlightAttempt { upstream, fingerprint: content, sent_at: self.now };
        self.requests[index].state = State::Running { flight, trial, holder };
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
        request.node = (request.node + 1) % NODES;
        request.state = State::Waiting(self.now + Duration::from_millis(200));
    }

    fn advance(
        &mut self,
        index: usize,
        flight: &InFlightAttempt,
        trial: Option<Duration>,
        holder: u64,
    ) {
        let ran = self.now - flight.sent_at;
        let request = &mut self.requests[index];
        if request.content == POISON && ran >= self.crash_after {
            return self.crash(&flight.upstream);
        }
        request.left = request.left.saturating_sub(STEP);
        let done = request.left.is_zero();
        if done {
            request.state = State::Done;
        }
        if trial.is_some_and(|length| ran >= length) || (trial.is_some() && done) {
            self.trials.release(&flight.upstream, holder);
            let node = self.requests[index].node;
            if let State::Running { trial, .. } = &mut self.requests[index].state {
                *trial = None;
            }
            if let Some(notice) = self.nodes[node].record_success(flight.fingerprint, self.now) {
                self.spread(node, &notice);
            }
        }
    }

    fn crash(&mut self, upstream: &Name) {
        self.crashes += 1;
        let number: usize = upstream[1..].parse().unwrap();
        self.down[number] = self.now + DOWN;
        for index in 0..self.requests.len() {
            let request = &mut self.requests[index];
            let State::Running { flight, holder, .. } = request.state.clone() else { continue };
            if flight.upstream != *upstream {
                continue;
            }
            request.state = State::Waiting(self.now + Duration::from_millis(100));
            let node = request.node;
            self.trials.release(upstream, holder);
            let notice = self.nodes[node].record_crash(&flight, self.now, self.now);
            self.spread(node, &notice);
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
        delay in 0_u64..90,
        harmless in harmless(),
    ) {
        let mut world = World::new(seed, crash_after, delay, 1, &harmless);
        world.run();
        prop_assert_eq!(world.crashes, 2);
        prop_assert_eq!(&world.refused_harmless, &BTreeSet::new());
        prop_assert!(world.over(), "{:#?}", world.requests);
    }

    /// Several copies are in flight when the first crash is seen: at most one upstream crashes
    /// for each copy, and one more for each node.
    #[test]
    fn copies_are_bounded(
        seed in any::<u64>(),
        crash_after in 0_u64..3_000,
        delay in 0_u64..90,
        copies in 2_usize..6,
    ) {
        let mut world = World::new(seed, crash_after, delay, copies, &[]);
        world.run();
        prop_assert!(world.crashes <= copies + NODES, "{} crashes", world.crashes);
        prop_assert!(world.over());
    }
}

fn flight(upstream: &str, fingerprint: u64, started: u64) -> InFlightAttempt {
    InFlightAttempt {
        upstream: upstream.into(),
        fingerprint,
        sent_at: Duration::from_millis(started),
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
    let first = a.record_crash(&flight("u1", 1, 100), ms(500), ms(600));
    a.record_crash(&flight("u1", 1, 200), ms(510), ms(610));
    b.record_crash(&flight("u1", 1, 300), ms(505), ms(605));
    assert!(!b.apply_notice(&first, ms(620)));
    assert!(matches!(a.status(1, ms(700)), FingerprintStatus::Suspect(_)));
    assert!(matches!(b.status(1, ms(700)), FingerprintStatus::Suspect(_)));
    a.record_crash(&flight("u1", 1, 800), ms(900), ms(1_000));
    assert!(matches!(a.status(1, ms(1_000)), FingerprintStatus::Quarantined(_)));
}

/// Notices arrive out of order, and the clear notice may be lost: a crash of an earlier epoch is
/// ignored once a later epoch is known.
#[test]
fn late_notices_are_ignored() {
    let mut a = Quarantine::new("a".into(), 1);
    let crash = a.record_crash(&flight("u1", 1, 0), ms(10), ms(10));
    let clear = a.record_success(1, ms(500)).unwrap();
    let second = a.record_crash(&flight("u2", 1, 600), ms(700), ms(700));
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
    a.record_crash(&flight("u1", 1, 0), ms(10), ms(10));
    a.record_crash(&flight("u2", 1, 20), ms(30), ms(30));
    a.record_crash(&flight("u2", 2, 20), ms(30), ms(30));
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
    a.record_crash(&flight("u1", 0, 0), ms(10), ms(10));
    a.record_crash(&flight("u2", 0, 20), ms(30), ms(30));
    for content in 1..20_000 {
        a.record_crash(&flight("u3", content, 40), ms(50), ms(50 + content));
    }
    let (suspects, quarantined) = a.counts();
    assert_eq!(quarantined, 1);
    assert!(suspects < mulberrycourse::decide::quarantine::MAX_FINGERPRINTS);
}
