//! Tests of weight rollouts without sockets: independent owners with lagging views.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::decide::{
    EngineObservation, Rollout, RolloutStage, SwapChains, TargetWeights, WeightLoadBudget,
};
use proptest::prelude::*;
use standins::rollout::{RolloutSimulation, TICK_DURATION};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Many owners, lagging reports, swaps that fail partway and a bundle that changes during a
    /// rollout: never more engines swap at once than there are chains, and all reach the target.
    #[test]
    fn swaps_are_bounded_by_the_chains(
        engines in 1_usize..20,
        nodes in 1_usize..6,
        percent in 1_u32..=100,
        swap_ticks in 1_u32..20,
        failures in prop::collection::vec(0_u32..2, 20),
        ticks_before_change in 1_u32..200,
    ) {
        let mut world = RolloutSimulation::new(engines, nodes, percent);
        for (engine, failures) in world.engines.iter_mut().zip(failures) {
            engine.failing_swaps = failures;
        }
        for _ in 0..ticks_before_change {
            world.tick(TargetWeights { generation: 2, version: 2 }, swap_ticks, None);
        }
        let next = TargetWeights { generation: 3, version: 3 };
        for _ in 0..20_000 {
            world.tick(next, swap_ticks, None);
            if world.is_settled(3) {
                break;
            }
        }
        prop_assert!(world.is_settled(3));
        prop_assert!(world.peak_swapping <= world.chains.len());
    }

    /// Chains contain every engine once, differ in length by at most one, and do not depend on the
    /// order of the list.
    #[test]
    fn chains_are_even(engines in 1_usize..60, percent in 1_u32..=100) {
        let mut names: Vec<Name> = (0..engines).map(|i| format!("e{i}").into()).collect();
        let chains = SwapChains::new("patter", &names, percent);
        prop_assert_eq!(chains.len(), (engines * percent as usize / 100).max(1));
        let lengths: Vec<usize> = names.iter().map(|e| chains.of(e).len()).collect();
        let (least, most) = (lengths.iter().min().unwrap(), lengths.iter().max().unwrap());
        prop_assert!(most - least <= 1);
        names.reverse();
        prop_assert_eq!(chains, SwapChains::new("patter", &names, percent));
    }
}

/// An engine that does not answer is skipped by its chain.
#[test]
fn dead_engine_does_not_block_its_chain() {
    let mut world = RolloutSimulation::new(6, 2, 34);
    let first = world.chains.of(&world.names[0].clone())[0].clone();
    let dead = world.index(&first);
    world.engines[dead].alive = false;
    let target = TargetWeights { generation: 2, version: 2 };
    for _ in 0..1_000 {
        world.tick(target, 4, None);
    }
    assert!(world.is_settled(2));
    assert!(world.peak_swapping <= 2);
}

/// A node is paused during a rollout: the next owners of its engines give the orders.
#[test]
fn engines_of_a_paused_owner_get_other_owners() {
    let mut world = RolloutSimulation::new(9, 3, 34);
    let target = TargetWeights { generation: 2, version: 2 };
    for _ in 0..20 {
        world.tick(target, 10, None);
    }
    for _ in 0..400 {
        world.tick(target, 10, Some(0));
    }
    assert!(world.is_settled(2));
    assert!(world.peak_swapping <= 3);
}

/// A settled engine accepts an old order: it gets a correcting order, which is counted.
#[test]
fn wrong_version_is_corrected() {
    let mut world = RolloutSimulation::new(3, 2, 34);
    let target = TargetWeights { generation: 2, version: 2 };
    while !world.is_settled(2) {
        world.tick(target, 4, None);
    }
    for _ in 0..40 {
        world.tick(target, 4, None);
    }
    world.engines[1].order(1, 4);
    for _ in 0..100 {
        world.tick(target, 4, None);
    }
    assert!(world.is_settled(2));
    assert_eq!(world.corrections, 1);
}

/// Owners begin with one load and then stay within their share of the rate of the store.
#[test]
fn load_budget_keeps_the_rate() {
    let mut budget = WeightLoadBudget::default();
    let mut taken = 0;
    for tick in 0..200 {
        let now = TICK_DURATION * tick;
        budget.set(10, 3, 30, now);
        taken += u32::from(budget.take(now));
    }
    // A tenth of 10 per second over 10 s, and the initial one.
    assert!((10..=11).contains(&taken), "{taken}");
}

/// A settled engine that refuses old orders is polled less often than one that accepts them.
#[test]
fn fenced_engines_are_polled_less_often() {
    let target = TargetWeights { generation: 1, version: 1 };
    let name: Name = "engine".into();
    let polls = |fenced| {
        let mut rollout = Rollout::new(target, Duration::ZERO);
        rollout.set_target(target, fenced, Duration::ZERO);
        let due = (0..200).map(|tick| TICK_DURATION * tick).filter(|now| {
            let due = rollout.poll_due(&name, *now);
            if due {
                rollout.observe(
                    &name,
                    EngineObservation::Report { version: Some(1), swapping: false },
                    *now,
                );
            }
            due
        });
        due.count()
    };
    assert_eq!(polls(true), 10);
    assert_eq!(polls(false), 40);
    assert_eq!(RolloutStage::of(EngineObservation::Silent, target), RolloutStage::Silent);
}
