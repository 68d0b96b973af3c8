//! Keeps this node's view of the configuration, the replicas and the other nodes current, by a
//! watch of the store or by updates from a node that watches the store for others.

mod apply;
mod feed;
mod follower;
mod packed_range;
mod received_update;
mod route_versions;
mod sources;
mod store_contact;
mod topic;

pub use feed::{Feed, FeedReply, FeedUpdate};
pub(super) use follower::follow;
pub use packed_range::PackedRange;
pub(super) use route_versions::RouteVersions;
pub(super) use sources::Feeds;
pub use store_contact::StoreContact;
pub(super) use topic::Topic;
