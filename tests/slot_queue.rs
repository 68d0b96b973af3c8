//! Tests of samples that wait for a slot at a replica, simulated without a network.

#![allow(clippy::unwrap_used)]

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::decide::load::{
    MAX_SHARE_AGE, OpenStep, Share, ShareOrder, ShareOutcome, StepOrder, TextLength, Trainer,
};
use mulberrycourse::decide::{Fleet, Grant, ListedReplica, ReplicaOutcome, SlotQueue, SlotRequest};
use mulberrycourse::edge::replica::{ReplicaLoad, Target};
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(100);
/// The number of slots of a replica.
const SLOTS_PER_REPLICA: u32 = 6;
/// Time from the start of an attempt to its response head.
const HEAD_MS: u64 = 15;

fn fleet(replicas: usize, model: impl Fn(usize) -> &'static str) -> Fleet {
    let mut fleet = Fleet::new("z".into());
    for i in 0..replicas {
        let address = std::net::SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 80));
        fleet.upsert(ListedReplica {
            target: Target { id: format!("r{i:04}").into(), address, started_ms: None },
            service: "engines".into(),
            zone: "z".into(),
            slots: SLOTS_PER_REPLICA,
            draining: false,
            spot: false,
            versions: vec![(model(i).into(), 1)],
        });
    }
    fleet
}

fn request(model: &'static str) -> SlotRequest {
    SlotRequest {
        service: "engines".into(),
        model: Some(model.into()),
        min_version: 1,
        avoid: Vec::new(),
        length: TextLength::default(),
        apart: false,
    }
}

/// A step of a model at the service of all tests.
fn step(number: u64, priority: u8, model: &str, organisation: Option<&str>) -> OpenStep {
    OpenStep {
        id: number,
        order: number,
        priority,
        services: vec!["engines".into()],
        model: Some(model.into()),
        organisation: organisation.map(Into::into),
        due: None,
    }
}

/// Opens a step, and adds a waiting sample for each name of a group. The samples are notified by
/// the number of the step and their index.
fn add_step(waiting: &mut SlotQueue<(u64, u64)>, open: OpenStep, groups: &[&str]) {
    let (number, model) = (open.id, open.model.clone());
    waiting.open_step(StepOrder::new(open, groups.iter().copied()), NOW);
    for index in 0..groups.len() as u64 {
        let request = SlotRequest { model: model.clone(), ..request("") };
        waiting.add(number, index, request, (number, index));
    }
}

/// A fleet of one replica with one free slot, for the models "a" and "b" at version 1.
fn one_slot() -> Fleet {
    let mut fleet = fleet(1, |_| "a");
    let mut listed = fleet.get("r0000").unwrap().clone();
    listed.slots = 1;
    listed.versions.push(("b".into(), 1));
    fleet.upsert(listed);
    fleet
}

/// Lets this many samples begin, each at the only free slot, and returns them.
fn begin(waiting: &mut SlotQueue<(u64, u64)>, count: usize) -> Vec<(u64, u64)> {
    let one = |_| {
        let grants = waiting.assign_all(&mut one_slot(), NOW);
        assert!(grants.len() <= 1);
        grants.into_iter().next()
    };
    let grants: Vec<_> = (0..count).filter_map(one).collect();
    grants.iter().for_each(|grant| waiting.end_run(&grant.trainer));
    grants.into_iter().map(|grant| grant.grant).collect()
}

