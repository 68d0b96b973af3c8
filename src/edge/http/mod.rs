//! HTTP by hyper: what servers and clients share.

mod body;
mod fetch;
mod pool;
mod server;

pub use body::{
    Aborted, Body, BodySender, ReadError, empty, from_pieces, full, json, problem, read, streamed,
};
pub use fetch::{Fetch, FetchError};
pub use pool::{Pieces, Pool, SendError, gather};
pub use server::{Handler, Listener};
