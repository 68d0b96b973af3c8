//! The closed list of error kinds, and the response to each.

mod kind;
mod refusal;
mod response;

pub use kind::Kind;
pub use refusal::{Problem, Refusal};
pub use response::{ErrorResponse, RunStatus};
