//! Requests between entry nodes: the owner of a job accepts its submission and answers its reads,
//! and a node that cannot reach the store makes its calls through another node.

mod fallback_store;
mod http_peers;
mod messages;
mod peers;
mod requests;
mod server;
mod store;

pub(super) use fallback_store::FallbackStore;
pub use http_peers::HttpPeers;
pub use messages::{FeedTopic, PeerReply, PeerRequest, StoreReply, StoreRequest};
pub use peers::Peers;
pub(super) use requests::{ForwardOutcome, MAX_UPDATE_WAIT, SnapshotReply};
pub(super) use server::NO_REVISION;
pub use server::{PeerResponder, PeerServer};
