//! Decides how many replicas of a service are ordered in each availability zone.

mod autoscale;
mod demand_estimator;
mod planner;

pub use autoscale::{Autoscale, AutoscaleFault};
pub use demand_estimator::DemandEstimator;
pub use planner::{Planner, ReplicaCounts};
