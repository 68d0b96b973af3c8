//! A client for callers.

mod caller;
mod error;
mod stream;

pub use caller::{Caller, Received};
pub use error::CallerError;
