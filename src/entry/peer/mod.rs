//! What entry nodes do for each other: a job's home takes its submission and answers its
//! reads, and a node that the store turns away reaches it through another.

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
pub(super) use requests::ForwardOutcome;
pub use server::{PeerResponder, PeerServer};
