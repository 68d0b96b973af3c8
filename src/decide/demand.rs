//! The amount of work that the steps of each model bring.
//!
//! Load pattern: the steps of one trainer bring several times the work of another's, and
//! each step has to be complete within the same time. Where replicas are few, equal shares
//! leave the trainers with long texts behind and the replicas of the others idle. Demand is the
//! work per step, not per second, because a trainer that has fallen behind asks less often.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Moment, Name};

/// A model without a step for this long has no demand. It spans several steps of the usual
/// trainers.
const DEMAND_RETENTION: Duration = Duration::from_secs(60);
/// A step that differs by at most the known demand divided by this leaves it unchanged: length
/// estimates are often far off, and each replica that changes its model costs a load.
const UNCHANGED_DIVISOR: u64 = 4;

/// What one step of a model brings.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct StepDemand {
    /// Expected length of its texts together, in the unit of the senders' estimates.
    pub work: u64,
    /// Number of its samples.
    pub samples: u64,
}

impl StepDemand {
    /// Whether a later step differs enough to change the demand.
    fn differs(&self, later: &Self) -> bool {
        let far = |known: u64, new: u64| known.abs_diff(new) > known / UNCHANGED_DIVISOR;
        far(self.work, later.work) || far(self.samples, later.samples)
    }
}

/// The demand of the latest step of each model.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    steps: BTreeMap<Name, LatestStep>,
}

#[derive(Debug, Clone, Copy)]
struct LatestStep {
    demand: StepDemand,
    at: Moment,
}

impl Demand {
    /// Records a step of a model that begins here or is known from another node.
    pub fn record(&mut self, model: &Name, demand: StepDemand, now: Moment) {
        self.steps.retain(|_, step| now.saturating_sub(step.at) < DEMAND_RETENTION);
        let step = self.steps.entry(model.clone()).or_insert(LatestStep { demand, at: now });
        step.at = now;
        if step.demand.differs(&demand) {
            step.demand = demand;
        }
    }

    /// Returns the demand of one step of each model.
    pub fn by_model(&self, now: Moment) -> BTreeMap<Name, StepDemand> {
        let recent = |step: &LatestStep| now.saturating_sub(step.at) < DEMAND_RETENTION;
        let steps = self.steps.iter().filter(|(_, step)| recent(step));
        steps.map(|(model, step)| (model.clone(), step.demand)).collect()
    }
}
