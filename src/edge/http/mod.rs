//! HTTP by hyper: what servers and clients share.

mod body;
mod fetch;
mod gather;
mod pool;
mod server;

pub use body::{
    Aborted, Body, BodySender, ReadError, empty, from_pieces, full, json, problem, read, streamed,
};
pub use fetch::{Fetch, FetchError};
pub use gather::{GatherError, gather, gather_while};
pub use pool::{Pieces, Pool, SendError};
pub use server::{Handler, Listener};
