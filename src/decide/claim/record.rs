//! What is recorded of a claim.

use serde::{Deserialize, Serialize};

use super::ClaimKey;
use crate::Name;

/// How a claimed call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum End {
    /// It ran, and its whole answer came.
    Ran,
    /// It certainly did not run: the key may be claimed again.
    NotRun,
    /// It may or may not have run: the key is never granted again.
    Unknown,
}

/// A node asks for the right to run a call once.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The key.
    pub key: ClaimKey,
    /// Hash of the content.
    pub fingerprint: u64,
    /// The attempt: random, and used for one ask only.
    pub nonce: u64,
    /// The node that would run it.
    pub runner: Name,
}

/// One line of the journal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Entry {
    /// A key is claimed.
    Claim {
        /// By whom, for what.
        ask: Ask,
        /// Seconds since 1970.
        at: u64,
    },
    /// The claimed call ended.
    End {
        /// The key.
        key: ClaimKey,
        /// The attempt that ended.
        nonce: u64,
        /// How.
        end: End,
    },
}

/// The last claim of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// Hash of the content.
    pub fingerprint: u64,
    /// The attempt.
    pub nonce: u64,
    /// The node that was granted it.
    pub runner: Name,
    /// The segment that holds the claim.
    pub segment: u64,
    /// How it ended, if that is known here.
    pub end: Option<End>,
}
