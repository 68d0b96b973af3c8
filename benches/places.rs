//! Cost of assigning a free replica slot to a waiting text, by the numbers of replicas and of
//! waiting texts.
#![allow(clippy::unwrap_used, missing_docs)]

use std::net::SocketAddr;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use mulberrycourse::decide::load::{OpenStep, StepOrder, TextLength};
use mulberrycourse::decide::{Fleet, Grant, ListedReplica, ReplicaOutcome, SlotQueue, SlotRequest};
use mulberrycourse::edge::replica::{ReplicaLoad, Target};

/// Slots of each replica, all of which are taken at the start.
const SLOTS_PER_REPLICA: u32 = 6;
/// The models, which are distributed evenly over replicas and texts.
const MODELS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// A fleet of so many replicas, each with one model.
fn new_fleet(replicas: usize) -> Fleet {
    let mut fleet = Fleet::new("z".into());
    for i in 0..replicas {
        let address = SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 80));
        fleet.upsert(ListedReplica {
            target: Target { id: format!("r{i:05}").into(), address, started_ms: None },
            service: "engines".into(),
            zone: "z".into(),
            slots: SLOTS_PER_REPLICA,
            draining: false,
            spot: false,
            versions: vec![(MODELS[i % MODELS.len()].into(), 1)],
        });
    }
    fleet
}

/// The slot request of a text.
fn slot_request(text: usize) -> SlotRequest {
    let model = MODELS[text % MODELS.len()];
    SlotRequest {
        service: "engines".into(),
        model: Some(model.into()),
        min_version: 1,
        avoid: Vec::new(),
        length: TextLength::default(),
        apart: false,
    }
}

/// An open step of a model.
fn step(number: usize, model: &str) -> OpenStep {
    OpenStep {
        id: number as u64,
        order: number as u64,
        priority: 1,
        services: vec!["engines".into()],
        model: Some(model.into()),
        organisation: None,
        due: None,
    }
}

/// All slots are taken and texts wait; then one slot becomes free and is assigned, either at the
/// given replica or by a search of the whole fleet.
fn bench_slot_assignment(c: &mut Criterion) {
    let mut group = c.benchmark_group("place");
    for (replicas, texts) in [(30, 500), (300, 5_000), (3_000, 20_000)] {
        for (name, is_replica_known) in [("offered", true), ("looked_for", false)] {
            let mut fleet = new_fleet(replicas);
            let mut waiting: SlotQueue<usize> = SlotQueue::default();
            for (number, model) in MODELS.into_iter().enumerate() {
                let groups = (0..texts).map(|_| "g");
                waiting.open_step(StepOrder::new(step(number, model), groups), Duration::ZERO);
            }
            (0..texts).for_each(|i| {
                waiting.add((i % MODELS.len()) as u64, i as u64, slot_request(i), i);
            });
            let mut now = Duration::from_secs(100);
            for i in 0..replicas {
                let id = format!("r{i:05}");
                (0..SLOTS_PER_REPLICA).for_each(|_| fleet.start_attempt(&id, now));
            }
            let mut sequence = texts as u64;
            let id = BenchmarkId::new(name, format!("{replicas}_replicas_{texts}_texts"));
            group.bench_function(id, |b| {
                b.iter(|| {
                    now += Duration::from_millis(1);
                    let replica = format!("r{:05}", sequence as usize % replicas);
                    fleet.end_attempt(&replica, None, ReplicaOutcome::Abandoned, now);
                    fleet.report_load(
                        &replica,
                        ReplicaLoad { running: SLOTS_PER_REPLICA - 1, waiting: 0, slowdown: None },
                        now,
                    );
                    let assigned = if is_replica_known {
                        waiting.assign_at(&replica, &mut fleet, now)
                    } else {
                        waiting.assign_all(&mut fleet, now)
                    };
                    assert_eq!(assigned.len(), 1);
                    sequence += 1;
                    for Grant { grant: text, trainer, .. } in assigned {
                        waiting.end_run(&trainer);
                        let step = (text % MODELS.len()) as u64;
                        waiting.add(step, sequence, slot_request(text), text);
                    }
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, bench_slot_assignment);
criterion_main!(benches);
