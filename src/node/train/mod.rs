//! The steps of trainers that this node holds.

mod fill;
mod held;
mod message;
mod pull;

pub(super) use held::{Steps, submit};
pub use message::{PullGroupsRequest, PullGroupsResponse, SubmitStepRequest};
pub(super) use pull::pull;
