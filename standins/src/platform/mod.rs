//! A stand-in for the platform: key-value service and list of VMs.

mod faults;
mod server;
mod store;
mod wire;

pub use faults::Faults;
pub use server::Platform;
pub use store::{Entry, Store};
