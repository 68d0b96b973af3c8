//! How much work the steps of each model bring.
//!
//! Load pattern: the steps of one trainer come to several times the work of another's, and
//! each has to be whole within the same time. Where replicas are few, equal shares leave the
//! trainers with the long texts behind and the replicas of the others idle. What counts is the
//! work of one step, not of a second: a trainer that has fallen behind asks less often.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::{Moment, Name};

/// After so long without a step a model has no demand: several steps of the trainers stated.
const KEPT: Duration = Duration::from_secs(60);
/// A step that differs by less than one part in so many changes nothing: estimates of length
/// are often far off, and each replica that changes its model costs a load.
const ALIKE: u64 = 4;

/// The work of the latest steps, by model.
#[derive(Debug, Clone, Default)]
pub struct Demand {
    steps: BTreeMap<Name, Step>,
}

#[derive(Debug, Clone, Copy)]
struct Step {
    /// In expected units of text.
    work: u64,
    at: Moment,
}

impl Demand {
    /// A step of a model begins, or is known elsewhere.
    pub fn note(&mut self, model: &Name, work: u64, now: Moment) {
        self.steps.retain(|_, step| now.saturating_sub(step.at) < KEPT);
        let step = self.steps.entry(model.clone()).or_insert(Step { work, at: now });
        step.at = now;
        if step.work.abs_diff(work) > step.work / ALIKE {
            step.work = work;
        }
    }

    /// The work of one step of each model.
    pub fn by_model(&self, now: Moment) -> BTreeMap<Name, u64> {
        let steps = self.steps.iter().filter(|(_, step)| now.saturating_sub(step.at) < KEPT);
        steps.map(|(model, step)| (model.clone(), step.work)).collect()
    }
}
