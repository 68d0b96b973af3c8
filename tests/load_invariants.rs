//! Invariants of `Dispatch` under random events.
#![allow(clippy::unwrap_used)]

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use mulberrycourse::decide::{
    AttemptOutcome, AttemptReport, Call, Class, Dispatch, DispatchAction, LoadReport, Repeat,
    ServiceLimits, Ticket, UpstreamView,
};
use mulberrycourse::error::RunStatus;
use proptest::prelude::*;

/// The maximum number of attempts in progress at each upstream.
const MAX_CONCURRENCY: u32 = 3;
/// The number of upstreams.
const UPSTREAM_COUNT: usize = 4;

/// One random event. Indices are taken modulo the number of candidates.
#[derive(Debug, Clone)]
enum Step {
    /// A caller submits a request, with a deadline after `wait` milliseconds.
    Submit { caller: u8, training: bool, once: bool, cost: u32, wait: u64, prefix: Option<u64> },
    /// An attempt in progress ends.
    End { which: usize, outcome: u8 },
    /// A caller cancels a request.
    Cancel { which: usize },
    /// The list of upstreams changes: whether each is listed, and whether it accepts work.
    Upstreams { open: [bool; UPSTREAM_COUNT], listed: [bool; UPSTREAM_COUNT] },
    /// An upstream reports its load.
    Load { which: usize, total: u32 },
    /// Time passes.
    Advance { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let submit = (0..4_u8, any::<bool>(), any::<bool>(), 1..200_u32, 0..5_000_u64);
    prop_oneof![
        6 => (submit, proptest::option::of(0..5_u64)).prop_map(
            |((caller, training, once, cost, wait), prefix)| Step::Submit {
                caller, training, once, cost, wait, prefix
            }
        ),
        6 => (any::<usize>(), 0..8_u8).prop_map(|(which, outcome)| Step::End { which, outcome }),
        1 => any::<usize>().prop_map(|which| Step::Cancel { which }),
        1 => (any::<[bool; UPSTREAM_COUNT]>(), any::<[bool; UPSTREAM_COUNT]>())
            .prop_map(|(open, listed)| Step::Upstreams { open, listed }),
        1 => (0..UPSTREAM_COUNT, 0..100_u32).prop_map(|(which, total)| Step::Load { which, total }),
        2 => (0..2_000_u64).prop_map(|ms| Step::Advance { ms }),
    ]
}

/// The state of a request that has no final answer.
#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Waiting,
    Running,
}

/// The dispatch under test, with what its actions are checked against.
struct Checker {
    dispatch: Dispatch,
    now: Duration,
    /// The requests without a final answer.
    pending: HashMap<Ticket, State>,
    /// The upstream of each attempt in progress.
    upstream_of: HashMap<Ticket, String>,
    /// The requests of which an attempt ended with an unknown outcome.
    may_have_run: HashSet<Ticket>,
    /// The requests that may not be repeated.
    once: HashSet<Ticket>,
    /// The number of attempts in progress by upstream.
    running: HashMap<String, u32>,
    /// The upstreams that are not listed or do not accept work.
    closed: HashSet<String>,
}

impl Checker {
    fn new() -> Self {
        let limits =
            ServiceLimits { max_queued: 8, max_concurrency: MAX_CONCURRENCY, training_percent: 20 };
        let mut checker = Self {
            dispatch: Dispatch::new(limits, "a".into(), 7),
            now: Duration::from_millis(1),
            pending: HashMap::new(),
            upstream_of: HashMap::new(),
            may_have_run: HashSet::new(),
            once: HashSet::new(),
            running: HashMap::new(),
            closed: HashSet::new(),
        };
        checker.set_upstreams([true; UPSTREAM_COUNT], [true; UPSTREAM_COUNT]);
        checker
    }

    /// Sets which upstreams are listed and which of them accept work.
    fn set_upstreams(&mut self, open: [bool; UPSTREAM_COUNT], listed: [bool; UPSTREAM_COUNT]) {
        let names = (0..UPSTREAM_COUNT).map(|i| format!("u{i}"));
        self.closed = names
            .clone()
            .zip(open.iter().zip(listed))
            .filter_map(|(n, (o, t))| (!*o || !t).then_some(n))
            .collect();
        let views: Vec<UpstreamView> = names
            .zip(open)
            .zip(listed)
            .filter(|(_, listed)| *listed)
            .map(|((name, open), _)| UpstreamView {
                name: name.into(),
                zone: "a".into(),
                accepting: open,
            })
            .collect();
        self.dispatch.set_upstreams(&views, self.now);
    }

    /// Returns one of the requests in a state.
    fn pick(&self, which: usize, state: State) -> Option<Ticket> {
        let mut tickets: Vec<Ticket> =
            self.pending.iter().filter(|(_, s)| **s == state).map(|(t, _)| *t).collect();
        tickets.sort();
        (!tickets.is_empty()).then(|| tickets[which % tickets.len()])
    }

