//! Cost of giving a free slot to one of many competing trainers, and of computing the shares of all
//! of them, by the numbers of replicas and of trainers.
#![allow(clippy::unwrap_used, missing_docs)]

use std::net::SocketAddr;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use mulberrycourse::Name;
use mulberrycourse::decide::load::TextLength;
use mulberrycourse::decide::load::{
    OpenStep, Share, ShareOrder, SlotPool, StepOrder, Trainer, TrainerDemand, compute_shares,
};
use mulberrycourse::decide::{Fleet, ListedReplica, ReplicaOutcome, SlotQueue, SlotRequest};
use mulberrycourse::edge::replica::{ReplicaLoad, Target};

const SLOTS_PER_REPLICA: u32 = 6;
/// Samples of each step, in groups of eight.
const SAMPLES: usize = 64;
const REPLICAS: [usize; 3] = [30, 300, 3_000];
const TRAINERS: [usize; 2] = [100, 1_000];

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
            versions: vec![("m".into(), 1)],
        });
    }
    fleet
}

fn trainer(number: usize) -> Trainer {
    Trainer {
        service: "engines".into(),
        model: Some("m".into()),
        organisation: Some(format!("o{number:04}").into()),
    }
}

fn slot_request() -> SlotRequest {
    SlotRequest {
        service: "engines".into(),
        model: Some("m".into()),
        min_version: 1,
        avoid: Vec::new(),
        length: TextLength::default(),
        apart: false,
    }
}

/// A queue with a step of each trainer. Half of them hold their shares.
fn new_queue(trainers: usize, now: Duration) -> SlotQueue<(u64, u64)> {
    let mut waiting = SlotQueue::default();
    let groups: Vec<String> = (0..SAMPLES).map(|i| format!("g{}", i / 8)).collect();
    for number in 0..trainers {
        let open = OpenStep {
            id: number as u64,
            order: number as u64,
            priority: (number % 3) as u8,
            services: vec!["engines".into()],
            model: Some("m".into()),
            organisation: trainer(number).organisation,
            due: Some(now + Duration::from_secs(7)),
        };
        waiting.open_step(StepOrder::new(open, groups.iter().map(|group| &**group)), now);
        for index in 0..SAMPLES as u64 {
            waiting.add(number as u64, index, slot_request(), (number as u64, index));
        }
    }
    let shares = (0..trainers).step_by(2).map(|i| Share { trainer: trainer(i), slots: 1 });
    let order = ShareOrder {
        fence: 1,
        sequence: 1,
        age: Duration::ZERO,
        shares: shares.collect(),
        contended: vec!["engines".into()],
    };
    let _ = waiting.set_shares(order, now);
    waiting
}

/// All slots are taken and samples of all trainers wait; then one slot becomes free.
fn bench_slot_assignment(c: &mut Criterion) {
    let mut group = c.benchmark_group("shares_slot");
    for replicas in REPLICAS {
        for trainers in TRAINERS {
            let mut now = Duration::from_secs(100);
            let mut fleet = new_fleet(replicas);
            let mut waiting = new_queue(trainers, now);
            for i in 0..replicas {
                let id = format!("r{i:05}");
                (0..SLOTS_PER_REPLICA).for_each(|_| fleet.start_attempt(&id, now));
            }
            let mut sequence = 0;
            let id =
                BenchmarkId::from_parameter(format!("{replicas}_replicas_{trainers}_trainers"));
            group.bench_function(id, |b| {
                b.iter(|| {
                    now += Duration::from_micros(1);
                    let replica = format!("r{:05}", sequence % replicas);
                    sequence += 1;
                    fleet.end_attempt(&replica, None, ReplicaOutcome::Abandoned, now);
                    let load =
                        ReplicaLoad { running: SLOTS_PER_REPLICA - 1, waiting: 0, slowdown: None };
                    fleet.report_load(&replica, load, now);
                    for granted in waiting.assign_at(&replica, &mut fleet, now) {
                        let (step, index) = granted.grant;
                        waiting.end_run(&granted.trainer);
                        waiting.add(step, index, slot_request(), (step, index));
                    }
                });
            });
        }
    }
    group.finish();
}

/// The leader computes the shares of all trainers once per poll.
fn bench_computation(c: &mut Criterion) {
    let mut group = c.benchmark_group("shares_computed");
    for replicas in REPLICAS {
        for trainers in TRAINERS {
            let fleet = new_fleet(replicas);
            let of = |i| TrainerDemand {
                trainer: trainer(i),
                priority: (i % 3) as u8,
                waiting: SAMPLES as u32,
                running: (replicas as u32 * SLOTS_PER_REPLICA).div_ceil(trainers as u32),
            };
            let demands: Vec<(Name, Vec<TrainerDemand>)> =
                vec![("n".into(), (0..trainers).map(of).collect())];
            let now = Duration::from_secs(100);
            let id =
                BenchmarkId::from_parameter(format!("{replicas}_replicas_{trainers}_trainers"));
            group.bench_function(id, |b| {
                b.iter(|| {
                    let pools =
                        |service: &Name| -> Vec<SlotPool> { fleet.slot_pools(service, now) };
                    let computed = compute_shares(&demands, pools);
                    assert_eq!(computed.short.len(), 1);
                });
            });
        }
    }
    group.finish();
}

criterion_group!(benches, bench_slot_assignment, bench_computation);
criterion_main!(benches);
