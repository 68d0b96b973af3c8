//! What several test files need.

pub(crate) mod daemon;
