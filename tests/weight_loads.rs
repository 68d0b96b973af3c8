//! Tests of weight loads: as many as a model's share of the replicas needs, and a bounded number at
//! once.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::decide::weight_loads::{
    self, LastLoad, LoadState, ModelShare, WeightLoad, max_concurrent_loads, model_shares,
};
use mulberrycourse::decide::{Demand, Fleet, ListedReplica, StepDemand};
use mulberrycourse::edge::replica::Target;
use proptest::prelude::*;

/// Slots of each replica.
const SLOTS: u32 = 6;
/// Samples of a step that could use any number of replicas in these tests.
const MANY_SAMPLES: u64 = 10_000;

/// A replica and the state of its loads.
struct ReplicaWeights {
    id: Name,
    versions: BTreeMap<Name, u64>,
    loading: Option<Name>,
    last_load: LastLoad,
}

/// Returns the fleet of these replicas.
fn fleet(replicas: &[ReplicaWeights]) -> Fleet {
    let mut fleet = Fleet::new("z".into());
    for replica in replicas {
        let address = SocketAddr::from(([10, 0, 0, 1], 1));
        fleet.upsert(ListedReplica {
            target: Target { id: replica.id.clone(), started_ms: None, address },
            service: "engines".into(),
            zone: "z".into(),
            slots: SLOTS,
            draining: false,
            spot: false,
            versions: replica.versions.clone().into_iter().collect(),
        });
    }
    fleet
}

/// Returns a step of this work that could use any number of replicas.
fn step(work: u64) -> StepDemand {
    StepDemand { work, samples: MANY_SAMPLES }
}

fn assign_replicas(
    shares: &BTreeMap<Name, ModelShare>,
    replicas: &[ReplicaWeights],
) -> BTreeMap<Name, Vec<Name>> {
    let assigned = weight_loads::assign_replicas(shares, &fleet(replicas));
    let ids = |replicas: Vec<(Name, u64)>| replicas.into_iter().map(|(id, _)| id).collect();
    assigned.into_iter().map(|(model, replicas)| (model, ids(replicas))).collect()
}

fn next_loads(
    announced: &BTreeMap<Name, u64>,
    demand: &BTreeMap<Name, StepDemand>,
    replicas: &[ReplicaWeights],
) -> Vec<WeightLoad> {
    let loading = replicas.iter().filter_map(|r| Some((r.id.clone(), r.loading.clone()?)));
    let failed = replicas.iter().map(|r| (r.id.clone(), r.last_load));
    let (loading, failed) = (loading.collect(), failed.collect());
    let state = LoadState { announced, demand, loading: &loading, failed: &failed };
    weight_loads::next_loads(&state, &fleet(replicas))
}

fn replicas_with(count: usize, models: &[&str]) -> Vec<ReplicaWeights> {
    let versions: BTreeMap<Name, u64> = models.iter().map(|m| (Name::from(*m), 1)).collect();
    (0..count)
        .map(|i| ReplicaWeights {
            id: format!("r{i:02}").into(),
            versions: versions.clone(),
            loading: None,
            last_load: LastLoad::Done,
        })
        .collect()
}

fn announced(models: &[&str], version: u64) -> BTreeMap<Name, u64> {
    models.iter().map(|m| (Name::from(*m), version)).collect()
}

/// Returns the shares of models whose steps bring equal work.
fn equal_weights(models: &[&str]) -> BTreeMap<Name, ModelShare> {
    model_shares(&announced(models, 1), &BTreeMap::new())
}

/// Returns the number of replicas that each model has.
fn counts(shares: &BTreeMap<Name, ModelShare>, replicas: &[ReplicaWeights]) -> Vec<usize> {
    assign_replicas(shares, replicas).values().map(Vec::len).collect()
}

/// Load pattern: six trainers on ten replicas, whose steps bring 1 to 3.4 times the work.
#[test]
fn replicas_follow_the_work_of_a_step() {
    let models = ["a", "b", "c", "d", "e", "f"];
    let replicas = replicas_with(10, &models);
    let work = [20, 32, 67, 32, 67, 67];
    let demand = models.iter().map(|m| Name::from(*m)).zip(work.map(step)).collect();
    let shares = model_shares(&announced(&models, 2), &demand);
    let worst = |shares| {
        let counts = counts(shares, &replicas);
        work.iter().zip(counts).map(|(work, count)| work / count as u64).max().unwrap()
    };
    assert_eq!(worst(&shares), 33, "three models need two replicas each");
    assert_eq!(
        worst(&equal_weights(&models)),
        67,
        "without a report of the work all models are equal"
    );
}

