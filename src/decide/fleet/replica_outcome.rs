//! The end of an attempt.

use std::time::Duration;

/// How an attempt ended, for the choice of the next ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReplicaOutcome {
    /// With a whole answer.
    Answered {
        /// How long it took.
        duration: Duration,
        /// What it came to, in units that can be compared within a service.
        cost: u32,
    },
    /// The replica was full.
    Full,
    /// The replica is loading weights of the model.
    Loading,
    /// No connection.
    Unreachable,
    /// It broke off or fell silent.
    Failed,
    /// It was given up for a reason that says nothing of the replica.
    Abandoned,
}