/// Simulates ten replicas in steps of one millisecond. Each response head reports the load of its
/// replica, two texts of other nodes included, and assigns a slot if `assign_on_head` is set. Every
/// `check_interval_ms` slots are assigned to all waiting texts. Returns the time in milliseconds
/// until `enough` of the `texts` have begun.
fn time_to_begin_ms(
    texts: u64,
    enough: usize,
    check_interval_ms: u64,
    assign_on_head: bool,
) -> u64 {
    let mut fleet = fleet(10, |_| "m");
    let mut waiting: SlotQueue<u64> = SlotQueue::default();
    let groups = (0..texts).map(|_| "g");
    waiting.open_step(StepOrder::new(step(0, 1, "m", None), groups), NOW);
    (0..texts).for_each(|i| waiting.add(0, i, request("m"), i));
    let mut due: BTreeMap<u64, Vec<Name>> = BTreeMap::new();
    let mut running: BTreeMap<Name, u32> = BTreeMap::new();
    let mut begun = 0;
    for millis in 0..10_000 {
        let now = NOW + Duration::from_millis(millis);
        let mut assigned = Vec::new();
        for id in due.remove(&millis).unwrap_or_default() {
            // Other nodes have two texts there.
            fleet.report_load(
                &id,
                ReplicaLoad { running: running[&id] + 2, waiting: 0, slowdown: None },
                now,
            );
            if assign_on_head {
                assigned.extend(waiting.assign_at(&id, &mut fleet, now));
            }
        }
        if millis % check_interval_ms == 0 {
            assigned.extend(waiting.assign_all(&mut fleet, now));
        }
        for Grant { target, .. } in assigned {
            begun += 1;
            *running.entry(target.id.clone()).or_default() += 1;
            due.entry(millis + HEAD_MS).or_default().push(target.id);
        }
        if begun >= enough {
            return millis;
        }
    }
    panic!("{begun} of {texts} begun")
}

/// A step of 80 texts at ten replicas of six slots, of which other nodes use two. Each replica gets
/// one text at a time, and the next one once it has reported its load. With only a check every
/// 50 ms, the fourth text at each began after 150 ms. With a response head every 15 ms, it begins
/// after 45 ms.
#[test]
fn a_response_head_frees_a_slot_at_once() {
    assert_eq!(time_to_begin_ms(80, 40, 50, true), 3 * HEAD_MS);
    assert!(time_to_begin_ms(80, 40, 50, false) >= 150);
}

#[test]
fn a_slot_is_assigned_to_the_first_sample_that_the_replica_serves() {
    let mut fleet = fleet(2, |i| if i == 0 { "a" } else { "b" });
    let mut waiting = SlotQueue::default();
    for open in [step(0, 2, "a", None), step(1, 1, "b", None), step(5, 1, "a", None)] {
        waiting.open_step(StepOrder::new(open, ["g"].into_iter()), NOW);
    }
    waiting.add(0, 0, request("a"), "late a");
    waiting.add(1, 0, request("b"), "first b");
    waiting.add(5, 0, request("a"), "first a");
    let assigned = waiting.assign_at("r0000", &mut fleet, NOW);
    let assigned: Vec<&str> = assigned.into_iter().map(|grant| grant.grant).collect();
    assert_eq!(assigned, ["first a"], "the next one waits for a report of the load");
    assert!(waiting.assign_at("gone", &mut fleet, NOW).is_empty());
    assert_eq!(waiting.assign_all(&mut fleet, NOW).len(), 1);
    waiting.remove(0, 0);
    assert!(waiting.is_empty());
}

#[test]
fn a_text_avoids_a_replica_that_failed_it() {
    let mut fleet = fleet(1, |_| "m");
    let mut waiting = SlotQueue::default();
    waiting.open_step(StepOrder::new(step(0, 1, "m", None), ["g"].into_iter()), NOW);
    waiting.add(0, 0, SlotRequest { avoid: vec!["r0000".into()], ..request("m") }, 0);
    assert!(waiting.assign_at("r0000", &mut fleet, NOW).is_empty());
    assert!(!waiting.is_empty());
}

/// Two trainers have more samples than there are slots. Guards against serving them strictly by
/// priority, by which the less urgent one gets nothing.
#[test]
fn a_less_urgent_trainer_gets_its_part_of_the_slots() {
    let mut waiting = SlotQueue::default();
    add_step(&mut waiting, step(0, 0, "a", None), &["g"; 100]);
    add_step(&mut waiting, step(100, 1, "b", None), &["g"; 100]);
    let begun = begin(&mut waiting, 45);
    assert_eq!(begun.iter().filter(|(step, _)| *step == 100).count(), 20, "{begun:?}");
}

