//! Tests of samples that wait for a slot at a replica, simulated without a network.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::decide::load::TextLength;
use mulberrycourse::decide::{Fleet, ListedReplica, ReplicaOutcome, SlotQueue, SlotRequest};
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
    }
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
    (0..texts).for_each(|i| waiting.add((1, 0, i), request("m"), i));
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
        for (_, target) in assigned {
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
    waiting.add((2, 0, 0), request("a"), "late a");
    waiting.add((1, 0, 0), request("b"), "first b");
    waiting.add((1, 5, 0), request("a"), "first a");
    let assigned = waiting.assign_at("r0000", &mut fleet, NOW);
    let assigned: Vec<&str> = assigned.into_iter().map(|(name, _)| name).collect();
    assert_eq!(assigned, ["first a"], "the next one waits for a report of the load");
    assert!(waiting.assign_at("gone", &mut fleet, NOW).is_empty());
    assert_eq!(waiting.assign_all(&mut fleet, NOW).len(), 1);
    waiting.remove((2, 0, 0), &"engines".into(), &Some("a".into()));
    assert!(waiting.is_empty());
}

#[test]
fn a_text_avoids_a_replica_that_failed_it() {
    let mut fleet = fleet(1, |_| "m");
    let mut waiting = SlotQueue::default();
    waiting.add((1, 0, 0), SlotRequest { avoid: vec!["r0000".into()], ..request("m") }, 0);
    assert!(waiting.assign_at("r0000", &mut fleet, NOW).is_empty());
    assert!(!waiting.is_empty());
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
                        waiting.add((1, 0, index), request(models[kind]), (kind, index));
                    }
                    Vec::new()
                }
                2 => {
                    waiting.remove((1, 0, index), &"engines".into(), &Some(models[kind].into()));
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
            for ((kind, index), target) in assigned {
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
