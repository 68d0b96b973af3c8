//! Tests of the shares of slots that trainers have over all nodes.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::decide::load::{
    MAX_SHARE_AGE, Share, ShareOrder, ShareOutcome, ShareView, SlotPool, Trainer, TrainerDemand,
    compute_shares,
};
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(100);

fn trainer(model: &str, organisation: Option<&str>) -> Trainer {
    Trainer {
        service: "engines".into(),
        model: Some(model.into()),
        organisation: organisation.map(Into::into),
    }
}

fn demand(trainer: Trainer, priority: u8, waiting: u32, running: u32) -> TrainerDemand {
    TrainerDemand { trainer, priority, waiting, running }
}

fn pool(models: &[&str], slots: u32) -> SlotPool {
    SlotPool { models: models.iter().map(|model| Name::from(*model)).collect(), slots }
}

/// Returns the shares of the demands, each at a node of its own, in order; none for a trainer
/// without one.
fn shares(demands: Vec<TrainerDemand>, pools: &[SlotPool]) -> Vec<Option<u32>> {
    let count = demands.len();
    let name = |i: usize| Name::from(format!("n{i}"));
    let nodes: Vec<_> = demands.into_iter().enumerate().map(|(i, d)| (name(i), vec![d])).collect();
    let computed = compute_shares(&nodes, |_| pools.to_vec());
    let of = |i| computed.by_node.get(&name(i)).map(|shares| shares[0].slots);
    (0..count).map(of).collect()
}

/// Guards against shares by demand, and against slots that one trainer leaves and nobody gets.
#[test]
fn slots_are_shared_by_weight_and_what_one_does_not_need_goes_to_the_others() {
    let (a, b, c) = (trainer("a", None), trainer("b", None), trainer("c", None));
    let demands = vec![demand(a, 0, 0, 10), demand(b, 0, 900, 80), demand(c, 1, 100, 10)];
    let shares = shares(demands, &[pool(&["a", "b", "c"], 100)]);
    assert_eq!(shares[1..], [Some(50), Some(40)]);
    assert_eq!(shares[0], Some(50), "one that needs little now may need more in a moment");
}

/// Guards against caps where they can only do harm.
#[test]
fn there_are_no_shares_for_a_single_trainer_or_with_enough_slots() {
    let pools = [pool(&["a", "b"], 100)];
    let (a, b) = (trainer("a", None), trainer("b", None));
    assert_eq!(shares(vec![demand(a.clone(), 0, 900, 100)], &pools), [None]);
    let enough = vec![demand(a.clone(), 0, 5, 50), demand(b.clone(), 1, 5, 20)];
    assert_eq!(shares(enough, &pools), [None, None], "30 slots are free");
    let content = vec![demand(a, 0, 0, 80), demand(b, 1, 0, 20)];
    assert_eq!(shares(content, &pools), [None, None], "no sample waits");
}

/// The replicas do not all serve the same models. Guards against a trainer that is held back though
/// nobody else can use the slots.
#[test]
fn slots_that_only_one_trainer_can_use_are_not_withheld_from_it() {
    let (a, b) = (trainer("a", None), trainer("b", None));
    let pools = [pool(&["a"], 60), pool(&["a", "b"], 40)];
    let demands = vec![demand(a, 3, 500, 60), demand(b, 0, 500, 40)];
    let shares = shares(demands, &pools);
    assert_eq!(shares, [Some(60), Some(40)]);
}

/// Each replica serves one model. Guards against a trainer that is held back on replicas that nobody
/// else can use, and against organisations that compete for one model unnoticed while replicas of
/// another one are free.
#[test]
fn replicas_of_different_models_are_shared_apart() {
    let pools = [pool(&["a"], 60), pool(&["b"], 40), pool(&["c"], 100)];
    let (x, y) = (trainer("a", Some("x")), trainer("a", Some("y")));
    let demands = vec![
        demand(x, 0, 500, 59),
        demand(y, 0, 10, 1),
        demand(trainer("b", None), 0, 500, 40),
        demand(trainer("c", None), 0, 0, 5),
    ];
    assert_eq!(shares(demands, &pools), [Some(49), Some(49), None, None]);
}

/// Guards against an organisation that gets more by asking for more.
#[test]
fn an_organisation_that_asks_for_a_hundred_times_its_share_gets_its_share() {
    let of = |name, waiting| demand(trainer("a", Some(name)), 0, waiting, 25);
    let pools = [pool(&["a"], 100)];
    let modest = shares(vec![of("x", 75), of("y", 75), of("z", 75), of("w", 75)], &pools);
    let greedy = shares(vec![of("x", 7_500), of("y", 75), of("z", 75), of("w", 75)], &pools);
    assert_eq!(greedy, modest);
}

