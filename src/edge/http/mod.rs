//! HTTP by hyper: what servers and clients share.

mod body;
mod fetch;
mod server;

pub use body::{Aborted, Body, BodySender, ReadError, empty, full, json, problem, read, streamed};
pub use fetch::{Fetch, FetchError};
pub use server::{Handler, Listener};
