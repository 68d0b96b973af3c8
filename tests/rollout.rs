//! Weight rollout without sockets: owners with lagging views, each on its own.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::decide::{
    EngineObservation, Rollout, RolloutStage, SwapChains, TargetWeights, WeightLoadBudget,
};
use proptest::prelude::*;
use standins::rollout::{TICK, World};

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// Many owners, lagging reports, swaps that fail partway and a bundle that changes in the
    /// middle of a rollout: never more engines swap at once than there are chains, and all
    /// arrive.
    #[test]
    fn floor_on_capacity_holds(
        engines in 1_usize..20,
        nodes in 1_usize..6,
        percent in 1_u32..=100,
        swap in 1_u32..20,
        failures in prop::collection::vec(0_u32..2, 20),
        second in 1_u32..200,
    ) {
        let mut world = World::new(engines, nodes, percent);
        for (engine, failures) in world.engines.iter_mut().zip(failures) {
            engine.failures = failures;
        }
        for _ in 0..second {
            world.tick(TargetWeights { generation: 2, version: 2 }, swap, None);
        }
        let last = TargetWeights { generation: 3, version: 3 };
        for _ in 0..20_000 {
            world.tick(last, swap, None);
            if world.settled(3) {
                break;
            }
        }
        prop_assert!(world.settled(3));
        prop_assert!(world.swapping <= world.chains.len());
    }

    /// Chains hold every engine once, are as long as each other, and the same for every order
    /// of the list.
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

/// An engine is dead: its chain goes on without it.
#[test]
fn dead_engine_holds_nothing_up_for_good() {
    let mut world = World::new(6, 2, 34);
    let first = world.chains.of(&world.names[0].clone())[0].clone();
    let dead = world.index(&first);
    world.engines[dead].alive = false;
    let wanted = TargetWeights { generation: 2, version: 2 };
    for _ in 0..1_000 {
        world.tick(wanted, 4, None);
    }
    assert!(world.settled(2));
    assert!(world.swapping <= 2);
}

/// A node is paused in the middle of a rollout: its successors order its engines.
#[test]
fn paused_owner_is_succeeded() {
    let mut world = World::new(9, 3, 34);
    let wanted = TargetWeights { generation: 2, version: 2 };
    for _ in 0..20 {
        world.tick(wanted, 10, None);
    }
    for _ in 0..400 {
        world.tick(wanted, 10, Some(0));
    }
    assert!(world.settled(2));
    assert!(world.swapping <= 3);
}

/// An engine that had arrived takes an old order: it is ordered back, and that is counted.
#[test]
fn wrong_version_is_corrected() {
    let mut world = World::new(3, 2, 34);
    let wanted = TargetWeights { generation: 2, version: 2 };
    while !world.settled(2) {
        world.tick(wanted, 4, None);
    }
    for _ in 0..40 {
        world.tick(wanted, 4, None);
    }
    world.engines[1].order(1, 4);
    for _ in 0..100 {
        world.tick(wanted, 4, None);
    }
    assert!(world.settled(2));
    assert_eq!(world.corrections, 1);
}

/// Owners begin with one load and then keep to their share of the store's rate.
#[test]
fn shares_keep_the_rate() {
    let mut share = WeightLoadBudget::default();
    let mut taken = 0;
    for tick in 0..200 {
        let now = TICK * tick;
        share.set(10, 3, 30, now);
        taken += u32::from(share.take(now));
    }
    // A tenth of 10 a second over 10 s, and the one to begin with.
    assert!((10..=11).contains(&taken), "{taken}");
}

/// A settled engine that refuses old orders is looked at less often than one that takes them.
#[test]
fn looks_are_rarer_where_fencing_holds() {
    let wanted = TargetWeights { generation: 1, version: 1 };
    let name: Name = "engine".into();
    let looks = |fenced| {
        let mut rollout = Rollout::new(wanted, Duration::ZERO);
        rollout.set_target(wanted, fenced, Duration::ZERO);
        let due = (0..200).map(|tick| TICK * tick).filter(|now| {
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
    assert_eq!(looks(true), 10);
    assert_eq!(looks(false), 40);
    assert_eq!(RolloutStage::of(EngineObservation::Silent, wanted), RolloutStage::Silent);
}
