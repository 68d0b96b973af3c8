//! Quarantine without sockets: nodes, upstreams and requests as plain data, in steps of
//! ten milliseconds.
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
/// What the poison and its copies are known by.
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
    /// Sends that its caller has left.
    sends: u32,
    /// Running time that it still needs.
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
    news: Vec<(Duration, usize, CrashNotice)>,
    /// How long the poison runs before its upstream crashes.
    fuse: Duration,
    delay: u64,
    crashes: usize,
    blamed: BTreeSet<u64>,
    holders: u64,
}

impl World {
    fn new(seed: u64, fuse: u64, delay: u64, copies: usize, innocent: &[(u64, u64)]) -> Self {
        let name = |n: usize| Name::from(format!("n{n}"));
        let request = |content, node, sends, at: u64, left: u64| Request {
            content,
            node,
            sends,
            left: Duration::from_millis(left),
            state: State::Waiting(Duration::from_millis(at)),
        };
        let poison = (0..copies).map(|c| request(POISON, c % NODES, 6, 700, u64::MAX >> 1));
        let others = innocent.iter().enumerate();
        let others = others.map(|(n, (at, left))| request(1 + n as u64, n % NODES, 0, *at, *left));
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now: Duration::ZERO,
            nodes: (0..NODES).map(|n| Quarantine::new(name(n), n as u64 * 1_000)).collect(),
            trials: TrialLocks::default(),
            down: vec![Duration::ZERO; UPSTREAMS],
            requests: poison.chain(others).collect(),
            news: vec![],
            fuse: Duration::from_millis(fuse),
            delay,
            crashes: 0,
            blamed: BTreeSet::new(),
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
        let (due, later) = std::mem::take(&mut self.news).into_iter().partition(|n| n.0 <= now);
        self.news = later;
        let due: Vec<(Duration, usize, CrashNotice)> = due;
        for (_, node, news) in due {
            self.nodes[node].apply_notice(&news, now);
        }
    }

    fn spread(&mut self, from: usize, news: &CrashNotice) {
        for node in (0..NODES).filter(|n| *n != from) {
            let delay = Duration::from_millis(self.rng.random_range(0..=self.delay));
            self.news.push((self.now + delay, node, news.clone()));
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

    /// The caller of a refused request sends it again, through the next node.
    fn refuse(&mut self, index: usize) {
        let request = &mut self.requests[index];
        if request.content != POISON {
            self.blamed.insert(request.content);
        }
        if request.sends == 0 {
            request.state = State::Done;
            return;
        }
        request.sends -= 1;
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
        if request.content == POISON && ran >= self.fuse {
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
            if let Some(news) = self.nodes[node].record_success(flight.fingerprint, self.now) {
                self.spread(node, &news);
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
            let news = self.nodes[node].record_crash(&flight, self.now, self.now);
            self.spread(node, &news);
        }
    }
}

fn config() -> ProptestConfig {
    let rng_seed = RngSeed::Fixed(12);
    ProptestConfig { cases: 300, rng_seed, failure_persistence: None, ..ProptestConfig::default() }
}

fn innocent() -> impl Strategy<Value = Vec<(u64, u64)>> {
    prop::collection::vec((0_u64..4_000, 100_u64..6_000), 0..24)
}

proptest! {
    #![proptest_config(config())]

    /// One request that crashes its upstream after some time, sent again six times through
    /// all nodes, among innocent ones that share the upstreams, with news that take up to
    /// 90 ms: two upstreams go down, every innocent request ends, none is ever blamed.
    #[test]
    fn two_upstreams_and_nobody_else(
        seed in any::<u64>(),
        fuse in 0_u64..3_000,
        delay in 0_u64..90,
        innocent in innocent(),
    ) {
        let mut world = World::new(seed, fuse, delay, 1, &innocent);
        world.run();
        prop_assert_eq!(world.crashes, 2);
        prop_assert_eq!(&world.blamed, &BTreeSet::new());
        prop_assert!(world.over(), "{:#?}", world.requests);
    }

    /// Several copies are in flight together when the first crash is seen: at most each
    /// takes down one upstream, and each node one more.
    #[test]
    fn copies_are_bounded(
        seed in any::<u64>(),
        fuse in 0_u64..3_000,
        delay in 0_u64..90,
        copies in 2_usize..6,
    ) {
        let mut world = World::new(seed, fuse, delay, copies, &[]);
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

/// Many requests break in one crash, a little apart, and two nodes see it: one crash. The
/// same upstream's next crash is another.
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

/// News overtake each other, and the clearing may be lost: a crash from before it counts
/// no more once a later one is known.
#[test]
fn late_news_count_no_more() {
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
        for news in order {
            b.apply_notice(news, ms(800));
        }
        assert!(matches!(b.status(1, ms(800)), FingerprintStatus::Suspect(_)), "{order:?}");
    }
}

/// A quarantine ends by itself; a suspect is forgotten sooner; what one node passes on to
/// another keeps its age.
#[test]
fn they_end_by_themselves() {
    let mut a = Quarantine::new("a".into(), 1);
    a.record_crash(&flight("u1", 1, 0), ms(10), ms(10));
    a.record_crash(&flight("u2", 1, 20), ms(30), ms(30));
    a.record_crash(&flight("u2", 2, 20), ms(30), ms(30));
    assert_eq!(a.counts(), (1, 1));
    assert_eq!(a.record_success(1, ms(40)), None);
    let later = ms(601_000);
    let mut b = Quarantine::new("b".into(), 1);
    a.notices(later).iter().for_each(|news| {
        b.apply_notice(news, later);
    });
    assert_eq!(b.status(2, later), FingerprintStatus::Clear);
    assert!(matches!(b.status(1, later), FingerprintStatus::Quarantined(_)));
    assert_eq!(b.status(1, ms(3_600_100)), FingerprintStatus::Clear);
    a.tick(ms(3_600_100));
    assert_eq!(a.counts(), (0, 0));
}

/// A rack of upstreams crashes with thousands in flight: memory is bounded, and what is
/// quarantined outlives the suspects.
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
