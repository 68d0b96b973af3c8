//! The platform's list of VMs. It lags.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;

/// Whether a VM stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// It serves.
    Live,
    /// It is about to go and gets no new work.
    Leaving,
}

/// An upstream VM in the list.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Vm {
    /// Its name.
    pub name: Name,
    /// The service that runs on it.
    pub service: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Grows each time that the VM starts.
    pub incarnation: u64,
    /// Whether it stays.
    pub state: VmState,
}
