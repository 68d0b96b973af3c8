//! Plans which replica loads which version of which model next.
//!
//! Load pattern: each trainer announces a version every few seconds, and its next step needs
//! replicas that have it, or the one before. A load takes about a second, slows others down
//! when many run, and empties the replica's cache. Moving every replica to every
//! version of every model would cost several times the loads that one model's share needs.
//! Where there are thousands of replicas, a step runs on a few dozen of them, and a share of all
//! of them would be a thousand loads for each version. So a model gets no more replicas than its
//! steps can use, and a plan looks at no others.

use std::collections::{BTreeMap, HashSet};

use super::Fleet;
use crate::Name;
use crate::decide::StepDemand;

/// One in this many replicas may load at the same time, see [`MIN_CONCURRENT_LOADS`]. The
/// deployments specify full speed while up to 2 of 9, or 7 of 36, replicas load.
const REPLICAS_PER_LOAD: f64 = 5.0;
/// The number of replicas that may always load at the same time.
const MIN_CONCURRENT_LOADS: usize = 2;
/// One in this many of a model's replicas may load at the same time: its next step comes as
/// its version is announced, and a replica that loads begins no sample for 0.9 s. With nine
/// replicas all are done after three loads, 2.7 s, before the following version is announced.
const MODEL_REPLICAS_PER_LOAD: usize = 3;
/// A model has slots for this many times the samples of a step: all of them begin at once, while a
/// third of its replicas load and an availability zone may be lost.
const SLOTS_PER_SAMPLE: u64 = 2;
/// The fewest replicas that a model has slots at, however small its steps are, so that the loss of
/// a replica costs little.
const MIN_MODEL_REPLICAS: usize = 8;
/// The samples of a step while no step is known, as after a change of the leader.
const UNKNOWN_STEP_SAMPLES: u64 = 256;

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

/// What a model gets of the replicas.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ModelShare {
    /// Its part in proportion to the other models, by the work of a step.
    pub weight: u64,
    /// The slots that its steps can use.
    pub slots: u64,
}

/// The models and the state of their loads, from which a plan follows.
#[derive(Debug)]
pub struct LoadState<'a> {
    /// The newest announced version of each model.
    pub announced: &'a BTreeMap<Name, u64>,
    /// The demand of one step of each model.
    pub demand: &'a BTreeMap<Name, StepDemand>,
    /// The model that a replica is loading, by the replica's id.
    pub loading: &'a BTreeMap<Name, Name>,
    /// The replicas whose last load failed, by id.
    pub failed: &'a BTreeMap<Name, LastLoad>,
}

/// The replicas of a model: the id of each, and the version that it has.
type Assigned = Vec<(Name, u64)>;

/// Returns how many of this number of replicas may load at the same time.
pub fn max_concurrent_loads(replicas: usize) -> usize {
    ((replicas as f64 / REPLICAS_PER_LOAD).round() as usize).max(MIN_CONCURRENT_LOADS)
}

/// Returns the models that share the replicas, each with its share: those with an announced
/// version and those that have work. A model without known steps gets the mean of the others.
///
/// If replicas were assigned only among the models announced so far, all of them would load the
/// first announced model, and the next model would wait for these loads: ten seconds with ten
/// replicas and six models.
pub fn model_shares(
    announced: &BTreeMap<Name, u64>,
    demand: &BTreeMap<Name, StepDemand>,
) -> BTreeMap<Name, ModelShare> {
    let count = demand.len().max(1) as u64;
    let mean = if demand.is_empty() {
        StepDemand { work: 1, samples: UNKNOWN_STEP_SAMPLES }
    } else {
        StepDemand {
            work: demand.values().map(|step| step.work).sum::<u64>() / count,
            samples: demand.values().map(|step| step.samples).sum::<u64>() / count,
        }
    };
    let share = |model: &Name| {
        let step = demand.get(model).unwrap_or(&mean);
        ModelShare {
            weight: step.work.max(1),
            slots: step.samples.saturating_mul(SLOTS_PER_SAMPLE),
        }
    };
    announced.keys().chain(demand.keys()).map(|model| (model.clone(), share(model))).collect()
}