/// Guards against serving organisations in proportion to what they ask for.
#[test]
fn an_organisation_with_a_hundred_times_the_samples_does_not_delay_another() {
    let mut waiting = SlotQueue::default();
    add_step(&mut waiting, step(0, 0, "a", Some("large")), &["g"; 500]);
    add_step(&mut waiting, step(1, 0, "a", Some("small")), &["g"; 5]);
    let begun = begin(&mut waiting, 11);
    assert_eq!(begun.iter().filter(|(step, _)| *step == 1).count(), 5, "{begun:?}");
}

/// Guards against order by submission, by which all groups are nearly complete when the step is due.
#[test]
fn groups_nearest_to_complete_come_first_when_trainers_compete() {
    let mut waiting = SlotQueue::default();
    add_step(&mut waiting, step(0, 0, "a", None), &["x", "y", "x", "z", "z", "y", "z"]);
    add_step(&mut waiting, step(1, 0, "b", None), &[]);
    // Two samples of the largest group ran before and have their results now.
    waiting.remove(0, 3);
    waiting.remove(0, 4);
    waiting.finish_sample(0, 3);
    waiting.finish_sample(0, 4);
    let indexes: Vec<u64> = begin(&mut waiting, 5).iter().map(|(_, index)| *index).collect();
    assert_eq!(indexes, [6, 0, 2, 1, 5]);
}

/// Guards against a late step that holds up one that could be in time, and against one that never
/// ends because later steps overtake it.
#[test]
fn a_late_step_comes_after_one_that_can_be_in_time_and_is_not_starved() {
    let mut waiting = SlotQueue::default();
    add_step(&mut waiting, step(9, 0, "b", None), &[]);
    let late = OpenStep { due: Some(NOW - Duration::from_secs(1)), ..step(0, 0, "a", None) };
    add_step(&mut waiting, late, &["g"; 50]);
    let timely = OpenStep { due: Some(NOW + Duration::from_secs(5)), ..step(1, 0, "a", None) };
    add_step(&mut waiting, timely, &["g"; 50]);
    let begun = begin(&mut waiting, 40);
    assert!(begun[..7].iter().all(|(step, _)| *step == 1), "{begun:?}");
    assert_eq!(begun.iter().filter(|(step, _)| *step == 0).count(), 5, "{begun:?}");
}

/// A step becomes late while its samples wait. Guards against ranks that are computed only once.
#[test]
fn a_step_becomes_late_while_it_waits() {
    let mut waiting = SlotQueue::default();
    add_step(&mut waiting, step(9, 0, "b", None), &[]);
    for (number, seconds) in [(0, 2), (1, 6)] {
        let due = Some(NOW + Duration::from_secs(seconds));
        add_step(&mut waiting, OpenStep { due, ..step(number, 0, "a", None) }, &["g"; 3]);
    }
    assert_eq!(begin(&mut waiting, 1), [(0, 0)]);
    waiting.refresh(NOW + Duration::from_secs(3));
    assert_eq!(begin(&mut waiting, 2), [(1, 0), (1, 1)]);
}

/// A service with one trainer. Guards against any change of the order there: by submission, and
/// within a step as given, however late a step is.
#[test]
fn a_single_trainer_keeps_the_order_of_submission() {
    let mut waiting = SlotQueue::default();
    let late = OpenStep { due: Some(NOW - Duration::from_secs(1)), ..step(0, 0, "a", None) };
    add_step(&mut waiting, late, &["x", "y", "x", "y"]);
    let timely = OpenStep { due: Some(NOW + Duration::from_secs(5)), ..step(1, 0, "a", None) };
    add_step(&mut waiting, timely, &["g"]);
    waiting.finish_sample(0, 3);
    waiting.refresh(NOW);
    assert_eq!(begin(&mut waiting, 9), [(0, 0), (0, 1), (0, 2), (0, 3), (1, 0)]);
}

