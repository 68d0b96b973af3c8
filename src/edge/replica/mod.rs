//! The interface to the replicas, which run requests.

mod replicas;
mod types;

pub use replicas::Replicas;
pub use types::{
    BodyStream, CallError, OrderOutcome, ReplicaCall, ReplicaLoad, ReplicaStatus, Reply, Target,
    WeightOrder,
};
