//! The running node: the shell around the decisions.

mod addresses;
mod admin;
mod app;
mod bundles;
mod callers;
mod claims;
mod clock;
mod complete;
mod dispatcher;
mod identity;
mod lifecycle;
mod members;
mod node;
mod orders;
mod peers;
mod plain;
mod stream;
mod subsets;
mod suspects;
mod train;
mod upstreams;

pub use addresses::Addresses;
pub use admin::{BundleState, RefusalCount, UpstreamState};
pub use bundles::{BUNDLE_HISTORY_PREFIX, CURRENT_BUNDLE_KEY, PROPOSED_BUNDLE_PREFIX};
pub use clock::Clock;
pub use lifecycle::Phase;
pub use node::{Node, StartError};
pub use orders::EngineState;
pub use train::{PullGroupsRequest, PullGroupsResponse, SubmitStepRequest};
