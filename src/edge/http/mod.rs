//! HTTP with hyper: bodies, clients, connection pools and listeners.

mod activity;
mod body;
mod body_reader;
mod collect;
mod final_status;
mod guarded_stream;
mod json_client;
mod pool;
mod server;
mod write_timeout;

pub use body::{
    Body, BodyAborted, BodyError, BodySender, body_from_stream, empty_body, full_body,
    json_response, problem_response, read_body, streamed_body,
};
pub use body_reader::{BodyReader, MEMORY_WAIT, STALL_TIMEOUT, no_memory};
pub use collect::{CollectError, collect_pieces, collect_while_received};
pub(crate) use final_status::check_final;
pub use json_client::{JsonClient, JsonClientError};
pub use pool::{ConnectionPool, ResponseBody, SendError};
pub use server::{Handler, Listener};
pub use write_timeout::WriteTimeout;
