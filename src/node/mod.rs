//! The running node: network interfaces, tasks and shared state around the decision logic in
//! [`crate::decide`].

mod addresses;
mod admin;
mod app;
mod bundles;
mod claims;
mod client_api;
mod clock;
mod completion;
mod completion_api;
mod dispatcher;
mod identity;
mod lifecycle;
mod members;
mod node;
mod orders;
mod peers;
mod plain_call;
mod quarantine;
mod steps;
mod subsets;
mod upstreams;

pub use addresses::Addresses;
pub use admin::{BundleState, RefusalCount, UpstreamState};
pub use bundles::{BUNDLE_HISTORY_PREFIX, CURRENT_BUNDLE_KEY, PROPOSED_BUNDLE_PREFIX};
pub use clock::Clock;
pub use lifecycle::Phase;
pub use node::{Node, StartError};
pub use orders::EngineState;
pub use steps::{PullGroupsRequest, PullGroupsResponse, SubmitStepRequest};
