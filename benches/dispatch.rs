//! Cost of a dispatch decision by the number of upstreams, and cost of choosing a subset of
//! upstreams.
#![allow(clippy::unwrap_used, missing_docs)]

use std::time::Duration;

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use mulberrycourse::decide::{
    AttemptOutcome, AttemptReport, Call, Class, Dispatch, DispatchAction, Repeat, ServiceLimits,
    UpstreamView, subset,
};

/// A dispatch for so many upstreams, spread over three availability zones.
fn new_dispatch(upstreams: usize) -> Dispatch {
    let limits = ServiceLimits { max_queued: 1_000, max_concurrency: 16, training_percent: 10 };
    let mut dispatch = Dispatch::new(limits, "a".into(), 1);
    let zones = ["a", "b", "c"];
    let views: Vec<UpstreamView> = (0..upstreams)
        .map(|i| UpstreamView {
            name: format!("u{i}").into(),
            zone: zones[i % 3].into(),
            accepting: true,
        })
        .collect();
    dispatch.set_upstreams(&views, Duration::ZERO);
    dispatch
}

/// Submits a request, sends it and ends its attempt.
fn bench_decisions(c: &mut Criterion) {
    let mut group = c.benchmark_group("offer_send_end");
    for upstreams in [9, 32, 128, 1_100] {
        let mut dispatch = new_dispatch(upstreams);
        let mut count = 0_u64;
        let caller = "shop".into();
        let call = Call {
            caller,
            class: Class::Live,
            repeat: Repeat::Idempotent,
            cost: 64,
            deadline: Duration::MAX,
            fingerprint: 0,
            prefix: None,
        };
        group.bench_function(BenchmarkId::from_parameter(upstreams), |b| {
            b.iter(|| {
                count += 1;
                let now = Duration::from_millis(count);
                let prefix = Some(count.wrapping_mul(0x9E37_79B9_7F4A_7C15));
                let deadline = now + Duration::from_secs(30);
                let ticket = dispatch.submit(Call { prefix, deadline, ..call.clone() }, now);
                let sent =
                    matches!(dispatch.take_actions().as_slice(), [DispatchAction::Send { .. }]);
                assert!(sent);
                let report = AttemptReport {
                    outcome: AttemptOutcome::Answered,
                    took: Duration::from_secs(1),
                    actual_cost: None,
                };
                dispatch.attempt_ended(ticket, report, now);
            });
        });
    }
    group.finish();
}

/// Chooses the upstreams of one node in the planned fleet.
fn bench_subsets(c: &mut Criterion) {
    let nodes: Vec<String> = (0..380).map(|i| format!("n{i}")).collect();
    let upstreams: Vec<String> = (0..1_100).map(|i| format!("u{i}")).collect();
    let nodes: Vec<&str> = nodes.iter().map(String::as_str).collect();
    let upstreams: Vec<&str> = upstreams.iter().map(String::as_str).collect();
    c.bench_function("subset_of_380_nodes_1100_upstreams", |b| {
        b.iter(|| subset("nobody", &nodes, &upstreams, 32));
    });
}

criterion_group!(benches, bench_decisions, bench_subsets);
criterion_main!(benches);
