//! Plans which replica loads which version of which model next.
//!
//! Load pattern: each trainer announces a version every few seconds, and its next step needs
//! replicas that have it, or the one before. A load takes about a second, slows others down
//! when many run, and empties the replica's cache. Moving every replica to every
//! version of every model would cost several times the loads that one model's share needs.

use std::collections::BTreeMap;

use crate::Name;

/// One in this many replicas may load at the same time, see [`MIN_CONCURRENT_LOADS`]. The
/// deployments specify full speed while up to 2 of 9, or 7 of 36, replicas load.
const REPLICAS_PER_LOAD: f64 = 5.0;
/// The number of replicas that may always load at the same time.
const MIN_CONCURRENT_LOADS: usize = 2;
/// One in this many of a model's replicas may load at the same time: its next step comes as
/// its version is announced, and a replica that loads begins no sample for 0.9 s. With nine
/// replicas all are done after three loads, 2.7 s, before the following version is announced.
const MODEL_REPLICAS_PER_LOAD: usize = 3;

/// The weights that a replica has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaWeights {
    /// The replica's id.
    pub id: Name,
    /// Version by model.
    pub versions: BTreeMap<Name, u64>,
    /// The model that it is loading.
    pub loading: Option<Name>,
    /// How its last load ended.
    pub last_load: LastLoad,
}

/// How the last load of a replica ended.
///
/// Load pattern: a replica that does not answer stays listed for seconds. If it is tried first
/// each time, the others get no new weights until its entry is gone.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum LastLoad {
    /// With the version that was ordered, or there was none.
    #[default]
    Done,
    /// It failed. The replica gets its next order after all others.
    Failed,
    /// It failed a short while ago. The replica gets no order yet.
    JustFailed,
}

/// A load to order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightLoad {
    /// Id of the replica.
    pub id: Name,
    /// The model.
    pub model: Name,
    /// The version.
    pub version: u64,
}

/// Returns how many of this number of replicas may load at the same time.
pub fn max_concurrent_loads(replicas: usize) -> usize {
    ((replicas as f64 / REPLICAS_PER_LOAD).round() as usize).max(MIN_CONCURRENT_LOADS)
}

/// Returns the models that share the replicas, each with its weight: those with an announced
/// version and those that have work. A model without known steps gets the mean weight.
///
/// If replicas were assigned only among the models announced so far, all of them would load the
/// first announced model, and the next model would wait for these loads: ten seconds with ten
/// replicas and six models.
pub fn model_weights(
    announced: &BTreeMap<Name, u64>,
    demand: &BTreeMap<Name, u64>,
) -> BTreeMap<Name, u64> {
    let count = demand.len().max(1) as u64;
    let mean = (demand.values().sum::<u64>() / count).max(1);
    let weight = |model: &Name| demand.get(model).copied().unwrap_or(mean).max(1);
    announced.keys().chain(demand.keys()).map(|model| (model.clone(), weight(model))).collect()
}

/// Assigns the replicas to the models in proportion to the models' weights. The next replica
/// goes to the model with the most work per assigned replica, which takes the replica that has
/// its newest version. So an assignment changes only when replicas come or go, or the work
/// changes.
pub fn assign_replicas(
    weights: &BTreeMap<Name, u64>,
    replicas: &[ReplicaWeights],
) -> BTreeMap<Name, Vec<Name>> {
    let mut assigned: BTreeMap<Name, Vec<Name>> = BTreeMap::new();
    let mut left: Vec<&ReplicaWeights> = replicas.iter().collect();
    left.sort_by(|a, b| a.id.cmp(&b.id));
    let mut models: Vec<(&Name, u64)> = weights.iter().map(|(m, weight)| (m, *weight)).collect();
    while !left.is_empty() && !models.is_empty() {
        let Some(index) = most_underserved(&models, &assigned) else { break };
        let (model, _) = models[index];
        let candidates = left.iter().enumerate();
        let best = candidates
            .filter_map(|(i, r)| Some((i, *r.versions.get(model)?)))
            .max_by(|a, b| a.1.cmp(&b.1).then(b.0.cmp(&a.0)));
        match best {
            Some((i, _)) => {
                assigned.entry(model.clone()).or_default().push(left.remove(i).id.clone());
            }
            None => drop(models.remove(index)),
        }
    }
    assigned
}

/// Returns the index of the model with the most work per assigned replica; a model without
/// replicas goes first.
fn most_underserved(
    models: &[(&Name, u64)],
    assigned: &BTreeMap<Name, Vec<Name>>,
) -> Option<usize> {
    let count = |model: &Name| assigned.get(model).map_or(0, Vec::len) as u64;
    let order = |(i, a): &(usize, &(&Name, u64)), (j, b): &(usize, &(&Name, u64))| {
        let left = a.1.saturating_mul(count(b.0));
        let right = b.1.saturating_mul(count(a.0));
        left.cmp(&right).then(a.1.cmp(&b.1)).then(j.cmp(i))
    };
    models.iter().enumerate().max_by(order).map(|(index, _)| index)
}

/// Returns the loads to order now. `announced` is the newest version of each model, `demand`
/// the work of one of its steps.
pub fn next_loads(
    announced: &BTreeMap<Name, u64>,
    demand: &BTreeMap<Name, u64>,
    replicas: &[ReplicaWeights],
) -> Vec<WeightLoad> {
    let loading = replicas.iter().filter_map(|r| r.loading.clone());
    let mut running: BTreeMap<Name, usize> = BTreeMap::new();
    loading.for_each(|model| *running.entry(model).or_default() += 1);
    let mut room = max_concurrent_loads(replicas.len()).saturating_sub(running.values().sum());
    let assigned = assign_replicas(&model_weights(announced, demand), replicas);
    let mut behind: Vec<(LastLoad, u64, WeightLoad)> = Vec::new();
    for (model, ids) in &assigned {
        let Some(version) = announced.get(model).copied() else { continue };
        let open = |r: &&ReplicaWeights| {
            r.loading.is_none() && r.last_load != LastLoad::JustFailed && ids.contains(&r.id)
        };
        for replica in replicas.iter().filter(open) {
            let has = replica.versions.get(model).copied().unwrap_or(version);
            if has < version {
                let load = WeightLoad { id: replica.id.clone(), model: model.clone(), version };
                behind.push((replica.last_load, has, load));
            }
        }
    }
    behind.sort_by(|(a_end, a_has, a), (b_end, b_has, b)| {
        (a_end, a_has, &a.id).cmp(&(b_end, b_has, &b.id))
    });
    let mut loads = Vec::new();
    for (_, _, load) in behind {
        if room == 0 {
            break;
        }
        let share = assigned[&load.model].len();
        let count = running.entry(load.model.clone()).or_default();
        if *count >= share.div_ceil(MODEL_REPLICAS_PER_LOAD) {
            continue;
        }
        *count += 1;
        room -= 1;
        loads.push(load);
    }
    loads
}
