//! Loads of weights: as many as a model's share needs, never too many at once.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use mulberrycourse::Name;
use mulberrycourse::decide::moves::{Standing, at_once, deal, next};
use proptest::prelude::*;

fn standings(count: usize, models: &[&str]) -> Vec<Standing> {
    let versions: BTreeMap<Name, u64> = models.iter().map(|m| (Name::from(*m), 1)).collect();
    (0..count)
        .map(|i| Standing {
            id: format!("r{i:02}").into(),
            versions: versions.clone(),
            loading: None,
        })
        .collect()
}

fn named(models: &[&str], version: u64) -> BTreeMap<Name, u64> {
    models.iter().map(|m| (Name::from(*m), version)).collect()
}

/// Carries out every move at once and counts the loads of each model.
fn settle(named: &BTreeMap<Name, u64>, replicas: &mut [Standing]) -> BTreeMap<Name, usize> {
    let mut loads = BTreeMap::new();
    loop {
        let moves = next(named, replicas);
        if moves.is_empty() {
            return loads;
        }
        assert!(moves.len() <= at_once(replicas.len()));
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
    let first = deal(&named(&["a", "b"], 2), &replicas);
    for version in 2..8 {
        let loads = settle(&named(&["a", "b"], version), &mut replicas);
        let mut counts: Vec<usize> = loads.values().copied().collect();
        counts.sort_unstable();
        assert_eq!(counts, [4, 5], "version {version}");
    }
    assert_eq!(deal(&named(&["a", "b"], 8), &replicas), first);
}

#[test]
fn a_replica_that_goes_costs_no_deal_of_the_others() {
    let mut replicas = standings(9, &["a", "b"]);
    settle(&named(&["a", "b"], 2), &mut replicas);
    let before = deal(&named(&["a", "b"], 2), &replicas);
    replicas.remove(4);
    let after = deal(&named(&["a", "b"], 2), &replicas);
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
    let moves = next(&newer, &replicas);
    assert_eq!(moves.len(), 3, "{moves:?}");
    for replica in &mut replicas {
        if moves.iter().any(|m| m.id == replica.id) {
            replica.loading = Some("a".into());
        }
    }
    assert_eq!(next(&newer, &replicas), []);
    // A model whose share is free is not held up.
    newer.insert("b".into(), 3);
    assert_eq!(next(&newer, &replicas).len(), 3);
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
        let moves = next(&named(&["a", "b", "c"], version), &replicas);
        prop_assert!(moves.len() + running <= at_once(count).max(running));
        for wanted in &moves {
            let replica = replicas.iter().find(|r| r.id == wanted.id).unwrap();
            prop_assert!(replica.loading.is_none());
            prop_assert!(replica.versions[&wanted.model] < wanted.version);
        }
    }
}
