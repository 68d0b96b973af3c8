//! The edge to the replicas that run requests.

mod call;
mod replicas;

pub use call::{
    BodyStream, CallError, OrderOutcome, ReplicaCall, ReplicaLoad, ReplicaStatus, Reply, Target,
    WeightOrder,
};
pub use replicas::Replicas;
