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

/// The replicas of each model: the models take turns and each takes the replica that has its
/// newest version, so that a deal changes only where replicas come or go.
pub fn deal(models: &BTreeMap<Name, u64>, replicas: &[Standing]) -> BTreeMap<Name, Vec<Name>> {
    let mut dealt: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
    let mut left: Vec<&Standing> = replicas.iter().collect();
    left.sort_by(|a, b| a.id.cmp(&b.id));
    while !left.is_empty() {
        let before = left.len();
        for model in models.keys() {
            let best = left
                .iter()
                .enumerate()
                .filter_map(|(i, r)| Some((i, *r.versions.get(model)?)))
                .max_by(|a, b| a.1.cmp(&b.1).then(b.0.cmp(&a.0)));
            if let Some((i, _)) = best {
                dealt.entry(model.clone()).or_default().push(left.remove(i).id.clone());
            }
        }
        if left.len() == before {
            break;
        }
    }
    dealt
}

/// The loads to order now: `named` is the newest version of each model.
pub fn next(named: &BTreeMap<Name, u64>, replicas: &[Standing]) -> Vec<Move> {
    let loading = replicas.iter().filter_map(|r| r.loading.clone());
    let mut running: BTreeMap<Name, usize> = BTreeMap::new();
    loading.for_each(|model| *running.entry(model).or_default() += 1);
    let mut room = at_once(replicas.len()).saturating_sub(running.values().sum());
    let dealt = deal(named, replicas);
    let mut behind: Vec<(u64, Move)> = Vec::new();
    for (model, ids) in &dealt {
        let version = named[model];
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
