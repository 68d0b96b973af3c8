//! Autoscaling: the leader orders replicas where the samples of training steps need more slots
//! than there are.

mod orders;
mod slot_demand;

pub(super) use orders::run_autoscaling;
pub(super) use slot_demand::{SlotDemand, SlotDemandGuard};
