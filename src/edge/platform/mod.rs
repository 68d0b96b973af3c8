//! The platform's key-value service and its list of VMs.
//!
//! The key-value service speaks the JSON form of the etcd v3 API (range,
//! transaction with compare, lease, watch); the list of VMs is a JSON document.

mod kept;
mod platform;
mod vm;
mod wire;

pub use kept::{Kept, Swap};
pub use platform::{Platform, Watch};
pub use vm::{Vm, VmState};
