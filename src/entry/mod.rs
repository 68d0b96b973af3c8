//! A process before replicas, where a key-value store holds all that lasts.
//!
//! Every process is the same and keeps nothing of its own: a batch job lies in the store
//! before it is accepted, its results before they are shown. One node is home to a job and
//! runs it; when that node goes, another takes the job over. One node gives orders.

mod addresses;
mod app;
mod counted_store;
mod end_job;
mod ended_jobs;
mod entry_node;
mod follow;
mod home;
mod homes;
mod keys;
mod listing;
mod live;
mod member;
mod mover;
mod peer;
mod ports;
mod read;
mod record;
mod relay;
mod remote_jobs;
mod retire;
mod run;
mod sample;
mod scale;
mod score;
mod slots;
mod stream;
mod submit;
mod takeover;
mod usage;

pub use app::App;
pub use entry_node::EntryNode;
pub use follow::{Feed, FeedUpdate};
pub use peer::{
    FeedTopic, HttpPeers, PeerReply, PeerRequest, PeerResponder, PeerServer, Peers, StoreReply,
    StoreRequest,
};
pub use ports::Ports;
pub use read::{Found, Read};
pub use relay::{Ask, Given};
pub use submit::Submitted;
