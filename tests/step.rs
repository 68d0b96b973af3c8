//! Tests of a trainer's step, without a network.
#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;

use proptest::prelude::*;

use mulberrycourse::decide::{FillOutcome, GroupSpec, Ranges, Sample, Slot, Span, Step, StepSpec};

fn step(groups: u32, samples: u32, staleness_bound: u64) -> Step {
    let prompt = GroupSpec { prompt: "deal".to_owned(), samples, max_tokens: 4 };
    Step::new(StepSpec { version: 5, groups: vec![prompt; groups as usize] }, staleness_bound)
}

fn sample(index: u32, version: u64) -> Sample {
    let label = vec![Span { version, from: 0, to: 4 }];
    Sample { index, text: "ace".to_owned(), label, upstream: "patter-0".into() }
}

/// A trainer acknowledges groups that the step does not have: this does not complete the step.
#[test]
fn unknown_groups_do_not_complete_a_step() {
    let mut step = step(2, 1, 1);
    step.acknowledge(5, &Ranges::from_iter([7, 8]));
    assert!(!step.all_delivered());
    assert_eq!(step.start(usize::MAX).len(), 2);
}

/// The trainer's version advances between two deliveries: a sample that has become stale is
/// withdrawn and begins again.
#[test]
fn repeated_delivery_checks_the_staleness_again() {
    let mut step = step(1, 1, 1);
    let slot = Slot { group: 0, index: 0 };
    assert_eq!(step.start(usize::MAX), [slot]);
    assert_eq!(step.fill(slot, sample(0, 4)), FillOutcome::Kept);
    step.acknowledge(5, &Ranges::from_iter([]));
    assert_eq!(step.ready_groups(1).len(), 1);
    step.acknowledge(6, &Ranges::from_iter([]));
    assert_eq!(step.ready_groups(1).len(), 0);
    assert_eq!(step.start(usize::MAX), [slot]);
}

/// The trainer's version advances while a sample runs.
#[test]
fn stale_sample_is_refused_on_arrival() {
    let mut step = step(1, 2, 1);
    step.start(usize::MAX);
    step.acknowledge(7, &Ranges::from_iter([]));
    let slot = Slot { group: 0, index: 0 };
    assert_eq!(step.fill(slot, sample(0, 5)), FillOutcome::Stale);
    assert_eq!(step.fill(slot, sample(0, 6)), FillOutcome::Kept);
}

/// Long samples begin first, and the samples of a group together; the last sample of a group gets a
/// raised priority.
#[test]
fn long_prompts_begin_first() {
    let prompt = |max_tokens| GroupSpec { prompt: "deal".to_owned(), samples: 2, max_tokens };
    let spec = StepSpec { version: 1, groups: vec![prompt(4), prompt(90), prompt(30)] };
    let mut step = Step::new(spec, 1);
    let begun: Vec<u32> = step.start(5).iter().map(|slot| slot.group).collect();
    assert_eq!(begun, [1, 1, 2, 2, 0]);
    assert_eq!(step.start(5), []);
    assert_eq!(step.priority(Slot { group: 1, index: 0 }), 0);
    assert_eq!(step.start(6).len(), 1);
    // No sample is left to begin: the trainer waits for the running ones.
    assert_eq!(step.priority(Slot { group: 1, index: 0 }), 1);
}

/// What may happen to a step.
#[derive(Debug, Clone)]
enum Event {
    /// The attempt with this index ends, with a sample of this version.
    Fill(usize, u64),
    /// The trainer is at this version and takes up to this many complete groups.
    Pull(u64, usize),
    /// The step moves to another node, which receives the groups that the trainer has.
    Move,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0_usize..4, 3_u64..9).prop_map(|(which, version)| Event::Fill(which, version)),
        3 => (5_u64..9, 0_usize..3).prop_map(|(version, takes)| Event::Pull(version, takes)),
        1 => Just(Event::Move),
    ]
}

