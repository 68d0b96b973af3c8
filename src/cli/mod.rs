//! The operators' commands and, apart from them, their queries.

pub mod commands;
pub mod queries;

mod failure;
mod rollout;
mod store;

pub use failure::{CommandError, ErrorReport};
pub use rollout::{RolloutProgress, follow_rollout};
pub use store::BundleStore;
