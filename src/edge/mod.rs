//! The edge: every socket of a process, and nothing that decides.

pub mod http;
pub mod peer;
pub mod platform;
pub mod upstream;

mod socket;
