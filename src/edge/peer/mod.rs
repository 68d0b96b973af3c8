//! Between nodes: HTTP/2 streams with bincode, one request and one reply a stream.

mod client;
mod codec;
mod message;
mod server;

pub use crate::decide::members::NodeState;
pub use client::{PeerClient, PeerError};
pub use codec::{CodecError, PROTOCOL_VERSION, decode, encode, pack, unpack};
pub use message::{NodeInfo, NodeLocation, NodeReply, NodeRequest, PeerMessage};
pub use server::{PeerHandler, PeerListener};
