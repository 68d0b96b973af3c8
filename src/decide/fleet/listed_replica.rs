//! The platform's description of a replica.

use crate::Name;
use crate::edge::replica::Target;

/// A replica as the platform lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedReplica {
    /// Its incarnation and address.
    pub target: Target,
    /// The service it belongs to.
    pub service: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Number of requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Whether it is a spot replica, which may be taken back at short notice.
    pub spot: bool,
    /// Its weights: each model with its version.
    pub versions: Vec<(Name, u64)>,
}
