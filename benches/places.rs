//! What a free place costs, by the number of replicas and of texts that wait.
#![allow(clippy::unwrap_used, missing_docs)]

use std::net::SocketAddr;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use mulberrycourse::decide::{Fleet, ListedReplica, ReplicaOutcome, SlotQueue, SlotRequest};
use mulberrycourse::edge::replica::{ReplicaLoad, Target};

const SLOTS: u32 = 6;
const MODELS: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

fn fleet(replicas: usize) -> Fleet {
    let mut fleet = Fleet::new("z".into());
    for i in 0..replicas {
        let address = SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 80));
        fleet.upsert(ListedReplica {
            target: Target { id: format!("r{i:05}").into(), address, started_ms: None },
            service: "engines".into(),
            zone: "z".into(),
            slots: SLOTS,
            draining: false,
            spot: false,
            versions: vec![(MODELS[i % MODELS.len()].into(), 1)],
        });
    }
    fleet
}

fn want(text: usize) -> SlotRequest {
    let model = MODELS[text % MODELS.len()];
    SlotRequest {
        service: "engines".into(),
        model: Some(model.into()),
        min_version: 1,
        avoid: Vec::new(),
    }
}

/// All places are taken and texts wait; one place comes free and is given.
fn places(c: &mut Criterion) {
    let mut group = c.benchmark_group("place");
    for (replicas, texts) in [(30, 500), (300, 5_000), (3_000, 20_000)] {
        for (way, alone) in [("offered", true), ("looked_for", false)] {
            let mut fleet = fleet(replicas);
            let mut waiting: SlotQueue<usize> = SlotQueue::default();
            (0..texts).for_each(|i| waiting.add((1, 0, i as u64), want(i), i));
            let mut now = Duration::from_secs(100);
            for i in 0..replicas {
                let id = format!("r{i:05}");
                (0..SLOTS).for_each(|_| fleet.start_attempt(&id, now));
            }
            let mut turn = texts as u64;
            let id = BenchmarkId::new(way, format!("{replicas}_replicas_{texts}_texts"));
            group.bench_function(id, |b| {
                b.iter(|| {
                    now += Duration::from_millis(1);
                    let replica = format!("r{:05}", turn as usize % replicas);
                    fleet.end_attempt(&replica, None, ReplicaOutcome::Abandoned, now);
                    fleet.report_load(
                        &replica,
                        ReplicaLoad { running: SLOTS - 1, waiting: 0 },
                        now,
                    );
                    let given = if alone {
                        waiting.assign_at(&replica, &mut fleet, now)
                    } else {
                        waiting.assign_all(&mut fleet, now)
                    };
                    assert_eq!(given.len(), 1);
                    turn += 1;
                    for (text, _) in given {
                        waiting.add((1, 0, turn), want(text), text);
                    }
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, places);
criterion_main!(benches);