/// Guards against loading the first announced model on every replica, which took 12 loads in 12
/// seconds while the steps of the others waited.
#[test]
fn the_first_announced_model_loads_only_its_share() {
    let models = ["a", "b", "c", "d", "e"];
    let demand = models.iter().map(|m| (Name::from(*m), step(10))).collect();
    let mut replicas = replicas_with(10, &models);
    let mut loads = 0;
    loop {
        let loads_to_order = next_loads(&announced(&["a"], 2), &demand, &replicas);
        if loads_to_order.is_empty() {
            break;
        }
        for load in loads_to_order {
            let replica = replicas.iter_mut().find(|r| r.id == load.id).unwrap();
            replica.versions.insert(load.model, load.version);
            loads += 1;
        }
    }
    assert_eq!(loads, 2);
}

/// A step that differs a little from the previous one makes no replica change its model, because
/// each change needs a load.
#[test]
fn varying_estimates_move_no_replica() {
    let model = Name::from("a");
    let mut demand = Demand::default();
    for (i, work) in [100, 120, 81, 110, 90].into_iter().enumerate() {
        demand.record(&model, step(work), Duration::from_secs(i as u64));
        assert_eq!(demand.by_model(Duration::from_secs(i as u64))[&model], step(100));
    }
    demand.record(&model, step(200), Duration::from_secs(5));
    assert_eq!(demand.by_model(Duration::from_secs(5))[&model], step(200));
    assert!(demand.by_model(Duration::from_secs(70)).is_empty(), "the trainer has stopped");
}

/// Carries out all loads until none is left, and returns the number of loads of each model.
fn run_all_loads(
    announced: &BTreeMap<Name, u64>,
    replicas: &mut [ReplicaWeights],
) -> BTreeMap<Name, usize> {
    let mut loads = BTreeMap::new();
    loop {
        let loads_to_order = next_loads(announced, &BTreeMap::new(), replicas);
        if loads_to_order.is_empty() {
            return loads;
        }
        assert!(loads_to_order.len() <= max_concurrent_loads(replicas.len()));
        for load in loads_to_order {
            let replica = replicas.iter_mut().find(|r| r.id == load.id).unwrap();
            replica.versions.insert(load.model.clone(), load.version);
            *loads.entry(load.model).or_default() += 1;
        }
    }
}

#[test]
fn two_models_share_the_replicas_and_keep_their_shares() {
    let mut replicas = replicas_with(9, &["a", "b"]);
    let first = assign_replicas(&equal_weights(&["a", "b"]), &replicas);
    for version in 2..8 {
        let loads = run_all_loads(&announced(&["a", "b"], version), &mut replicas);
        let mut counts: Vec<usize> = loads.values().copied().collect();
        counts.sort_unstable();
        assert_eq!(counts, [4, 5], "version {version}");
    }
    assert_eq!(assign_replicas(&equal_weights(&["a", "b"]), &replicas), first);
}

#[test]
fn removing_a_replica_keeps_the_assignment_of_the_others() {
    let mut replicas = replicas_with(9, &["a", "b"]);
    run_all_loads(&announced(&["a", "b"], 2), &mut replicas);
    let before = assign_replicas(&equal_weights(&["a", "b"]), &replicas);
    replicas.remove(4);
    let after = assign_replicas(&equal_weights(&["a", "b"]), &replicas);
    let stayed = |model: &str| {
        let old = &before[model];
        after[model].iter().filter(|id| old.contains(*id)).count()
    };
    assert!(stayed("a") + stayed("b") >= 7);
}

#[test]
fn two_thirds_of_a_models_replicas_keep_beginning_samples() {
    let models = ["a", "b", "c", "d"];
    let mut replicas = replicas_with(36, &models);
    run_all_loads(&announced(&models, 2), &mut replicas);
    let mut newer = announced(&models, 2);
    newer.insert("a".into(), 3);
    let loads_to_order = next_loads(&newer, &BTreeMap::new(), &replicas);
    assert_eq!(loads_to_order.len(), 3, "{loads_to_order:?}");
    for replica in &mut replicas {
        if loads_to_order.iter().any(|m| m.id == replica.id) {
            replica.loading = Some("a".into());
        }
    }
    assert_eq!(next_loads(&newer, &BTreeMap::new(), &replicas), []);
    // A model whose own replicas are not loading is not held up.
    newer.insert("b".into(), 3);
    assert_eq!(next_loads(&newer, &BTreeMap::new(), &replicas).len(), 3);
}

