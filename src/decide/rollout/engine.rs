//! What an engine is to be, what it was seen to be, and the difference.

use serde::{Deserialize, Serialize};

/// What the bundle wants of the engines of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Wanted {
    /// The bundle's number: the fencing number of orders.
    pub generation: u64,
    /// The weight version.
    pub version: u64,
}

/// What a look at an engine showed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Sight {
    /// It did not answer.
    Silent,
    /// It answered.
    Report {
        /// The version that it serves; none if its weights are not whole.
        version: Option<u64>,
        /// Whether it is swapping weights.
        swapping: bool,
    },
}

/// Where an engine is on its way to the wanted version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// Nobody has looked yet.
    Unknown,
    /// It does not answer.
    Silent,
    /// It serves another version.
    Behind,
    /// It is swapping.
    Swapping,
    /// Its weights are not whole: a swap failed partway.
    Failed,
    /// It serves the wanted version.
    Settled,
}

impl Stage {
    /// Judges a look at an engine.
    pub fn of(sight: Sight, wanted: Wanted) -> Self {
        match sight {
            Sight::Silent => Self::Silent,
            Sight::Report { swapping: true, .. } => Self::Swapping,
            Sight::Report { version: None, .. } => Self::Failed,
            Sight::Report { version: Some(v), .. } if v == wanted.version => Self::Settled,
            Sight::Report { .. } => Self::Behind,
        }
    }

    /// The stage's name in logs and documents.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Silent => "silent",
            Self::Behind => "behind",
            Self::Swapping => "swapping",
            Self::Failed => "failed",
            Self::Settled => "settled",
        }
    }
}
