//! What entry nodes do for each other: a job's home takes its submission and answers its
//! reads, and a node that the store turns away reaches it through another.

mod detour;
mod door;
mod home;
mod line;
mod message;
mod port;
mod store;

pub(super) use detour::Detour;
pub use door::{Door, PeerDoor};
pub(super) use home::Passed;
pub use line::PeerLine;
pub use message::{Followed, PeerAsk, PeerReply, StoreAsk, StoreReply};
pub use port::Peers;
