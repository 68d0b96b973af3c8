//! Cost of the decisions about requests without weights, by the numbers of replicas and callers:
//! one that finds a free slot, and one that waits while all replicas are full.
#![allow(clippy::unwrap_used, missing_docs)]

use std::net::SocketAddr;
use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use mulberrycourse::Name;
use mulberrycourse::decide::load::TextLength;
use mulberrycourse::decide::load::{CallQueue, CallRequest};
use mulberrycourse::decide::{
    AttemptRequest, CallChoice, Class, Fleet, ListedReplica, ReplicaOutcome,
};
use mulberrycourse::edge::replica::{ReplicaLoad, Target};

const SLOTS: u32 = 6;
/// When the benchmarks begin.
const START: Duration = Duration::from_secs(100);
const WISH: AttemptRequest<'static> = AttemptRequest {
    service: "plain",
    weights: None,
    avoid: &[],
    length: TextLength { hint: None, events: 0 },
    allow_full: true,
    apart: false,
};

fn replica_id(replica: usize) -> Name {
    format!("p{replica:04}").into()
}

/// A fleet of so many plain replicas, which have reported their load.
fn new_fleet(replicas: usize) -> Fleet {
    let mut fleet = Fleet::new("z".into());
    for i in 0..replicas {
        let id = replica_id(i);
        let address = SocketAddr::from(([10, 0, (i >> 8) as u8, i as u8], 80));
        fleet.upsert(ListedReplica {
            target: Target { id: id.clone(), address, started_ms: None },
            service: "plain".into(),
            zone: "z".into(),
            slots: SLOTS,
            draining: false,
            spot: false,
            versions: Vec::new(),
        });
        fleet.report_load(
            &id,
            ReplicaLoad { running: 0, waiting: 0, slowdown: None },
            Duration::ZERO,
        );
    }
    fleet
}

fn answered() -> ReplicaOutcome {
    ReplicaOutcome::Answered { duration: Duration::from_millis(25), cost: 1 }
}

/// A request is sent to a replica with a free slot, and answered.
fn bench_direct(c: &mut Criterion) {
    let mut group = c.benchmark_group("call_sent_at_once");
    for replicas in [30, 300, 3_000] {
        let mut fleet = new_fleet(replicas);
        let mut now = START;
        group.bench_function(BenchmarkId::from_parameter(replicas), |b| {
            b.iter(|| {
                now += Duration::from_millis(1);
                let CallChoice::Send(target) = fleet.choose_for_call(&WISH, now) else {
                    unreachable!("all replicas are idle")
                };
                fleet.start_call(&target.id, now);
                fleet.end_call(&target.id, answered(), now);
            });
        });
    }
    group.finish();
}

/// All replicas are full and callers wait; a request arrives, and one ends.
fn bench_waiting(c: &mut Criterion) {
    let mut group = c.benchmark_group("call_waits");
    for (replicas, callers) in [(30, 100), (300, 100), (3_000, 100), (300, 1_000), (3_000, 1_000)] {
        let mut fleet = new_fleet(replicas);
        while let CallChoice::Send(target) = fleet.choose_for_call(&WISH, START) {
            fleet.start_call(&target.id, START);
        }
        let mut queue: CallQueue<usize> = CallQueue::new("plain".into(), 1);
        let request = |number: usize| CallRequest {
            organisation: format!("c{}", number % callers).into(),
            // Reward calls are not refused, so that the number of those that wait stays the same.
            class: Class::Training,
            priority: 1,
            order: START,
            deadline: Duration::from_secs(1 << 30),
            avoid: Vec::new(),
            apart: false,
        };
        for number in 0..callers {
            queue.submit(request(number), number, &mut fleet, START);
        }
        let (mut now, mut number) = (START, callers);
        let id = BenchmarkId::from_parameter(format!("{replicas}_replicas_{callers}_callers"));
        group.bench_function(id, |b| {
            b.iter(|| {
                now += Duration::from_millis(1);
                number += 1;
                queue.submit(request(number), number, &mut fleet, now);
                fleet.end_call(&replica_id(number % replicas), answered(), now);
                queue.assign(&mut fleet, now);
                queue.take_decisions().len()
            });
        });
    }
    group.finish();
}

criterion_group!(benches, bench_direct, bench_waiting);
criterion_main!(benches);
