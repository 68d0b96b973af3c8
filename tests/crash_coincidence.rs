//! How often innocent requests would be quarantined while replicas crash for other reasons, and how
//! soon the cause of crashes is.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::decide::quarantine::{
    CrashNotice, FingerprintStatus, InFlightAttempt, MAX_FINGERPRINTS, Quarantine, QuarantineRule,
    RecentCrashes, SETTLE_TIME,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const REPLICAS: usize = 36;
/// A quarter of the replicas crash within [`CRASH_SPAN`].
const CRASHING: usize = 9;
const CRASH_SPAN: f64 = 5.0;
/// How many requests run at each replica.
const SLOTS: usize = 6;
/// The number of nodes that run these requests: each sees only the crashes of its own.
const OWNERS: usize = 3;
/// How long a crashed replica takes to be back, in seconds.
const RESTART_TIME: f64 = 2.0;

/// A request was interrupted by a crash or completed, in the order of time.
struct Step {
    at: f64,
    owner: usize,
    fingerprint: u64,
    /// The replica that crashed, and how long the request had run there. None if it completed.
    crash: Option<(usize, f64)>,
}

fn seconds(seconds: f64) -> Duration {
    Duration::from_secs_f64(seconds.max(0.0))
}

fn replica(number: usize) -> Name {
    format!("r{number}").into()
}

fn quarantine(node: &str) -> Quarantine {
    Quarantine::with_rule(node.into(), 0, QuarantineRule::UnlikelyCoincidence)
}

/// Draws when each replica crashes: a quarter of them once in each of `waves` periods.
fn draw_crashes(rng: &mut SmallRng, waves: usize) -> Vec<Vec<f64>> {
    let mut crashes = vec![Vec::new(); REPLICAS];
    for wave in 0..waves {
        for number in rand::seq::index::sample(rng, REPLICAS, CRASHING) {
            let at = wave as f64 * CRASH_SPAN + rng.random::<f64>() * CRASH_SPAN;
            let last: Option<&f64> = crashes[number].last();
            if last.is_none_or(|last| at > last + RESTART_TIME) {
                crashes[number].push(at);
            }
        }
    }
    crashes
}

/// Draws the length of a run in seconds, distributed exponentially.
fn draw_length(rng: &mut SmallRng, mean: f64) -> f64 {
    -mean * (1.0 - rng.random::<f64>()).ln()
}

/// Follows each request that a crash interrupts over its further runs until it completes. Runs take
/// `mean` seconds on average, and a request that was interrupted begins anew at once elsewhere.
fn draw_steps(rng: &mut SmallRng, crashes: &[Vec<f64>], mean: f64) -> Vec<Step> {
    let mut steps = Vec::new();
    let mut fingerprint = 0;
    let first =
        crashes.iter().enumerate().flat_map(|(n, times)| times.iter().map(move |t| (n, *t)));
    for (number, crashed_at) in first.collect::<Vec<_>>() {
        for _ in 0..SLOTS {
            fingerprint += 1;
            let owner = rng.random_range(0..OWNERS);
            let (mut at, mut here, mut ran) = (crashed_at, number, draw_length(rng, mean));
            loop {
                steps.push(Step { at, owner, fingerprint, crash: Some((here, ran)) });
                let is_down = |n: usize| {
                    crashes[n].iter().any(|crash| (0.0..RESTART_TIME).contains(&(at - crash)))
                };
                let next = loop {
                    let next = rng.random_range(0..REPLICAS);
                    if next != here && !is_down(next) {
                        break next;
                    }
                };
                let needed = draw_length(rng, mean);
                let crash = crashes[next].iter().copied().find(|c| (at..at + needed).contains(c));
                let Some(crash) = crash else {
                    steps.push(Step { at: at + needed, owner, fingerprint, crash: None });
                    break;
                };
                (ran, at, here) = (crash - at, crash, next);
            }
        }
    }
    steps.sort_by(|a, b| a.at.total_cmp(&b.at));
    steps
}

/// The outcome of many times of crashes.
#[derive(Debug, Default)]
struct Outcome {
    interrupted: usize,
    /// Requests that met three crashes or more.
    thrice: usize,
    quarantined: usize,
}