/// An organisation waits for a version that no replica serves yet. Guards against slots that stay
/// free while another organisation could use them.
#[test]
fn samples_of_a_version_that_is_not_served_do_not_block_others() {
    let mut waiting = SlotQueue::default();
    for (number, organisation, min_version) in [(0, "new", 2), (1, "old", 1)] {
        let open = step(number, 0, "a", Some(organisation));
        waiting.open_step(StepOrder::new(open, ["g"].into_iter()), NOW);
        let want = SlotRequest { min_version, ..request("a") };
        waiting.add(number, 0, want, (number, 0));
    }
    assert_eq!(begin(&mut waiting, 2), [(1, 0)]);
}

/// A step is stopped and its samples are dropped after the next step has begun with the same start
/// tag. Guards against the end of the former closing the latter, whose samples would get no slot.
#[test]
fn the_end_of_a_step_leaves_another_with_the_same_start_tag_open() {
    let mut waiting = SlotQueue::default();
    let same_tag = |id| OpenStep { id, ..step(5, 0, "a", None) };
    add_step(&mut waiting, same_tag(1), &["x"]);
    add_step(&mut waiting, same_tag(2), &["x", "y"]);
    waiting.remove(1, 0);
    waiting.close_step(1, NOW);
    assert_eq!(begin(&mut waiting, 3), [(2, 0), (2, 1)]);
}

/// Guards against a queue that keeps samples or trainers of steps that are over.
#[test]
fn a_closed_step_leaves_the_order_to_a_single_trainer() {
    let mut waiting = SlotQueue::default();
    add_step(&mut waiting, step(0, 0, "a", None), &["x", "y", "x"]);
    add_step(&mut waiting, step(1, 0, "b", None), &["x"]);
    waiting.remove(1, 0);
    waiting.close_step(1, NOW);
    assert_eq!(begin(&mut waiting, 9), [(0, 0), (0, 1), (0, 2)]);
    assert!(waiting.is_empty());
}

/// Returns an order that gives the trainer of a model this many slots.
fn share_order(sequence: u64, model: &str, slots: u32) -> ShareOrder {
    let trainer =
        Trainer { service: "engines".into(), model: Some(model.into()), organisation: None };
    ShareOrder {
        fence: 1,
        sequence,
        age: Duration::ZERO,
        shares: vec![Share { trainer, slots }],
        contended: vec!["engines".into()],
    }
}

/// Returns how many samples of each of the steps 0 and 1 begin at once with this many free slots.
fn begin_at_once(waiting: &mut SlotQueue<(u64, u64)>, slots: u32, now: Duration) -> [usize; 2] {
    let mut fleet = one_slot();
    let mut listed = fleet.get("r0000").unwrap().clone();
    listed.slots = slots;
    fleet.upsert(listed);
    fleet.report_no_load("r0000");
    let begun = waiting.assign_over_share(&mut fleet, now);
    [0, 1].map(|step| begun.iter().filter(|grant| grant.grant.0 == step).count())
}

/// Guards against a trainer that takes the slots of another node's trainer.
#[test]
fn a_trainer_gets_slots_up_to_its_share_while_others_need_them() {
    let mut waiting = SlotQueue::default();
    add_step(&mut waiting, step(0, 0, "a", None), &["g"; 50]);
    add_step(&mut waiting, step(1, 5, "b", None), &["g"; 50]);
    assert_eq!(waiting.set_shares(share_order(1, "a", 3), NOW), ShareOutcome::Accepted);
    assert_eq!(begin_at_once(&mut waiting, 10, NOW), [3, 7]);
    // One slot beyond the share, which no other trainer here takes.
    assert_eq!(begin_at_once(&mut waiting, 60, NOW), [1, 43]);
    assert_eq!(begin_at_once(&mut waiting, 60, NOW), [1, 0]);
    let trainer = share_order(0, "a", 0).shares.remove(0).trainer;
    assert_eq!(waiting.demand(9).len(), 2);
    (0..4).for_each(|_| waiting.end_run(&trainer));
    assert_eq!(begin_at_once(&mut waiting, 60, NOW), [3, 0], "2 within the share, 1 beyond it");
    // Only at intervals: a sample that ends leaves its slot to others.
    waiting.end_run(&trainer);
    assert!(waiting.assign_all(&mut one_slot(), NOW).is_empty());
}