proptest! {
    /// Attempts end, groups are pulled, versions advance and the step moves in any order, with a
    /// naive trainer that keeps a list. No group is delivered that the trainer has, that is too old
    /// or that is incomplete. Groups that it has received are not delivered again. The remaining
    /// samples run, or can begin.
    #[test]
    fn step_delivers_each_group_once(events in prop::collection::vec(event(), 1..80)) {
        const STALENESS_BOUND: u64 = 2;
        let (groups, samples) = (3, 2);
        let mut step = step(groups, samples, STALENESS_BOUND);
        let mut running: Vec<Slot> = step.start(4);
        let mut taken: BTreeMap<u32, Vec<u64>> = BTreeMap::new();
        let mut version = 5;
        for event in events {
            match event {
                Event::Fill(which, made) if which < running.len() => {
                    let slot = running[which];
                    let fill = step.fill(slot, sample(slot.index, made));
                    let stale = made + STALENESS_BOUND < version && !taken.contains_key(&slot.group);
                    prop_assert_eq!(fill == FillOutcome::Stale, stale);
                    if fill != FillOutcome::Stale {
                        running.remove(which);
                    }
                }
                Event::Fill(..) => {}
                Event::Pull(at, takes) => {
                    version = version.max(at);
                    step.acknowledge(version, &taken.keys().copied().collect());
                    for group in step.ready_groups(takes) {
                        let fresh = group.samples.iter().all(|s| s.oldest() >= Some(version - STALENESS_BOUND));
                        prop_assert!(fresh);
                        prop_assert_eq!(group.samples.len() as u32, samples);
                        let made = group.samples.iter().filter_map(|s| s.oldest()).collect();
                        prop_assert!(taken.insert(group.group, made).is_none(), "delivered twice");
                    }
                }
                Event::Move => {
                    step.acknowledge(version, &taken.keys().copied().collect());
                    for group in step.ready_groups(usize::MAX) {
                        let made = group.samples.iter().filter_map(|s| s.oldest()).collect();
                        prop_assert!(taken.insert(group.group, made).is_none(), "delivered twice");
                    }
                    let parts = step.partial_groups();
                    prop_assert!(parts.iter().all(|part| !taken.contains_key(&part.group)));
                    let spec = StepSpec { version, ..step.spec().clone() };
                    step = Step::new(spec, STALENESS_BOUND);
                    step.acknowledge(version, &taken.keys().copied().collect());
                    let kept: usize = parts.iter().map(|g| g.samples.len()).sum();
                    prop_assert_eq!(step.adopt(parts), kept);
                    running.clear();
                }
            }
            step.acknowledge(version, &taken.keys().copied().collect());
            running.extend(step.start(4));
            let open: BTreeSet<Slot> = running.iter().copied().collect();
            prop_assert_eq!(open.len(), running.len(), "a slot runs twice");
            let left = (0..groups).filter(|g| !taken.contains_key(g)).count();
            prop_assert_eq!(step.all_delivered(), left == 0);
            let ready = step.ready_groups(usize::MAX).len();
            prop_assert!(ready == left || !running.is_empty(), "nothing runs and groups are missing");
        }
    }

    /// Ranges contain the same numbers as a list, below the number of groups.
    #[test]
    fn ranges_equal_the_list(numbers in prop::collection::btree_set(0_u32..40, 0..30), end in 0_u32..50) {
        let ranges: Ranges = numbers.iter().copied().collect();
        let below: Vec<u32> = ranges.below(end).collect();
        let naive: Vec<u32> = numbers.iter().copied().filter(|n| *n < end).collect();
        prop_assert_eq!(below, naive);
    }
}

/// A complete training session, event by event: a step of two groups with late samples, a trainer
/// whose version advances in the middle, a lost reply, a late sample and a move to another node.
#[test]
fn training_session() {
    let mut log = String::new();
    let prompt = |samples, max_tokens| GroupSpec { prompt: "deal".to_owned(), samples, max_tokens };
    let spec = StepSpec { version: 5, groups: vec![prompt(2, 8), prompt(2, 64)] };
    let mut step = Step::new(spec.clone(), 1);
    let at = |group, index| Slot { group, index };
    writeln!(log, "submitted at 5: starts {:?}", names(&step.start(3))).unwrap();
    writeln!(log, "1/0 by 5: {:?}", step.fill(at(1, 0), sample(0, 5))).unwrap();
    writeln!(log, "starts {:?}", names(&step.start(3))).unwrap();
    writeln!(log, "0/0 by 3: {:?}", step.fill(at(0, 0), sample(0, 3))).unwrap();
    writeln!(log, "0/0 by 4: {:?}", step.fill(at(0, 0), sample(0, 4))).unwrap();
    writeln!(log, "1/1 by 5: {:?}", step.fill(at(1, 1), sample(1, 5))).unwrap();
    log_pull(&mut log, &mut step, 5, &[]);
    writeln!(log, "the reply is lost").unwrap();
    log_pull(&mut log, &mut step, 5, &[]);
    log_pull(&mut log, &mut step, 5, &[1]);
    writeln!(log, "1/1 by 5 again: {:?}", step.fill(at(1, 1), sample(1, 5))).unwrap();
    log_pull(&mut log, &mut step, 6, &[1]);
    writeln!(log, "starts {:?}", names(&step.start(3))).unwrap();
    writeln!(log, "0/1 by 6: {:?}", step.fill(at(0, 1), sample(1, 6))).unwrap();
    let parts = step.partial_groups();
    writeln!(log, "leaves with {:?}", describe_samples(&parts)).unwrap();
    let mut next = Step::new(StepSpec { version: 6, ..spec }, 1);
    next.acknowledge(6, &Ranges::from_iter([1]));
    writeln!(log, "the next adopts {}, starts {:?}", next.adopt(parts), names(&next.start(3)))
        .unwrap();
    writeln!(log, "0/0 by 6: {:?}", next.fill(at(0, 0), sample(0, 6))).unwrap();
    log_pull(&mut log, &mut next, 6, &[1]);
    log_pull(&mut log, &mut next, 6, &[0, 1]);
    insta::assert_snapshot!(log);
}

/// Returns each slot as group/index.
fn names(slots: &[Slot]) -> Vec<String> {
    slots.iter().map(|slot| format!("{}/{}", slot.group, slot.index)).collect()
}

/// Returns the samples of some groups, each with its oldest version.
fn describe_samples(groups: &[mulberrycourse::decide::Group]) -> Vec<String> {
    let name = |group, s: &Sample| format!("{group}/{} by {:?}", s.index, s.oldest());
    groups.iter().flat_map(|g| g.samples.iter().map(move |s| name(g.group, s))).collect()
}

/// Logs a pull of a trainer that is at this version and has these groups.
fn log_pull(log: &mut String, step: &mut Step, version: u64, have: &[u32]) {
    step.acknowledge(version, &have.iter().copied().collect());
    let ready = describe_samples(&step.ready_groups(9));
    writeln!(log, "pull at {version} with {have:?}: {ready:?}, complete: {}", step.all_delivered())
        .unwrap();
}