/// Plays `events` times in which replicas crash for other reasons than their requests.
fn play(seed: u64, events: usize, waves: usize, mean: f64) -> Outcome {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut outcome = Outcome::default();
    for _ in 0..events {
        let crashes = draw_crashes(&mut rng, waves);
        let steps = draw_steps(&mut rng, &crashes, mean);
        let mut owners: Vec<_> =
            (0..OWNERS).map(|n| (quarantine(&format!("n{n}")), RecentCrashes::default())).collect();
        let mut judged_at = 0.0;
        let mut counts = std::collections::HashMap::<u64, usize>::new();
        let end = steps.last().map_or(0.0, |step| step.at);
        let finish = Step { at: end + 2.0, owner: 0, fingerprint: 0, crash: None };
        for step in steps.into_iter().chain([finish]) {
            while judged_at + 0.25 < step.at {
                judged_at += 0.25;
                for (quarantine, recent) in &mut owners {
                    let verdicts = quarantine.judge(recent, |_| REPLICAS, seconds(judged_at));
                    outcome.quarantined += verdicts.len();
                }
            }
            let (quarantine, recent) = &mut owners[step.owner];
            let now = seconds(step.at);
            let Some((number, ran)) = step.crash else {
                quarantine.record_success(step.fingerprint, now);
                continue;
            };
            *counts.entry(step.fingerprint).or_default() += 1;
            let (upstream, sent_at) = (replica(number), now.saturating_sub(seconds(ran)));
            recent.record(&"engines".into(), &upstream, now);
            let attempt = InFlightAttempt { upstream, fingerprint: step.fingerprint, sent_at };
            quarantine.record_crash(&attempt, now, now);
            quarantine.set_service(step.fingerprint, &"engines".into());
        }
        outcome.interrupted += counts.len();
        outcome.thrice += counts.values().filter(|count| **count >= 3).count();
    }
    outcome
}

/// Guards against a quarantine of innocent requests while a quarter of the replicas crash within
/// five seconds, once and for a minute, with runs of the usual length.
#[test]
fn innocent_requests_are_practically_never_quarantined() {
    for (events, waves) in [(8_000, 1), (200, 12)] {
        let outcome = play(1, events, waves, 1.0);
        // A fixed number of three crashes would refuse these.
        assert!(outcome.thrice > events / 20, "{outcome:?}");
        assert_eq!(outcome.quarantined, 0, "{outcome:?}");
    }
}

/// The same for the longest texts, which meet five times as many crashes.
#[test]
fn one_long_innocent_request_in_a_hundred_thousand_is_quarantined_at_most() {
    for (events, waves) in [(2_000, 1), (100, 12)] {
        let outcome = play(2, events, waves, 5.4);
        assert!(outcome.thrice > events / 5, "{outcome:?}");
        assert!(outcome.quarantined <= outcome.interrupted / 100_000, "{outcome:?}");
    }
}

/// A node with the crashes of one request, each of a run that began after the crash before.
struct Node {
    quarantine: Quarantine,
    recent: RecentCrashes,
    now: Duration,
}

impl Node {
    fn new(name: &str) -> Self {
        let quarantine = quarantine(name);
        Self { quarantine, recent: RecentCrashes::default(), now: Duration::from_secs(100) }
    }

    /// A run of a request of `ran_ms` ends with a crash of its replica.
    fn crash(&mut self, fingerprint: u64, number: usize, ran_ms: u64) -> CrashNotice {
        let (upstream, sent_at) = (replica(number), self.now);
        self.now += Duration::from_millis(ran_ms);
        self.recent.record(&"plain".into(), &upstream, self.now);
        let attempt = InFlightAttempt { upstream, fingerprint, sent_at };
        let notice = self.quarantine.record_crash(&attempt, self.now, self.now);
        self.quarantine.set_service(fingerprint, &"plain".into());
        notice
    }

    /// A request that ran beside the last one meets the same crash.
    fn crash_beside(&mut self, fingerprint: u64, number: usize, ran_ms: u64) {
        let sent_at = self.now.saturating_sub(Duration::from_millis(ran_ms));
        let attempt = InFlightAttempt { upstream: replica(number), fingerprint, sent_at };
        self.quarantine.record_crash(&attempt, self.now, self.now);
        self.quarantine.set_service(fingerprint, &"plain".into());
    }

    /// Judges after the settle time, and returns whether a request is quarantined.
    fn judge(&mut self, replicas: usize, fingerprint: u64) -> bool {
        self.now += SETTLE_TIME;
        self.quarantine.judge(&self.recent, |_| replicas, self.now);
        let status = self.quarantine.status(fingerprint, self.now);
        matches!(status, FingerprintStatus::Quarantined(_))
    }
}

/// Guards against requests that crash replicas for longer than the page allows: three crashes, and
/// three more after three seconds. Runs of 80 ms, at services of 4, 7 and 36 replicas.
#[test]
fn the_cause_of_crashes_is_quarantined_within_six_crashes() {
    for (replicas, ran_ms) in [(4, 5), (4, 25), (4, 80), (7, 80), (36, 80), (36, 750)] {
        let mut node = Node::new("a");
        let crashes = (1..).find(|number| {
            node.crash(1, number % replicas, ran_ms);
            node.judge(replicas, 1)
        });
        assert!((3..=6).contains(&crashes.unwrap()), "{replicas} {ran_ms}: {crashes:?}");
    }
}