proptest! {
    #[test]
    fn concurrent_loads_stay_within_the_limit_of_the_weight_store(
        count in 1_usize..60,
        busy in proptest::collection::vec(any::<bool>(), 60),
        version in 2_u64..5,
    ) {
        let mut replicas = replicas_with(count, &["a", "b", "c"]);
        for (replica, busy) in replicas.iter_mut().zip(busy) {
            replica.loading = busy.then(|| "a".into());
        }
        let running = replicas.iter().filter(|r| r.loading.is_some()).count();
        let loads_to_order = next_loads(&announced(&["a", "b", "c"], version), &BTreeMap::new(), &replicas);
        prop_assert!(loads_to_order.len() + running <= max_concurrent_loads(count).max(running));
        for load in &loads_to_order {
            let replica = replicas.iter().find(|r| r.id == load.id).unwrap();
            prop_assert!(replica.loading.is_none());
            prop_assert!(replica.versions[&load.model] < load.version);
        }
    }
}

/// Load pattern: one replica of a model does not answer while the others need a new version.
#[test]
fn a_replica_whose_load_failed_comes_after_the_others() {
    let mut replicas = replicas_with(3, &["a"]);
    let next = |replicas: &[ReplicaWeights]| {
        let loads = next_loads(&announced(&["a"], 2), &BTreeMap::new(), replicas);
        loads.into_iter().map(|load| load.id).collect::<Vec<_>>()
    };
    assert_eq!(next(&replicas), ["r00".into()]);
    for end in [LastLoad::JustFailed, LastLoad::Failed] {
        replicas[0].last_load = end;
        assert_eq!(next(&replicas), ["r01".into()]);
    }
    for replica in &mut replicas[1..] {
        replica.versions.insert("a".into(), 2);
    }
    assert_eq!(next(&replicas), ["r00".into()]);
    replicas[0].last_load = LastLoad::JustFailed;
    assert!(next(&replicas).is_empty());
}

/// Guards against a step that is recorded twice counting as twice the work.
#[test]
fn a_step_that_is_recorded_twice_counts_once() {
    let mut demand = Demand::default();
    let model = Name::from("a");
    demand.record(&model, step(10), Duration::from_secs(1));
    demand.record(&model, step(10), Duration::from_secs(2));
    assert_eq!(demand.by_model(Duration::from_secs(3))[&model], step(10));
}

/// Six trainers whose steps have 128 to 184 samples.
fn six_steps() -> BTreeMap<Name, StepDemand> {
    let samples = [128, 176, 184, 160, 160, 160];
    let models = ["a", "b", "c", "d", "e", "f"].map(Name::from);
    models.into_iter().zip(samples.map(|n| StepDemand { work: 100 * n, samples: n })).collect()
}

/// Carries out all loads of version 2 of six models on this many replicas. Returns their number and
/// the number of replicas that a plan looks at.
fn loads_of_six_models(count: usize) -> (usize, u64) {
    let demand = six_steps();
    let models: Vec<&str> = demand.keys().map(|model| &**model).collect();
    let announced = announced(&models, 2);
    let mut fleet = fleet(&replicas_with(count, &models));
    let (nothing, none) = (BTreeMap::new(), BTreeMap::new());
    let state =
        LoadState { announced: &announced, demand: &demand, loading: &nothing, failed: &none };
    let mut loads = 0;
    loop {
        let before = fleet.visited_replicas();
        let ordered = weight_loads::next_loads(&state, &fleet);
        if ordered.is_empty() {
            return (loads, fleet.visited_replicas() - before);
        }
        for load in ordered {
            let target = fleet.get(&load.id).unwrap().target.clone();
            fleet.raise_version(&target, &load.model, load.version);
            loads += 1;
        }
    }
}

/// Guards against loading each version on a share of the whole fleet, a thousand replicas for a step
/// of 184 samples, and against plans that look at all replicas.
#[test]
fn loads_and_plans_depend_on_the_steps_and_not_on_the_number_of_replicas() {
    let (loads, visited) = loads_of_six_models(600);
    let samples: u64 = six_steps().values().map(|step| step.samples).sum();
    assert!(loads as u64 * u64::from(SLOTS) >= 2 * samples, "{loads} loads leave samples waiting");
    assert!(loads as u64 * u64::from(SLOTS) <= 3 * samples, "{loads} loads");
    assert_eq!(loads_of_six_models(6_000), (loads, visited));
}

/// Load pattern: a zone is lost, and with it a fifth of a model's replicas. Others take their place.
#[test]
fn replicas_that_are_lost_are_replaced_by_idle_ones() {
    let demand = six_steps();
    let models: Vec<&str> = demand.keys().map(|model| &**model).collect();
    let shares = model_shares(&announced(&models, 2), &demand);
    let mut fleet = fleet(&replicas_with(1_000, &models));
    let before = weight_loads::assign_replicas(&shares, &fleet);
    for (id, _) in before["a"].iter().step_by(5) {
        fleet.remove(id);
    }
    let after = weight_loads::assign_replicas(&shares, &fleet);
    assert_eq!(after["a"].len(), before["a"].len());
    assert!(after["a"].iter().all(|(id, _)| fleet.accepts_work(id)));
}
