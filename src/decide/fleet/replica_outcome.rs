//! How an attempt at a replica ended.

use std::time::Duration;

/// How an attempt at a replica ended, which affects the choice of replicas for the next
/// attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaOutcome {
    /// The replica gave a complete answer.
    Answered {
        /// Time from the start of the attempt to its end.
        duration: Duration,
        /// The cost of the answer, in units that are comparable within a service.
        cost: u32,
    },
    /// The replica was full.
    Full,
    /// The replica is loading weights of the model.
    Loading,
    /// No connection to the replica could be made.
    Unreachable,
    /// The answer broke off or the replica stopped sending.
    Failed,
    /// The attempt was given up for a reason unrelated to the replica.
    Abandoned,
}
