//! What a node believes of the configuration, the replicas and the other nodes: from its own
//! watch of the store, or from a node that watches for others.

mod apply;
mod feed;
mod follower;
mod sources;
mod topic;

pub use feed::{Feed, FeedUpdate};
pub(super) use follower::follow;
pub(super) use sources::Feeds;
pub(super) use topic::Topic;
