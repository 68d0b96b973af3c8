//! The operators' commands and, apart from them, their queries.

pub mod commands;
pub mod queries;

mod failure;
mod store;

pub use failure::Failure;
pub use store::Store;
