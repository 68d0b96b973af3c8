//! Messages between nodes: bincode over HTTP/2, with one request and one reply per stream.

mod client;
mod codec;
mod limits;
mod message_reader;
mod messages;
mod open_requests;
mod reply_start;
mod server;

pub use crate::decide::members::NodeState;
pub use client::{PeerClient, PeerError};
pub use codec::{
    CodecError, MAX_MESSAGE_BYTES, PROTOCOL_VERSION, decode, encode, pack, pack_value, unpack,
    unpack_value,
};
pub use limits::PeerLimits;
pub use messages::{NodeInfo, NodeLocation, NodeReply, NodeRequest, PeerMessage};
pub use reply_start::ReplyStart;
pub use server::{PeerHandler, PeerListener};
