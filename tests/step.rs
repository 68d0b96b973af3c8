//! A trainer's step, without sockets.
#![allow(clippy::unwrap_used)]

use mulberrycourse::decide::{Fill, Prompt, Ranges, Sample, Slot, Span, Spec, Step};

fn step(groups: u32, samples: u32, bound: u64) -> Step {
    let prompt = Prompt { prompt: "deal".to_owned(), samples, max_tokens: 4 };
    Step::new(Spec { version: 5, groups: vec![prompt; groups as usize] }, bound)
}

fn sample(index: u32, version: u64) -> Sample {
    let label = vec![Span { version, from: 0, to: 4 }];
    Sample { index, text: "ace".to_owned(), label, upstream: "patter-0".into() }
}

/// A trainer claims groups that the step does not have: the step is not whole for that.
#[test]
fn unknown_groups_complete_nothing() {
    let mut step = step(2, 1, 1);
    step.acknowledge(5, &Ranges::from_iter([7, 8]));
    assert!(!step.complete());
    assert_eq!(step.start(usize::MAX).len(), 2);
}

/// The trainer moves on between two deliveries: what was fresh is taken back and begun again.
#[test]
fn second_delivery_is_judged_again() {
    let mut step = step(1, 1, 1);
    let slot = Slot { group: 0, index: 0 };
    assert_eq!(step.start(usize::MAX), [slot]);
    assert_eq!(step.fill(slot, sample(0, 4)), Fill::Kept);
    step.acknowledge(5, &Ranges::from_iter([]));
    assert_eq!(step.ready(1).len(), 1);
    step.acknowledge(6, &Ranges::from_iter([]));
    assert_eq!(step.ready(1).len(), 0);
    assert_eq!(step.start(usize::MAX), [slot]);
}

/// The trainer moves on while a sample is under way.
#[test]
fn sample_is_judged_as_it_arrives() {
    let mut step = step(1, 2, 1);
    step.start(usize::MAX);
    step.acknowledge(7, &Ranges::from_iter([]));
    let slot = Slot { group: 0, index: 0 };
    assert_eq!(step.fill(slot, sample(0, 5)), Fill::Stale);
    assert_eq!(step.fill(slot, sample(0, 6)), Fill::Kept);
}
