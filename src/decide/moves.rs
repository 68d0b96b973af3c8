//! Which replica loads which version of which model next.
//!
//! Load pattern: each trainer names a version every few seconds and its next step wants
//! replicas that have it, or the one before. A load takes about a second, slows others down
//! when many run, and empties what the replica has cached. Moving every replica to every
//! version of every model would spend several times the loads that one model's share needs.

use std::collections::BTreeMap;

use crate::Name;

/// Replicas that may load at the same time: one in five, at least two. The deployments state
/// full speed up to 2 of 9 and 7 of 36.
const PART: f64 = 5.0;
/// The least of these.
const LEAST: usize = 2;
/// Of one model's replicas, one in three may load at the same time: its next step comes as
/// its version is named, and a replica that loads begins no sample for 0.9 s. With nine
/// replicas all are done after three loads, 2.7 s, before the version after is named.
const SHARE: usize = 3;

/// A replica and the versions that it has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Standing {
    /// The replica's id.
    pub id: Name,
    /// Version by model.
    pub versions: BTreeMap<Name, u64>,
    /// The model that it loads now.
    pub loading: Option<Name>,
}

/// A load to order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Move {
    /// The replica.
    pub id: Name,
    /// The model.
    pub model: Name,
    /// The version.
    pub version: u64,
}

/// How many of these replicas may load at the same time.
pub fn at_once(replicas: usize) -> usize {
    ((replicas as f64 / PART).round() as usize).max(LEAST)
}

/// The models that share the replicas, each with its weight: those that were named or have
/// work. One whose steps are not known weighs as much as the mean.
///
/// Dealt among the models that were named so far, the first to be named had all replicas
/// loaded, and the next waited for these loads: ten seconds with ten replicas and six models.
pub fn shares(named: &BTreeMap<Name, u64>, demand: &BTreeMap<Name, u64>) -> BTreeMap<Name, u64> {
    let count = demand.len().max(1) as u64;
    let mean = (demand.values().sum::<u64>() / count).max(1);
    let weight = |model: &Name| demand.get(model).copied().unwrap_or(mean).max(1);
    named.keys().chain(demand.keys()).map(|model| (model.clone(), weight(model))).collect()
}

/// The replicas of each model: the next goes to the model with the most work for each that it
/// has, and it takes the one that has its newest version, so that a deal changes only where
/// replicas come or go, or the work does.
pub fn deal(shares: &BTreeMap<Name, u64>, replicas: &[Standing]) -> BTreeMap<Name, Vec<Name>> {
    let mut dealt: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
    let mut left: Vec<&Standing> = replicas.iter().collect();
    left.sort_by(|a, b| a.id.cmp(&b.id));
    let mut models: Vec<(&Name, u64)> = shares.iter().map(|(m, weight)| (m, *weight)).collect();
    while !left.is_empty() && !models.is_empty() {
        let Some(place) = neediest(&models, &dealt) else { break };
        let (model, _) = models[place];
        let served = left.iter().enumerate();
        let best = served
            .filter_map(|(i, r)| Some((i, *r.versions.get(model)?)))
            .max_by(|a, b| a.1.cmp(&b.1).then(b.0.cmp(&a.0)));
        match best {
            Some((i, _)) => {
                dealt.entry(model.clone()).or_default().push(left.remove(i).id.clone());
            }
            None => drop(models.remove(place)),
        }
    }
    dealt
}

/// The place of the model with the most work for each replica that it has; one that has none
/// goes first.
fn neediest(models: &[(&Name, u64)], dealt: &BTreeMap<Name, Vec<Name>>) -> Option<usize> {
    let had = |model: &Name| dealt.get(model).map_or(0, Vec::len) as u64;
    let order = |(i, a): &(usize, &(&Name, u64)), (j, b): &(usize, &(&Name, u64))| {
        let left = a.1.saturating_mul(had(b.0));
        let right = b.1.saturating_mul(had(a.0));
        left.cmp(&right).then(a.1.cmp(&b.1)).then(j.cmp(i))
    };
    models.iter().enumerate().max_by(order).map(|(place, _)| place)
}

/// The loads to order now: `named` is the newest version of each model, `demand` the work of
/// its steps.
pub fn next(
    named: &BTreeMap<Name, u64>,
    demand: &BTreeMap<Name, u64>,
    replicas: &[Standing],
) -> Vec<Move> {
    let loading = replicas.iter().filter_map(|r| r.loading.clone());
    let mut running: BTreeMap<Name, usize> = BTreeMap::new();
    loading.for_each(|model| *running.entry(model).or_default() += 1);
    let mut room = at_once(replicas.len()).saturating_sub(running.values().sum());
    let dealt = deal(&shares(named, demand), replicas);
    let mut behind: Vec<(u64, Move)> = Vec::new();
    for (model, ids) in &dealt {
        let Some(version) = named.get(model).copied() else { continue };
        for standing in replicas.iter().filter(|r| ids.contains(&r.id) && r.loading.is_none()) {
            let has = standing.versions.get(model).copied().unwrap_or(version);
            if has < version {
                let wanted = Move { id: standing.id.clone(), model: model.clone(), version };
                behind.push((has, wanted));
            }
        }
    }
    behind.sort_by(|a, b| a.0.cmp(&b.0).then(a.1.id.cmp(&b.1.id)));
    let mut moves = Vec::new();
    for (_, wanted) in behind {
        if room == 0 {
            break;
        }
        let share = dealt[&wanted.model].len();
        let count = running.entry(wanted.model.clone()).or_default();
        if *count >= share.div_ceil(SHARE) {
            continue;
        }
        *count += 1;
        room -= 1;
        moves.push(wanted);
    }
    moves
}
