//! Who waits for a place at a replica, played without a network.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::decide::{Fleet, ListedReplica, ReplicaOutcome, SlotQueue, SlotRequest};
use mulberrycourse::edge::replica::{ReplicaLoad, Target};
use proptest::prelude::*;

const NOW: Duration = Duration::from_secs(100);
const SLOTS: u32 = 6;
/// How long an answer's head takes.
const HEAD: u64 = 15;

fn fleet(replicas: usize, model: impl Fn(usize) -> &'static str) -> Fleet {
    let mut fleet = Fleet::new("z".into());
    for i in 0..replicas {
        let address = std::net::SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 80));
        fleet.upsert(ListedReplica {
            target: Target { id: format!("r{i:04}").into(), address, started_ms: None },
            service: "engines".into(),
            zone: "z".into(),
            slots: SLOTS,
            draining: false,
            spot: false,
            versions: vec![(model(i).into(), 1)],
        });
    }
    fleet
}

fn want(model: &'static str) -> SlotRequest {
    SlotRequest {
        service: "engines".into(),
        model: Some(model.into()),
        min_version: 1,
        avoid: Vec::new(),
    }
}

/// One millisecond after the other: heads that are due tell the load, of which others have a
/// part, and every `look` milliseconds all that wait are gone through. Returns how many
/// milliseconds it took until so many texts had begun.
fn begun_after(texts: u64, enough: usize, look: u64, heads: bool) -> u64 {
    let mut fleet = fleet(10, |_| "m");
    let mut waiting: SlotQueue<u64> = SlotQueue::default();
    (0..texts).for_each(|i| waiting.add((1, 0, i), want("m"), i));
    let mut due: BTreeMap<u64, Vec<Name>> = BTreeMap::new();
    let mut running: BTreeMap<Name, u32> = BTreeMap::new();
    let mut begun = 0;
    for millis in 0..10_000 {
        let now = NOW + Duration::from_millis(millis);
        let mut given = Vec::new();
        for id in due.remove(&millis).unwrap_or_default() {
            // Other homes have two texts there.
            fleet.report_load(&id, ReplicaLoad { running: running[&id] + 2, waiting: 0 }, now);
            if heads {
                given.extend(waiting.assign_at(&id, &mut fleet, now));
            }
        }
        if millis % look == 0 {
            given.extend(waiting.assign_all(&mut fleet, now));
        }
        for (_, target) in given {
            begun += 1;
            *running.entry(target.id.clone()).or_default() += 1;
            due.entry(millis + HEAD).or_default().push(target.id);
        }
        if begun >= enough {
            return millis;
        }
    }
    panic!("{begun} of {texts} begun")
}

/// A step of 80 texts before ten replicas of six places, of which other homes use two. Each
/// replica gets a text at a time, and the next once it has told its load. Looked at each 50 ms
/// alone, the fourth text at each began after 150 ms; a head every 15 ms lets it begin after 45.
#[test]
fn a_head_opens_a_place_at_once() {
    assert_eq!(begun_after(80, 40, 50, true), 3 * HEAD);
    assert!(begun_after(80, 40, 50, false) >= 150);
}

#[test]
fn a_replica_is_offered_to_the_first_that_it_serves() {
    let mut fleet = fleet(2, |i| if i == 0 { "a" } else { "b" });
    let mut waiting = SlotQueue::default();
    waiting.add((2, 0, 0), want("a"), "late a");
    waiting.add((1, 0, 0), want("b"), "first b");
    waiting.add((1, 5, 0), want("a"), "first a");
    let given = waiting.assign_at("r0000", &mut fleet, NOW);
    let given: Vec<&str> = given.into_iter().map(|(name, _)| name).collect();
    assert_eq!(given, ["first a"], "the next one waits for word of the load");
    assert!(waiting.assign_at("gone", &mut fleet, NOW).is_empty());
    assert_eq!(waiting.assign_all(&mut fleet, NOW).len(), 1);
    waiting.remove((2, 0, 0), &"engines".into(), &Some("a".into()));
    assert!(waiting.is_empty());
}

#[test]
fn a_replica_that_failed_a_text_is_not_offered_to_it() {
    let mut fleet = fleet(1, |_| "m");
    let mut waiting = SlotQueue::default();
    waiting.add((1, 0, 0), SlotRequest { avoid: vec!["r0000".into()], ..want("m") }, 0);
    assert!(waiting.assign_at("r0000", &mut fleet, NOW).is_empty());
    assert!(!waiting.is_empty());
}

proptest! {
    /// Whatever comes in whatever order: nobody gets two places, no replica gets more than it
    /// has, and of one kind nobody passes one that came before.
    #[test]
    fn places_are_given_once_and_in_turn(
        steps in prop::collection::vec((0_u8..5, 0_usize..4, 0_u64..30), 1..200),
    ) {
        let models = ["a", "b"];
        let mut fleet = fleet(4, |i| models[i % 2]);
        let mut waiting: SlotQueue<(usize, u64)> = SlotQueue::default();
        let mut open: BTreeSet<(usize, u64)> = BTreeSet::new();
        let mut running: BTreeMap<Name, u32> = BTreeMap::new();
        let mut served = BTreeSet::new();
        for (tick, (step, replica, index)) in steps.into_iter().enumerate() {
            let now = NOW + Duration::from_millis(tick as u64 * 10);
            let id = format!("r{replica:04}");
            let kind = replica % 2;
            let given = match step {
                0 | 1 => {
                    if !served.contains(&(kind, index)) && open.insert((kind, index)) {
                        waiting.add((1, 0, index), want(models[kind]), (kind, index));
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
                    fleet.report_load(&id, ReplicaLoad { running: own.saturating_sub(1), waiting: 0 }, now);
                    waiting.assign_at(&id, &mut fleet, now)
                }
                _ => waiting.assign_all(&mut fleet, now),
            };
            for ((kind, index), target) in given {
                prop_assert!(open.remove(&(kind, index)));
                prop_assert!(served.insert((kind, index)));
                prop_assert!(!open.iter().any(|(k, i)| *k == kind && *i < index));
                let count = running.entry(target.id).or_default();
                *count += 1;
                prop_assert!(*count <= SLOTS);
            }
        }
    }
}
