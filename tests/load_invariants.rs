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

const CEILING: u32 = 3;
const UPSTREAMS: usize = 4;

#[derive(Debug, Clone)]
enum Step {
    Offer { caller: u8, training: bool, once: bool, cost: u32, wait: u64, prefix: Option<u64> },
    End { which: usize, outcome: u8 },
    Withdraw { which: usize },
    Upstreams { open: [bool; UPSTREAMS], there: [bool; UPSTREAMS] },
    Load { which: usize, total: u32 },
    Pass { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let offer = (0..4_u8, any::<bool>(), any::<bool>(), 1..200_u32, 0..5_000_u64);
    prop_oneof![
        6 => (offer, proptest::option::of(0..5_u64)).prop_map(
            |((caller, training, once, cost, wait), prefix)| Step::Offer {
                caller, training, once, cost, wait, prefix
            }
        ),
        6 => (any::<usize>(), 0..8_u8).prop_map(|(which, outcome)| Step::End { which, outcome }),
        1 => any::<usize>().prop_map(|which| Step::Withdraw { which }),
        1 => (any::<[bool; UPSTREAMS]>(), any::<[bool; UPSTREAMS]>())
            .prop_map(|(open, there)| Step::Upstreams { open, there }),
        1 => (0..UPSTREAMS, 0..100_u32).prop_map(|(which, total)| Step::Load { which, total }),
        2 => (0..2_000_u64).prop_map(|ms| Step::Pass { ms }),
    ]
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum State {
    Waiting,
    Running,
}

struct Watch {
    dispatch: Dispatch,
    now: Duration,
    open: HashMap<Ticket, State>,
    at: HashMap<Ticket, String>,
    unsure: HashSet<Ticket>,
    once: HashSet<Ticket>,
    running: HashMap<String, u32>,
    closed: HashSet<String>,
}

impl Watch {
    fn new() -> Self {
        let limits =
            ServiceLimits { max_queued: 8, max_concurrency: CEILING, training_percent: 20 };
        let mut watch = Self {
            dispatch: Dispatch::new(limits, "a".into(), 7),
            now: Duration::from_millis(1),
            open: HashMap::new(),
            at: HashMap::new(),
            unsure: HashSet::new(),
            once: HashSet::new(),
            running: HashMap::new(),
            closed: HashSet::new(),
        };
        watch.upstreams([true; UPSTREAMS], [true; UPSTREAMS]);
        watch
    }

    fn upstreams(&mut self, open: [bool; UPSTREAMS], there: [bool; UPSTREAMS]) {
        let names = (0..UPSTREAMS).map(|i| format!("u{i}"));
        self.closed = names
            .clone()
            .zip(open.iter().zip(there))
            .filter_map(|(n, (o, t))| (!*o || !t).then_some(n))
            .collect();
        let views: Vec<UpstreamView> = names
            .zip(open)
            .zip(there)
            .filter(|(_, there)| *there)
            .map(|((name, open), _)| UpstreamView {
                name: name.into(),
                zone: "a".into(),
                accepting: open,
            })
            .collect();
        self.dispatch.set_upstreams(&views, self.now);
    }

    fn pick(&self, which: usize, state: State) -> Option<Ticket> {
        let mut tickets: Vec<Ticket> =
            self.open.iter().filter(|(_, s)| **s == state).map(|(t, _)| *t).collect();
        tickets.sort();
        (!tickets.is_empty()).then(|| tickets[which % tickets.len()])
    }

    fn leave(&mut self, ticket: Ticket) {
        if let Some(at) = self.at.remove(&ticket) {
            *self.running.get_mut(&at).unwrap() -= 1;
        }
    }

    fn apply(&mut self, step: Step) {
        match step {
            Step::Offer { caller, training, once, cost, wait, prefix } => {
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
                assert!(self.open.insert(ticket, State::Waiting).is_none());
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
                self.leave(ticket);
                self.open.insert(ticket, State::Waiting);
                if outcome == AttemptOutcome::Unknown {
                    self.unsure.insert(ticket);
                }
                if outcome == AttemptOutcome::Answered {
                    self.open.remove(&ticket);
                }
                let report =
                    AttemptReport { outcome, took: Duration::from_millis(20), actual_cost: None };
                self.dispatch.attempt_ended(ticket, report, self.now);
            }
            Step::Withdraw { which } => {
                let state = if which % 2 == 0 { State::Running } else { State::Waiting };
                let Some(ticket) = self.pick(which, state) else { return };
                self.leave(ticket);
                self.open.remove(&ticket);
                self.dispatch.cancel(ticket, self.now);
            }
            Step::Upstreams { open, there } => {
                // Attempts in flight at a removed upstream still end, but are not counted.
                for (i, there) in there.iter().enumerate() {
                    if !there {
                        self.running.remove(&format!("u{i}"));
                        let name = format!("u{i}");
                        self.at.retain(|_, at| *at != name);
                    }
                }
                self.upstreams(open, there);
            }
            Step::Load { which, total } => {
                let report = LoadReport { total, requested_at: self.now };
                self.dispatch.load_report(&format!("u{which}"), report);
            }
            Step::Pass { ms } => {
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
                    let state = self.open.insert(ticket, State::Running);
                    assert_eq!(state, Some(State::Waiting), "sent twice, or after its end");
                    let unsure = self.unsure.contains(&ticket);
                    assert!(!(unsure && self.once.contains(&ticket)), "may have run, sent again");
                    assert!(!self.closed.contains(&*upstream), "sent to a closed upstream");
                    let running = self.running.entry(upstream.to_string()).or_default();
                    *running += 1;
                    assert!(*running <= CEILING, "{running} at {upstream}");
                    self.at.insert(ticket, upstream.to_string());
                }
                DispatchAction::Refuse { ticket, refusal } => {
                    let state = self.open.remove(&ticket);
                    assert_eq!(state, Some(State::Waiting), "refused while it ran, or twice");
                    assert!(refusal.retry_after.is_some());
                    if self.unsure.contains(&ticket) {
                        assert_ne!(refusal.run(), RunStatus::NotRun, "an attempt may have run");
                    }
                }
            }
        }
        let count = |state| self.open.values().filter(|s| **s == state).count();
        assert_eq!(self.dispatch.waiting(), count(State::Waiting));
        assert_eq!(self.dispatch.running(), count(State::Running));
        let idle = self.running.values().all(|n| *n == 0);
        // At most one of the four is ejected for its failures.
        let usable = UPSTREAMS - self.closed.len();
        if idle && self.dispatch.running() == 0 && usable > 1 {
            assert_eq!(self.dispatch.waiting(), 0, "work waits while every upstream is idle");
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, failure_persistence: None, ..ProptestConfig::default() })]

    /// Every request gets exactly one final answer; the concurrency limit holds; no request is
    /// both sent and refused; nothing waits while all upstreams are idle; a refusal reports
    /// "not run" only if that is certain; a request that may not be repeated is not sent again
    /// once it may have run.
    #[test]
    fn dispatch_invariants(steps in proptest::collection::vec(step(), 1..200)) {
        let mut watch = Watch::new();
        for step in steps {
            watch.apply(step);
            watch.check();
        }
        // In the end, every waiting request is answered.
        watch.now += Duration::from_secs(60);
        watch.dispatch.tick(watch.now);
        watch.check();
        prop_assert!(watch.open.values().all(|s| *s == State::Running));
    }
}