/// A model while replicas are assigned to it.
struct Candidate<'a> {
    model: &'a Name,
    weight: u64,
    /// The most replicas that it gets.
    limit: usize,
    /// The replicas that may be assigned to it, the next one last.
    left: Vec<(Name, u64)>,
    assigned: Assigned,
}

/// Assigns replicas to the models in proportion to the models' weights, to each at most as many as
/// it can use. The next replica goes to the model with the most work per assigned replica, which
/// takes the replica that has its newest version. So an assignment changes only when replicas come
/// or go, or the work changes.
pub fn assign_replicas(
    shares: &BTreeMap<Name, ModelShare>,
    fleet: &Fleet,
) -> BTreeMap<Name, Assigned> {
    let limits: Vec<usize> =
        shares.iter().map(|(model, share)| max_replicas(model, share, fleet)).collect();
    // Each model may lose candidates to all others.
    let searched = limits.iter().sum();
    let mut open: Vec<Candidate<'_>> = shares
        .iter()
        .zip(limits)
        .map(|((model, share), limit)| {
            let mut left = fleet.newest(model, searched);
            left.reverse();
            Candidate { model, weight: share.weight, limit, left, assigned: Vec::new() }
        })
        .collect();
    let mut taken: HashSet<Name> = HashSet::new();
    let mut assigned = BTreeMap::new();
    while let Some(index) = most_underserved(&open) {
        let candidate = &mut open[index];
        let next = loop {
            match candidate.left.pop() {
                Some((id, _)) if taken.contains(&id) => {}
                other => break other,
            }
        };
        let full = candidate.assigned.len() >= candidate.limit;
        match next.filter(|_| !full) {
            Some((id, version)) => {
                taken.insert(id.clone());
                candidate.assigned.push((id, version));
            }
            None => {
                let done = open.remove(index);
                if !done.assigned.is_empty() {
                    assigned.insert(done.model.clone(), done.assigned);
                }
            }
        }
    }
    assigned
}

/// Returns how many replicas a model can use.
fn max_replicas(model: &Name, share: &ModelShare, fleet: &Fleet) -> usize {
    let slots = u64::from(fleet.slots_of_model(model).unwrap_or(1));
    (share.slots.div_ceil(slots) as usize).max(MIN_MODEL_REPLICAS).min(fleet.serving_count())
}

/// Returns the index of the model with the most work per assigned replica; a model without
/// replicas goes first.
fn most_underserved(models: &[Candidate<'_>]) -> Option<usize> {
    let count = |candidate: &Candidate<'_>| candidate.assigned.len() as u64;
    let order = |(i, a): &(usize, &Candidate<'_>), (j, b): &(usize, &Candidate<'_>)| {
        let left = a.weight.saturating_mul(count(b));
        let right = b.weight.saturating_mul(count(a));
        left.cmp(&right).then(a.weight.cmp(&b.weight)).then(j.cmp(i))
    };
    models.iter().enumerate().max_by(order).map(|(index, _)| index)
}

/// Returns the loads to order now.
pub fn next_loads(state: &LoadState<'_>, fleet: &Fleet) -> Vec<WeightLoad> {
    let loading = state.loading.iter().filter(|(id, _)| fleet.accepts_work(id));
    let mut running: BTreeMap<Name, usize> = BTreeMap::new();
    loading.for_each(|(_, model)| *running.entry(model.clone()).or_default() += 1);
    let mut room =
        max_concurrent_loads(fleet.serving_count()).saturating_sub(running.values().sum());
    let assigned = assign_replicas(&model_shares(state.announced, state.demand), fleet);
    let mut behind: Vec<(LastLoad, u64, WeightLoad)> = Vec::new();
    for (model, replicas) in &assigned {
        let Some(version) = state.announced.get(model).copied() else { continue };
        for (id, has) in replicas.iter().filter(|(_, has)| *has < version) {
            let last_load = state.failed.get(id).copied().unwrap_or_default();
            if state.loading.contains_key(id) || last_load == LastLoad::JustFailed {
                continue;
            }
            let load = WeightLoad { id: id.clone(), model: model.clone(), version };
            behind.push((last_load, *has, load));
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
