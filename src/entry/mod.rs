//! The entry node: a stateless process in front of the replicas, which keeps all durable data in a
//! key-value store.
//!
//! All entry nodes are equal. A batch job is written to the store before it is accepted, and its
//! results before they are returned. One node owns a job and runs it; when that node goes away,
//! another one takes the job over. One node at a time is the leader, which sends orders to the
//! replicas and to the platform.

mod addresses;
mod app;
mod attempt;
mod calls;
mod counted_store;
mod end_job;
mod ended_jobs;
mod entry_node;
mod failures;
mod fenced_value;
mod follow;
mod keys;
mod late_runs;
mod leader;
mod membership;
mod owned_jobs;
mod peer;
mod ports;
mod quarantine;
mod read;
mod registration;
mod relay;
mod remote_jobs;
mod reported_capacity;
mod response_body;
mod results;
mod resumption;
mod retire;
mod runner;
mod sample;
mod scale;
mod score;
mod service_times;
mod shares;
mod slots;
mod stream;
mod submit;
mod takeover;
mod usage;

pub use app::App;
pub use entry_node::EntryNode;
pub use follow::{Feed, FeedReply, FeedUpdate, PackedRange, StoreContact};
pub use peer::{
    FeedTopic, HttpPeers, PeerReply, PeerRequest, PeerResponder, PeerServer, Peers, StoreReply,
    StoreRequest,
};
pub use ports::Ports;
pub use read::{Lookup, ReadResult};
pub use relay::{RelayRequest, RelayResponse};
pub use submit::{NO_MEMORY, SubmitResult, TOO_LARGE_FOR_MEMORY};
