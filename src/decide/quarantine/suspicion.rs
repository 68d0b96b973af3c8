//! What nodes tell each other of crashes.

use serde::{Deserialize, Serialize};

use crate::Name;

/// One crash, as one node counted it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CrashId {
    /// The node that saw it.
    pub node: Name,
    /// Counts the node's crashes; starts at a random number, so that a node that
    /// starts anew does not repeat itself.
    pub number: u64,
}

/// A request was in flight at an upstream when that crashed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspicion {
    /// Hash of the service and the content.
    pub fingerprint: u64,
    /// How often it was cleared before: what is of an earlier epoch counts no more.
    pub epoch: u32,
    /// The crash.
    pub crash: CrashId,
    /// The upstream.
    pub upstream: Name,
    /// How long it had run there, in milliseconds.
    pub ran_ms: u64,
    /// How long ago that was, in milliseconds.
    pub age_ms: u64,
}

/// A change of what is known of a fingerprint.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Notice {
    /// It was there at a crash.
    Suspect(Suspicion),
    /// It ran elsewhere without a crash.
    Clear {
        /// Hash of the service and the content.
        fingerprint: u64,
        /// How often it has been cleared now.
        epoch: u32,
    },
}
