//! The client for callers.

mod caller;
mod error;
mod stream;

pub use caller::{CallerClient, CallerResponse};
pub use error::CallerError;
