//! A process before replicas, where a key-value store holds all that lasts.
//!
//! Every process is the same and keeps nothing of its own: a batch job lies in the store
//! before it is accepted, its results before they are shown. One node is home to a job and
//! runs it; when that node goes, another takes the job over. One node gives orders.

mod addresses;
mod app;
mod attempt;
mod counted;
mod end;
mod ended;
mod entry;
mod fenced_value;
mod follow;
mod keys;
mod leader;
mod membership;
mod owned_jobs;
mod peer;
mod ports;
mod read;
mod registration;
mod relay;
mod results;
mod retire;
mod runner;
mod sample;
mod scale;
mod score;
mod slots;
mod stream;
mod submit;
mod takeover;
mod usage;
mod views;

pub use app::App;
pub use entry::Entry;
pub use follow::{Feed, News};
pub use peer::{
    Door, Followed, PeerAsk, PeerDoor, PeerLine, PeerReply, Peers, StoreAsk, StoreReply,
};
pub use ports::Ports;
pub use read::{Lookup, ReadResult};
pub use relay::{RelayRequest, RelayResponse};
pub use submit::SubmitResult;
