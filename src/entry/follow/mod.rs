//! What a node believes of the configuration, the replicas and the other nodes: from its own
//! watch of the store, or from a node that watches for others.

mod apply;
mod feed;
mod follow;
mod source;
mod topic;

pub use feed::{Feed, News};
pub(super) use follow::follow;
pub(super) use source::Feeds;
pub(super) use topic::Topic;
