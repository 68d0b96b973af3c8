//! Replicas are ordered where the samples of steps want more places than there are.

mod orders;
mod slot_demand;

pub(super) use orders::run_autoscaling;
pub(super) use slot_demand::{SlotDemand, SlotDemandGuard};
