//! How many replicas of a service are ordered in each availability zone.

mod autoscale;
mod load;
mod planner;

pub use autoscale::{Autoscale, AutoscaleFault};
pub use load::Load;
pub use planner::{Plan, Planner};
