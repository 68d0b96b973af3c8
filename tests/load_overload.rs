//! Tests of what callers and trainers receive in an overload.
#![allow(clippy::unwrap_used)]

use mulberrycourse::decide::Class;
use standins::experiment::{Deployment, FlowResult, PolicyKind, RunResult, Scenario, run_scenario};

const SCENARIO: &str = "
[scenario]
length = 100s
[flow shop]
load = 0.5
cost = 64
deadline = 6s
keys = 100
[flow lookup]
load = 0.5
cost = 64
deadline = 6s
keys = 100
[trainer coach]
samples = 512
cost = 256
train = 5s
";

fn measure(scale: f64, policy: PolicyKind, seed: u64) -> RunResult {
    let scenario = Scenario::parse("overload", SCENARIO).unwrap();
    let deployment = Deployment { name: "small".into(), zones: 3, engines: 4, plain: 3 };
    run_scenario(&scenario, &deployment, scale, policy, seed)
}

/// At two and five times the capacity, live callers receive at least 95% of the answers that
/// they receive at the capacity, and none after its deadline.
#[test]
fn live_goodput_is_kept_in_an_overload() {
    for seed in 1..=3 {
        let base = measure(1.0, PolicyKind::Ours, seed).goodput(Class::Live);
        for scale in [2.0, 5.0] {
            let result = measure(scale, PolicyKind::Ours, seed);
            let goodput = result.goodput(Class::Live);
            assert!(goodput >= 0.95 * base, "seed {seed}, {scale}: {goodput} of {base}");
            let live = result.flows.iter().filter(|f| f.class == Class::Live);
            assert!(live.map(|f| f.quantile_ms(0.99)).all(|ms| ms <= 6_000.0));
        }
    }
}

/// Nearly all requests that are not answered are refused before their deadline, with a time to
/// retry.
#[test]
fn requests_are_refused_before_their_deadline() {
    for seed in 1..=3 {
        let result = measure(5.0, PolicyKind::Ours, seed);
        for flow in result.flows.iter().filter(|f| f.class == Class::Live) {
            let refused: u64 = flow.refused.values().sum();
            assert!(flow.timed_out * 100 <= refused, "seed {seed}: {} late", flow.timed_out);
        }
    }
}

/// Training keeps its minimum share, a tenth of the useful work, while live callers demand more
/// than the whole capacity.
#[test]
fn training_keeps_its_minimum_share() {
    for seed in 1..=3 {
        let result = measure(5.0, PolicyKind::Ours, seed);
        let (live, training) = (result.work_rate(Class::Live), result.work_rate(Class::Training));
        let share = training / (live + training);
        assert!(share >= 0.09, "seed {seed}: {share}");
        assert!(result.trainers.iter().all(|t| t.duplicate_samples == 0));
    }
}

/// Two callers of the same weight receive the same.
#[test]
fn equal_callers_receive_the_same() {
    for seed in 1..=3 {
        let result = measure(5.0, PolicyKind::Ours, seed);
        let work = |name: &str| result.flow(name).map(|f: &FlowResult| f.work).unwrap();
        let ratio = work("shop") / work("lookup");
        assert!((0.9..=1.1).contains(&ratio), "seed {seed}: {ratio}");
    }
}

/// The naive policy answers almost nothing at five times the capacity, which shows that the
/// scenario is an overload.
#[test]
fn naive_policy_collapses() {
    let base = measure(1.0, PolicyKind::Ours, 1).goodput(Class::Live);
    let naive = measure(5.0, PolicyKind::Naive, 1).goodput(Class::Live);
    assert!(naive < 0.2 * base, "{naive} of {base}");
}
