//! The operators' commands, which change state, and queries, which only read it.

pub mod commands;
pub mod queries;

mod bundle_store;
mod error;
mod rollout;

pub use bundle_store::BundleStore;
pub use error::{CommandError, ErrorReport};
pub use rollout::{RolloutProgress, follow_rollout};
