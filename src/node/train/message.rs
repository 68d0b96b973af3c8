//! What trainers and nodes say to each other.

use serde::{Deserialize, Serialize};

use crate::decide::{Group, Ranges, StepSpec};

/// A trainer's step, with what it has of it when it goes on at another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Submit {
    /// The step.
    #[serde(flatten)]
    pub spec: StepSpec,
    /// The groups that the trainer has: they are not made again.
    #[serde(default)]
    pub have: Ranges,
    /// Finished samples that a leaving node gave along.
    #[serde(default)]
    pub parts: Vec<Group>,
}

/// A trainer's pull: where it is and what it has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pull {
    /// The version that the trainer is at.
    pub version: u64,
    /// The groups of this step that it has: the acknowledgement.
    pub have: Ranges,
    /// The most groups to hand over.
    pub most: usize,
    /// How long to wait for the first, in milliseconds.
    pub wait_ms: u64,
}

/// What a pull brings.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Pulled {
    /// Whole groups that the trainer does not have.
    pub groups: Vec<Group>,
    /// Whether the trainer has every group.
    pub complete: bool,
    /// The staleness bound in versions, for the check on arrival.
    pub bound: u64,
    /// The node lets the step go: it goes on at another, with `parts`.
    #[serde(default)]
    pub leaving: bool,
    /// Finished samples of groups that are not whole, when the node leaves.
    #[serde(default)]
    pub parts: Vec<Group>,
}