/// A trainer has steps at two nodes, as after a takeover. Guards against a share for each of them.
#[test]
fn the_nodes_of_a_trainer_divide_its_share() {
    let (a, b) = (trainer("a", None), trainer("b", None));
    let demands = vec![demand(a.clone(), 0, 250, 50), demand(a, 0, 50, 50), demand(b, 0, 300, 0)];
    let shares = shares(demands, &[pool(&["a", "b"], 100)]);
    assert_eq!(shares, [Some(38), Some(13), Some(50)]);
}

/// A node reports impossible figures. Guards against a node that takes all slots from the others.
#[test]
fn impossible_figures_are_ignored() {
    let (a, b, c) = (trainer("a", None), trainer("b", None), trainer("c", None));
    let demands =
        vec![demand(a, 0, u32::MAX, u32::MAX), demand(b, 0, 100, 50), demand(c, 200, 100, 50)];
    let shares = shares(demands, &[pool(&["a", "b", "c"], 100)]);
    assert_eq!(shares[0], None);
    assert_eq!(shares[1..], [Some(88), Some(12)], "a priority out of range counts as the lowest");
}

fn order(fence: u64, sequence: u64, age_ms: u64, slots: u32) -> ShareOrder {
    ShareOrder {
        fence,
        sequence,
        age: Duration::from_millis(age_ms),
        shares: vec![Share { trainer: trainer("a", None), slots }],
        contended: vec!["engines".into()],
    }
}

/// Two nodes believe that they lead, or messages overtake each other. Guards against shares that are
/// replaced by older ones.
#[test]
fn older_shares_do_not_replace_newer_ones() {
    let mut view = ShareView::default();
    let a = trainer("a", None);
    assert_eq!(view.accept(order(7, 4, 0, 30), NOW), ShareOutcome::Accepted);
    assert_eq!(view.accept(order(6, 9, 0, 10), NOW), ShareOutcome::OldTerm);
    assert_eq!(view.accept(order(7, 4, 0, 10), NOW), ShareOutcome::OldSequence);
    assert_eq!(view.accept(order(7, 3, 0, 10), NOW), ShareOutcome::OldSequence);
    assert_eq!(view.accept(order(7, 5, 3_000, 10), NOW), ShareOutcome::TooOld);
    assert_eq!(view.share(&a), Some(30));
    assert_eq!(view.accept(order(8, 1, 0, 20), NOW), ShareOutcome::Accepted);
    assert_eq!(view.share(&a), Some(20));
    // The leader of the term before is still ignored when the shares have expired.
    assert!(view.expire(NOW + MAX_SHARE_AGE));
    assert_eq!(view.accept(order(7, 6, 0, 30), NOW + MAX_SHARE_AGE), ShareOutcome::OldTerm);
}

/// The leader is gone. Guards against a trainer that is held back for ever, and against an age that
/// counts only from the receipt.
#[test]
fn shares_expire_with_their_age() {
    let mut view = ShareView::default();
    let _ = view.accept(order(7, 1, 1_000, 0), NOW);
    assert_eq!(view.share(&trainer("a", None)), Some(1), "a share is never empty");
    assert!(!view.expire(NOW + Duration::from_millis(1_999)));
    assert!(view.expire(NOW + Duration::from_millis(2_000)));
    assert_eq!(view.share(&trainer("a", None)), None);
    assert!(view.contended().is_empty());
}

proptest! {
    /// For any demand of trainers at one pool, every slot that can be used may be used, every
    /// trainer has a slot, and nobody has less than another of the same weight that gets all that
    /// it asks for.
    #[test]
    fn shares_use_all_slots_and_leave_nobody_out(
        trainers in prop::collection::vec((0_u8..10, 1_u32..300), 2..30),
        slots in 1_u32..400,
    ) {
        let demands: Vec<TrainerDemand> = trainers
            .iter()
            .enumerate()
            .map(|(i, (priority, waiting))| {
                demand(trainer("a", Some(&format!("o{i:02}"))), *priority, *waiting, 0)
            })
            .collect();
        // All slots are in use by the first trainer, so that none is free.
        let mut demands = demands;
        demands[0].running = slots;
        let wanted: Vec<u32> = demands.iter().map(|d| d.waiting + d.running).collect();
        let shares = shares(demands, &[pool(&["a"], slots)]);
        let usable: u32 =
            shares.iter().zip(&wanted).map(|(share, wanted)| share.unwrap_or(*wanted).min(*wanted)).sum();
        let rounding = trainers.len() as u32;
        prop_assert!(usable + rounding >= slots.min(wanted.iter().sum()));
        prop_assert!(shares.iter().flatten().all(|share| *share >= 1));
        let of = |i: usize| shares[i].unwrap_or(u32::MAX);
        for (i, (priority, _)) in trainers.iter().enumerate() {
            for (j, (other, _)) in trainers.iter().enumerate() {
                if priority == other {
                    prop_assert!(of(i) + 1 >= of(j).min(wanted[j]));
                }
            }
        }
    }
}
