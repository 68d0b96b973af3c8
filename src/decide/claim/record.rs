//! Claim requests, the journal's entries, and the records that are made from them.

use serde::{Deserialize, Serialize};

use super::ClaimKey;
use crate::Name;

/// How a claimed call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ClaimOutcome {
    /// The call ran, and its whole answer was received.
    Ran,
    /// The call certainly did not run: the key may be claimed again.
    NotRun,
    /// The call may or may not have run: the key is never granted again.
    Unknown,
}

/// A node's request for the right to run a call once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRequest {
    /// The key that is claimed.
    pub key: ClaimKey,
    /// Hash of the call's content.
    pub fingerprint: u64,
    /// Identifies the attempt: random, and used for one request only.
    pub nonce: u64,
    /// The node that would run the call.
    pub runner: Name,
}

/// An entry of the journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum JournalEntry {
    /// A key is claimed.
    Claim {
        /// The request that claims it.
        request: ClaimRequest,
        /// When it was claimed, in seconds since 1970.
        claimed_at: u64,
    },
    /// A claimed call ended.
    End {
        /// The key.
        key: ClaimKey,
        /// The attempt that ended.
        nonce: u64,
        /// How it ended.
        outcome: ClaimOutcome,
    },
}

/// The last claim of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRecord {
    /// Hash of the call's content.
    pub fingerprint: u64,
    /// The attempt that holds the key.
    pub nonce: u64,
    /// The node to which the claim was granted.
    pub runner: Name,
    /// Number of the segment that contains the claim.
    pub segment: u64,
    /// How the call ended, if it has and the journal knows.
    pub outcome: Option<ClaimOutcome>,
}
