//! The steps of trainers that this node owns: it makes their samples and returns complete groups.

mod active_steps;
mod messages;
mod pull;
mod sampling;

pub(super) use active_steps::{ActiveSteps, submit_step};
pub use messages::{PullGroupsRequest, PullGroupsResponse, SubmitStepRequest};
pub(super) use pull::pull_groups;
