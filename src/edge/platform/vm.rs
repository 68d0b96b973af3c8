//! The platform's list of VMs. It lags behind the actual state.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Whether a VM is about to be removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// The VM serves requests.
    Live,
    /// The VM is about to be removed and gets no new work.
    Leaving,
}

/// An upstream VM in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// The VM's name.
    pub name: Name,
    /// The service that runs on it.
    pub service: Name,
    /// The availability zone of the VM.
    pub zone: Name,
    /// The address that the service listens on.
    pub address: SocketAddr,
    /// A number that grows each time the VM starts.
    pub incarnation: u64,
    /// Whether the VM is about to be removed.
    pub state: VmState,
}
