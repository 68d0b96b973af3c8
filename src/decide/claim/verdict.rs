//! What a home says to an ask.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::End;
use crate::Name;

/// The attempt that holds a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Holder {
    /// The node that was granted it, or is about to be.
    pub runner: Name,
    /// The attempt.
    pub nonce: u64,
    /// How it ended, if the home knows.
    pub end: Option<End>,
}

/// The answer to an ask. Only `Granted` allows a dispatch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Verdict {
    /// The claim is recorded: run the call, once.
    Granted,
    /// Another attempt holds the key.
    Held(Holder),
    /// The key is held for another content.
    Reused,
    /// Another node is home.
    Moved(Name),
    /// Nothing can be recorded now; come back after this time.
    Unavailable(Duration),
}
