//! The requests of trainers about a step, and the responses.

use serde::{Deserialize, Serialize};

use crate::decide::{Group, Ranges, StepSpec};

/// Submits a step to a node, with the groups that the trainer already has when the step continues
/// at another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SubmitStepRequest {
    /// The groups to sample.
    #[serde(flatten)]
    pub spec: StepSpec,
    /// The groups that the trainer has received. They are not sampled again.
    #[serde(default, rename = "have")]
    pub delivered: Ranges,
    /// The finished samples of incomplete groups that a draining node returned.
    #[serde(default, rename = "parts")]
    pub partial_groups: Vec<Group>,
}

/// Asks for complete groups of a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullGroupsRequest {
    /// The current weight version of the trainer.
    pub version: u64,
    /// The groups of this step that the trainer has received, as an acknowledgement.
    #[serde(rename = "have")]
    pub delivered: Ranges,
    /// The maximum number of groups to return.
    #[serde(rename = "most")]
    pub max_groups: usize,
    /// How long to wait for the first group, in milliseconds.
    pub wait_ms: u64,
}

/// The groups that a node returns for a pull.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PullGroupsResponse {
    /// The complete groups that the trainer has not received yet.
    pub groups: Vec<Group>,
    /// Whether the trainer has received every group of the step.
    pub complete: bool,
    /// The staleness bound in versions. The trainer checks the groups against it on arrival.
    #[serde(rename = "bound")]
    pub staleness_bound: u64,
    /// The node has released the step because it drains. The trainer submits the step to another
    /// node, together with `partial_groups`.
    #[serde(default, rename = "leaving")]
    pub draining: bool,
    /// The finished samples of incomplete groups. Filled only when the node drains.
    #[serde(default, rename = "parts")]
    pub partial_groups: Vec<Group>,
}
