//! Tracks the replicas of all services and chooses the replica of each attempt.

mod attempt_request;
mod calls;
mod fleet;
mod listed_replica;
mod pace;
mod replica;
mod replica_outcome;
mod report_check;
mod service_speed;
mod slot_queue;
mod table;

pub use attempt_request::AttemptRequest;
pub use calls::CallChoice;
pub use fleet::Fleet;
pub use listed_replica::ListedReplica;
pub use replica_outcome::ReplicaOutcome;
pub use slot_queue::{Grant, SlotQueue, SlotRequest};