    /// Ends the attempt of a request, if it has one.
    fn end_attempt(&mut self, ticket: Ticket) {
        if let Some(upstream) = self.upstream_of.remove(&ticket) {
            *self.running.get_mut(&upstream).unwrap() -= 1;
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Submit { caller, training, once, cost, wait, prefix } => {
                let class = if training { Class::Training } else { Class::Live };
                let repeat = if once { Repeat::Once } else { Repeat::Idempotent };
                let ticket = self.dispatch.submit(
                    Call {
                        caller: format!("c{caller}").into(),
                        class,
                        repeat,
                        cost,
                        deadline: self.now + Duration::from_millis(wait),
                        fingerprint: 0,
                        prefix,
                    },
                    self.now,
                );
                assert!(self.pending.insert(ticket, State::Waiting).is_none());
                if once {
                    self.once.insert(ticket);
                }
            }
            Step::End { which, outcome } => {
                let Some(ticket) = self.pick(which, State::Running) else { return };
                let outcome = match outcome {
                    0 => AttemptOutcome::Unsent,
                    1 => AttemptOutcome::Refused,
                    2 => AttemptOutcome::Unknown,
                    _ => AttemptOutcome::Answered,
                };
                self.end_attempt(ticket);
                self.pending.insert(ticket, State::Waiting);
                if outcome == AttemptOutcome::Unknown {
                    self.may_have_run.insert(ticket);
                }
                if outcome == AttemptOutcome::Answered {
                    self.pending.remove(&ticket);
                }
                let report =
                    AttemptReport { outcome, took: Duration::from_millis(20), actual_cost: None };
                self.dispatch.attempt_ended(ticket, report, self.now);
            }
            Step::Cancel { which } => {
                let state = if which % 2 == 0 { State::Running } else { State::Waiting };
                let Some(ticket) = self.pick(which, state) else { return };
                self.end_attempt(ticket);
                self.pending.remove(&ticket);
                self.dispatch.cancel(ticket, self.now);
            }
            Step::Upstreams { open, listed } => {
                // Attempts in flight at a removed upstream still end, but are not counted.
                for (i, listed) in listed.iter().enumerate() {
                    if !listed {
                        self.running.remove(&format!("u{i}"));
                        let name = format!("u{i}");
                        self.upstream_of.retain(|_, upstream| *upstream != name);
                    }
                }
                self.set_upstreams(open, listed);
            }
            Step::Load { which, total } => {
                let report = LoadReport { total, requested_at: self.now };
                self.dispatch.load_report(&format!("u{which}"), report);
            }
            Step::Advance { ms } => {
                self.now += Duration::from_millis(ms);
                self.dispatch.tick(self.now);
            }
        }
    }

    /// Takes the actions, and checks each of them and the resulting state.
    fn check(&mut self) {
        let actions = self.dispatch.take_actions();
        for action in actions {
            match action {
                DispatchAction::Send { ticket, upstream } => {
                    let state = self.pending.insert(ticket, State::Running);
                    assert_eq!(state, Some(State::Waiting), "sent twice, or after its end");
                    let may_have_run = self.may_have_run.contains(&ticket);
                    assert!(
                        !(may_have_run && self.once.contains(&ticket)),
                        "may have run, sent again"
                    );
                    assert!(!self.closed.contains(&*upstream), "sent to a closed upstream");
                    let running = self.running.entry(upstream.to_string()).or_default();
                    *running += 1;
                    assert!(*running <= MAX_CONCURRENCY, "{running} at {upstream}");
                    self.upstream_of.insert(ticket, upstream.to_string());
                }
                DispatchAction::Refuse { ticket, refusal } => {
                    let state = self.pending.remove(&ticket);
                    assert_eq!(state, Some(State::Waiting), "refused while it ran, or twice");
                    assert!(refusal.retry_after.is_some());
                    if self.may_have_run.contains(&ticket) {
                        assert_ne!(refusal.run(), RunStatus::NotRun, "an attempt may have run");
                    }
                }
            }
        }
        let count = |state| self.pending.values().filter(|s| **s == state).count();
        assert_eq!(self.dispatch.waiting(), count(State::Waiting));
        assert_eq!(self.dispatch.running(), count(State::Running));
        let idle = self.running.values().all(|n| *n == 0);
        // At most one of the four upstreams is ejected for its failures.
        let usable = UPSTREAM_COUNT - self.closed.len();
        if idle && self.dispatch.running() == 0 && usable > 1 {
            assert_eq!(self.dispatch.waiting(), 0, "work waits while every upstream is idle");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// Every request gets exactly one final answer, and none is both sent and refused. The
    /// concurrency limit holds. Nothing waits while all upstreams are idle. A refusal reports "not
    /// run" only if that is certain, and a request that may not be repeated is not sent again once
    /// it may have run.
    #[test]
    fn dispatch_invariants(steps in proptest::collection::vec(step(), 1..200)) {
        let mut checker = Checker::new();
        for step in steps {
            checker.apply(step);
            checker.check();
        }
        // In the end, every waiting request is answered.
        checker.now += Duration::from_secs(60);
        checker.dispatch.tick(checker.now);
        checker.check();
        prop_assert!(checker.pending.values().all(|s| *s == State::Running));
    }
}
