//! A replica as it is listed.

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
    /// Requests that it runs at the same time.
    pub slots: u32,
    /// Whether it is leaving.
    pub draining: bool,
    /// Whether it may be taken back at short notice.
    pub spot: bool,
    /// Model and version of its weights.
    pub versions: Vec<(Name, u64)>,
}