/// Guards against a trainer that is held back by shares of a leader that is gone.
#[test]
fn shares_do_not_apply_once_they_have_expired() {
    let mut waiting = SlotQueue::default();
    add_step(&mut waiting, step(0, 0, "a", None), &["g"; 50]);
    let _ = waiting.set_shares(share_order(1, "a", 3), NOW);
    assert_eq!(begin_at_once(&mut waiting, 20, NOW), [4, 0]);
    assert_eq!(begin_at_once(&mut waiting, 20, NOW + MAX_SHARE_AGE), [20, 0]);
}

/// Guards against shares of which a raised one has no effect until a sample ends.
#[test]
fn a_raised_share_applies_at_once() {
    let mut waiting = SlotQueue::default();
    add_step(&mut waiting, step(0, 0, "a", None), &["g"; 50]);
    let _ = waiting.set_shares(share_order(1, "a", 3), NOW);
    assert_eq!(begin_at_once(&mut waiting, 20, NOW), [4, 0]);
    let _ = waiting.set_shares(share_order(2, "a", 10), NOW);
    assert_eq!(begin_at_once(&mut waiting, 20, NOW), [7, 0]);
}

/// A sample joins the queue while its trainer holds its share. Guards against a queue that forgets
/// the share when it was empty in between.
#[test]
fn a_sample_that_joins_later_waits_for_the_share_too() {
    let mut waiting = SlotQueue::default();
    add_step(&mut waiting, step(0, 0, "a", None), &["g"; 2]);
    let _ = waiting.set_shares(share_order(1, "a", 2), NOW);
    assert_eq!(begin_at_once(&mut waiting, 2, NOW), [2, 0]);
    add_step(&mut waiting, step(1, 5, "b", None), &["g"; 4]);
    add_step(&mut waiting, step(2, 0, "a", None), &["g"; 4]);
    assert_eq!(begin(&mut waiting, 4), [(1, 0), (1, 1), (1, 2), (1, 3)]);
}

/// Returns how many kinds, trainers and samples the queue looks at for each slot that becomes free,
/// with this number of trainers, half of which hold their shares, and for each sample that ends.
/// The trainers are organisations with one model, or each has a model of its own.
fn examined_per_slot(trainers: u64, one_model: bool) -> (u64, u64) {
    const SLOTS: u64 = 200;
    let model = |i: u64| if one_model { "m".to_owned() } else { format!("m{i}") };
    let mut waiting: SlotQueue<(u64, u64)> = SlotQueue::default();
    let mut orders = Vec::new();
    for number in 0..trainers {
        let organisation = format!("o{number}");
        let open = step(number, (number % 3) as u8, &model(number), Some(&organisation));
        let groups = ["w", "x", "y", "z"].iter().flat_map(|group| [*group; 8]);
        add_step(&mut waiting, open, &groups.collect::<Vec<_>>());
        if number % 2 == 1 {
            let order = share_order(1, &model(number), 1).shares.remove(0);
            let organisation = Some(organisation.into());
            orders.push(Share { trainer: Trainer { organisation, ..order.trainer }, slots: 1 });
        }
    }
    let _ = waiting.set_shares(ShareOrder { shares: orders, ..share_order(1, "", 1) }, NOW);
    let mut fleet = fleet(1, |_| "m");
    let (mut examined, mut begun) = (0, 0);
    for slot in 0..SLOTS {
        let mut listed = fleet.get("r0000").unwrap().clone();
        listed.slots = slot as u32 + 1;
        listed.versions = vec![(model(slot % trainers).into(), 1)];
        fleet.upsert(listed);
        fleet.report_no_load("r0000");
        let before = waiting.examined();
        begun += waiting.assign_at("r0000", &mut fleet, NOW).len() as u64;
        examined += waiting.examined() - before;
    }
    assert!(begun >= SLOTS / 2, "{begun}");
    let before = waiting.examined();
    (0..SLOTS).for_each(|i| waiting.finish_sample(i % trainers, i / trainers));
    (examined / SLOTS, (waiting.examined() - before) / SLOTS)
}

