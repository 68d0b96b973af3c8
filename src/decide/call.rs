//! A request, reduced to what dispatch decisions need.

use serde::{Deserialize, Serialize};

use crate::{Moment, Name};

/// The priority class of a request.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize, Default,
)]
#[serde(rename_all = "snake_case")]
pub enum Class {
    /// A caller waits for the answer.
    #[default]
    Live,
    /// A sample for a trainer.
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
    /// Running the request again has no further effect.
    Idempotent,
    /// The request runs at most once.
    Once,
}

/// A request as dispatch sees it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The name of the caller or trainer.
    pub caller: Name,
    /// The priority class.
    pub class: Class,
    /// Whether the request may run more than once.
    pub repeat: Repeat,
    /// Expected cost: tokens for engines, 1 for a plain service.
    pub cost: u32,
    /// When the whole answer is due.
    pub deadline: Moment,
    /// Hash of the content; a repeated request has the same.
    pub fingerprint: u64,
    /// Hash of the prompt prefix that engines may have cached.
    pub prefix: Option<u64>,
}
