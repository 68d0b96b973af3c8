//! Loads of weights: as many as a model's share needs, never too many at once.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::decide::Demand;
use mulberrycourse::decide::weight_loads::{
    ReplicaWeights, assign_replicas, max_concurrent_loads, model_weights, next_loads,
};
use proptest::prelude::*;

fn standings(count: usize, models: &[&str]) -> Vec<ReplicaWeights> {
    let versions: BTreeMap<Name, u64> = models.iter().map(|m| (Name::from(*m), 1)).collect();
    (0..count)
        .map(|i| ReplicaWeights {
            id: format!("r{i:02}").into(),
            versions: versions.clone(),
            loading: None,
        })
        .collect()
}

fn named(models: &[&str], version: u64) -> BTreeMap<Name, u64> {
    models.iter().map(|m| (Name::from(*m), version)).collect()
}

/// Models whose steps are alike.
fn alike(models: &[&str]) -> BTreeMap<Name, u64> {
    model_weights(&named(models, 1), &BTreeMap::new())
}

/// The number of replicas that each model has.
fn counts(shares: &BTreeMap<Name, u64>, replicas: &[ReplicaWeights]) -> Vec<usize> {
    assign_replicas(shares, replicas).values().map(Vec::len).collect()
}

/// Load pattern: six trainers on ten replicas, whose steps come to 1 to 3.4 times the work.
#[test]
fn replicas_follow_the_work_of_a_step() {
    let models = ["a", "b", "c", "d", "e", "f"];
    let replicas = standings(10, &models);
    let work = [20, 32, 67, 32, 67, 67];
    let demand = models.iter().map(|m| Name::from(*m)).zip(work).collect();
    let shares = model_weights(&named(&models, 2), &demand);
    let worst = |shares| {
        let counts = counts(shares, &replicas);
        work.iter().zip(counts).map(|(work, count)| work / count as u64).max().unwrap()
    };
    assert_eq!(worst(&shares), 33, "three models need two replicas each");
    assert_eq!(worst(&alike(&models)), 67, "without a word of the work all are alike");
}

/// Guards: the first model to be named had every replica loaded, 12 loads in 12 seconds, and
/// the steps of the others waited.
#[test]
fn the_first_model_that_is_named_loads_its_share_only() {
    let models = ["a", "b", "c", "d", "e"];
    let demand: BTreeMap<Name, u64> = models.iter().map(|m| (Name::from(*m), 10)).collect();
    let mut replicas = standings(10, &models);
    let mut loads = 0;
    loop {
        let moves = next_loads(&named(&["a"], 2), &demand, &replicas);
        if moves.is_empty() {
            break;
        }
        for wanted in moves {
            let replica = replicas.iter_mut().find(|r| r.id == wanted.id).unwrap();
            replica.versions.insert(wanted.model, wanted.version);
            loads += 1;
        }
    }
    assert_eq!(loads, 2);
}

/// A step that differs a little from the last costs no load of a replica that changes its model.
#[test]
fn estimates_that_vary_move_no_replica() {
    let model = Name::from("a");
    let mut demand = Demand::default();
    for (i, work) in [100, 120, 81, 110, 90].into_iter().enumerate() {
        demand.record(&model, work, Duration::from_secs(i as u64));
        assert_eq!(demand.by_model(Duration::from_secs(i as u64))[&model], 100);
    }
    demand.record(&model, 200, Duration::from_secs(5));
    assert_eq!(demand.by_model(Duration::from_secs(5))[&model], 200);
    assert!(demand.by_model(Duration::from_secs(70)).is_empty(), "a trainer that is gone");
}

/// Carries out every move at once and counts the loads of each model.
fn settle(named: &BTreeMap<Name, u64>, replicas: &mut [ReplicaWeights]) -> BTreeMap<Name, usize> {
    let mut loads = BTreeMap::new();
    loop {
        let moves = next_loads(named, &BTreeMap::new(), replicas);
        if moves.is_empty() {
            return loads;
        }
        assert!(moves.len() <= max_concurrent_loads(replicas.len()));
        for wanted in moves {
            let replica = replicas.iter_mut().find(|r| r.id == wanted.id).unwrap();
            replica.versions.insert(wanted.model.clone(), wanted.version);
            *loads.entry(wanted.model).or_default() += 1;
        }
    }
}

#[test]
fn two_models_share_the_replicas_and_keep_their_shares() {
    let mut replicas = standings(9, &["a", "b"]);
    let first = assign_replicas(&alike(&["a", "b"]), &replicas);
    for version in 2..8 {
        let loads = settle(&named(&["a", "b"], version), &mut replicas);
        let mut counts: Vec<usize> = loads.values().copied().collect();
        counts.sort_unstable();
        assert_eq!(counts, [4, 5], "version {version}");
    }
    assert_eq!(assign_replicas(&alike(&["a", "b"]), &replicas), first);
}

#[test]
fn a_replica_that_goes_costs_no_deal_of_the_others() {
    let mut replicas = standings(9, &["a", "b"]);
    settle(&named(&["a", "b"], 2), &mut replicas);
    let before = assign_replicas(&alike(&["a", "b"]), &replicas);
    replicas.remove(4);
    let after = assign_replicas(&alike(&["a", "b"]), &replicas);
    let stayed = |model: &str| {
        let old = &before[model];
        after[model].iter().filter(|id| old.contains(*id)).count()
    };
    assert!(stayed("a") + stayed("b") >= 7);
}

#[test]
fn two_thirds_of_a_models_replicas_go_on_beginning_samples() {
    let models = ["a", "b", "c", "d"];
    let mut replicas = standings(36, &models);
    settle(&named(&models, 2), &mut replicas);
    let mut newer = named(&models, 2);
    newer.insert("a".into(), 3);
    let moves = next_loads(&newer, &BTreeMap::new(), &replicas);
    assert_eq!(moves.len(), 3, "{moves:?}");
    for replica in &mut replicas {
        if moves.iter().any(|m| m.id == replica.id) {
            replica.loading = Some("a".into());
        }
    }
    assert_eq!(next_loads(&newer, &BTreeMap::new(), &replicas), []);
    // A model whose share is free is not held up.
    newer.insert("b".into(), 3);
    assert_eq!(next_loads(&newer, &BTreeMap::new(), &replicas).len(), 3);
}

proptest! {
    #[test]
    fn no_more_load_at_once_than_the_store_of_weights_bears(
        count in 1_usize..60,
        busy in proptest::collection::vec(any::<bool>(), 60),
        version in 2_u64..5,
    ) {
        let mut replicas = standings(count, &["a", "b", "c"]);
        for (replica, busy) in replicas.iter_mut().zip(busy) {
            replica.loading = busy.then(|| "a".into());
        }
        let running = replicas.iter().filter(|r| r.loading.is_some()).count();
        let moves = next_loads(&named(&["a", "b", "c"], version), &BTreeMap::new(), &replicas);
        prop_assert!(moves.len() + running <= max_concurrent_loads(count).max(running));
        for wanted in &moves {
            let replica = replicas.iter().find(|r| r.id == wanted.id).unwrap();
            prop_assert!(replica.loading.is_none());
            prop_assert!(replica.versions[&wanted.model] < wanted.version);
        }
    }
}
