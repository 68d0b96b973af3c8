//! One request as the decisions see it.

use serde::{Deserialize, Serialize};

use crate::{Moment, Name};

/// The priority class of a request.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Default,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// Someone waits for the answer.
    #[default]
    Live,
    /// Rollouts of a trainer.
    Training,
}

impl Class {
    /// The class's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Live => "live",
            Self::Training => "training",
        }
    }
}

/// Whether a request may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Repeat {
    /// Running it again does no harm.
    Idempotent,
    /// It runs at most once.
    Once,
}

/// One request.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// Who asks.
    pub caller: Name,
    /// Its priority class.
    pub class: Class,
    /// Whether it may be repeated.
    pub repeat: Repeat,
    /// Expected cost: tokens for engines, 1 for a plain service.
    pub cost: u32,
    /// When the answer must be there.
    pub deadline: Moment,
    /// Hash of the content, the same when it is sent again.
    pub fingerprint: u64,
    /// Hash of the part of the prompt that engines may have cached.
    pub prefix: Option<u64>,
}