/// Guards against a cost per slot or per result that grows with the number of trainers.
#[test]
fn the_cost_of_a_decision_does_not_grow_with_the_number_of_trainers() {
    for one_model in [true, false] {
        for trainers in [10, 100, 1_000] {
            let (slot, result) = examined_per_slot(trainers, one_model);
            assert!(slot <= 10, "{slot} per slot, {trainers} trainers, one model: {one_model}");
            assert!(result <= 8, "{result} per result, {trainers} trainers");
        }
    }
}

proptest! {
    /// For any sequence of events, no sample gets two slots, no replica gets more texts than it
    /// has slots, and no sample overtakes an earlier one of its kind.
    #[test]
    fn slots_are_assigned_once_and_in_order(
        steps in prop::collection::vec((0_u8..5, 0_usize..4, 0_u64..30), 1..200),
    ) {
        let models = ["a", "b"];
        let mut fleet = fleet(4, |i| models[i % 2]);
        let mut waiting: SlotQueue<(usize, u64)> = SlotQueue::default();
        for (kind, model) in models.into_iter().enumerate() {
            let groups = (0..30).map(|_| "g");
            waiting.open_step(StepOrder::new(step(kind as u64, 1, model, None), groups), NOW);
        }
        let mut open: BTreeSet<(usize, u64)> = BTreeSet::new();
        let mut running: BTreeMap<Name, u32> = BTreeMap::new();
        let mut assigned_before = BTreeSet::new();
        for (tick, (step, replica, index)) in steps.into_iter().enumerate() {
            let now = NOW + Duration::from_millis(tick as u64 * 10);
            let id = format!("r{replica:04}");
            let kind = replica % 2;
            let assigned = match step {
                0 | 1 => {
                    if !assigned_before.contains(&(kind, index)) && open.insert((kind, index)) {
                        waiting.add(kind as u64, index, request(models[kind]), (kind, index));
                    }
                    Vec::new()
                }
                2 => {
                    waiting.remove(kind as u64, index);
                    open.remove(&(kind, index));
                    Vec::new()
                }
                3 => {
                    let own = running.get(&*id).copied().unwrap_or(0);
                    if own > 0 {
                        fleet.end_attempt(&id, None, ReplicaOutcome::Abandoned, now);
                        running.insert(id.clone().into(), own - 1);
                    }
                    fleet.report_load(&id, ReplicaLoad { running: own.saturating_sub(1), waiting: 0, slowdown: None }, now);
                    waiting.assign_at(&id, &mut fleet, now)
                }
                _ => waiting.assign_all(&mut fleet, now),
            };
            for Grant { grant: (kind, index), target, .. } in assigned {
                prop_assert!(open.remove(&(kind, index)));
                prop_assert!(assigned_before.insert((kind, index)));
                prop_assert!(!open.iter().any(|(k, i)| *k == kind && *i < index));
                let count = running.entry(target.id).or_default();
                *count += 1;
                prop_assert!(*count <= SLOTS_PER_REPLICA);
            }
        }
    }
}

/// Guards against the longest samples of a step beginning last because their groups have more
/// missing samples than others: a step that its slots can run in a few rounds ends with them.
#[test]
fn a_step_by_length_keeps_its_order_when_groups_progress() {
    let mut waiting: SlotQueue<(u64, u64)> = SlotQueue::default();
    for number in 0..2 {
        let open = step(number, 0, ["a", "b"][number as usize], None);
        waiting.open_step(StepOrder::by_length(open), NOW);
        for index in 0..4 {
            let request = request(["a", "b"][number as usize]);
            waiting.add(number, index, request, (number, index));
        }
    }
    waiting.finish_sample(0, 3);
    waiting.refresh(NOW);
    let mut fleet = fleet(1, |_| "a");
    let granted = waiting.assign_all(&mut fleet, NOW);
    let first: Vec<u64> = granted.iter().filter(|g| g.grant.0 == 0).map(|g| g.grant.1).collect();
    assert!(first.is_sorted(), "{first:?}");
    assert_eq!(first.first(), Some(&0));
}