/// Guards against a cause that is never found while other replicas crash as well.
#[test]
fn the_cause_is_found_while_other_replicas_crash() {
    let mut node = Node::new("a");
    let crashes = (1..).find(|number| {
        node.crash(1, *number, 25);
        node.recent.record(&"plain".into(), &replica(20 + number), node.now);
        node.judge(36, 1)
    });
    assert!((4..=6).contains(&crashes.unwrap()), "{crashes:?}");
}

/// Guards against blaming what ran beside the cause at each of its replicas.
#[test]
fn a_request_that_ran_beside_the_cause_is_not_quarantined() {
    let mut node = Node::new("a");
    for number in 0..8 {
        node.crash(1, number, 25);
        // The harmless one is there at four of the crashes, and runs as briefly.
        if number < 4 {
            node.crash_beside(2, number, 25);
        }
        assert!(!node.judge(36, 2), "{number}");
    }
    assert!(node.judge(36, 1));
    assert!(!node.judge(36, 2));
}

/// Guards against a quarantine by copies of a request that were lost at the same moment.
#[test]
fn copies_that_are_lost_together_count_as_one_crash() {
    let mut node = Node::new("a");
    for number in 0..100 {
        node.recent.record(&"plain".into(), &replica(number), node.now);
        node.crash_beside(1, number, 10);
    }
    assert!(!node.judge(100, 1));
}

/// Guards against blaming requests for one replica that crashes again and again.
#[test]
fn one_replica_that_crashes_repeatedly_quarantines_nobody() {
    let mut node = Node::new("a");
    for _ in 0..10 {
        node.crash(1, 0, 25);
        assert!(!node.judge(4, 1));
        node.now += Duration::from_secs(3);
    }
}

/// Guards against suspects that stay suspects after a complete response or a long run.
#[test]
fn a_success_or_a_long_run_clears_a_suspect() {
    let (mut completed, mut survived) = (Node::new("a"), Node::new("a"));
    for node in [&mut completed, &mut survived] {
        node.crash(1, 0, 25);
        node.crash(1, 1, 25);
    }
    assert!(completed.quarantine.record_success(1, completed.now).is_some());
    survived.quarantine.record_survival(1, Duration::from_millis(100), survived.now);
    assert_eq!(survived.quarantine.crash_count(1), 2);
    survived.quarantine.record_survival(1, Duration::from_secs(1), survived.now);
    for mut node in [completed, survived] {
        node.crash(1, 2, 25);
        assert!(!node.judge(36, 1));
        assert_eq!(node.quarantine.crash_count(1), 1);
    }
}

/// Guards against a node that quarantines a request by crashes of which it has only been told, and
/// so does not know what else crashed; and against one that ignores the judgement of another.
#[test]
fn only_nodes_that_saw_a_crash_judge_and_the_others_follow() {
    let (mut a, mut b) = (Node::new("a"), Node::new("b"));
    for number in 0..4 {
        let notice = a.crash(1, number, 10);
        b.now = a.now;
        b.quarantine.apply_notice(&notice, b.now);
    }
    assert!(!b.judge(36, 1));
    assert!(a.judge(36, 1));
    let news = a.quarantine.changes_after(0, a.now);
    for notice in &news {
        b.quarantine.apply_notice(notice, b.now);
    }
    let status = b.quarantine.status(1, b.now);
    assert!(matches!(status, FingerprintStatus::Quarantined(_)));
    // A clearing from before the judgement, which arrives late, has no effect.
    b.quarantine.apply_notice(&CrashNotice::Clear { fingerprint: 1, epoch: 1 }, b.now);
    assert!(matches!(b.quarantine.status(1, b.now), FingerprintStatus::Quarantined(_)));
}

/// Guards against memory that grows with the number of requests that meet crashes, and against
/// suspects that push quarantined requests out.
#[test]
fn the_state_is_bounded() {
    let mut node = Node::new("a");
    for number in 0..4 {
        node.crash(0, number, 10);
    }
    assert!(node.judge(36, 0));
    for fingerprint in 1..2 * MAX_FINGERPRINTS as u64 {
        node.crash(fingerprint, fingerprint as usize % 36, 10);
    }
    let (suspects, quarantined) = node.quarantine.counts();
    assert_eq!((suspects, quarantined), (MAX_FINGERPRINTS - 1, 1));
    for number in 0..1_000 {
        node.crash(1, number % 36, 3_000);
    }
    assert!(node.quarantine.crash_count(1) <= 16);
}
