//! The answer of an owner to a claim request.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::ClaimOutcome;
use crate::Name;

/// The attempt that holds a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The node to which the claim was granted, or is about to be.
    pub runner: Name,
    /// The attempt.
    pub nonce: u64,
    /// How the call ended, if it has and the owner knows.
    pub outcome: Option<ClaimOutcome>,
}

/// The answer to a claim request. Only `Granted` allows a dispatch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimDecision {
    /// The claim is recorded: the call may run, once.
    Granted,
    /// Another attempt holds the key.
    Held(Holder),
    /// The key is held for different content.
    KeyReused,
    /// Another node is the owner of the partition.
    Moved(Name),
    /// Nothing can be recorded now; the caller may retry after this time.
    Unavailable(Duration),
}
