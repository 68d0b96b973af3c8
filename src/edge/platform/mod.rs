//! The client of the platform's key-value service and its list of VMs.
//!
//! The key-value service speaks the JSON form of the etcd v3 API (range, transaction with
//! compare, lease, watch). The list of VMs is a JSON document.

mod client;
mod etcd;
mod value;
mod vm;

pub use client::{PlatformClient, WatchStream};
pub use value::{SwapOutcome, VersionedValue};
pub use vm::{Vm, VmState};
