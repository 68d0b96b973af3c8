//! A stand-in for the platform: its key-value service and its list of VMs.

mod faults;
mod server;
mod store;
mod wire;

pub use faults::Faults;
pub use server::Platform;
pub use store::{KeyVersion, RevisionStore};
