//! Why an operator's command failed, and the exit status of each.

use serde::{Deserialize, Serialize};

use crate::bundle::BundleError;
use crate::edge::http::JsonClientError;
use crate::settings::SettingsError;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The input does not check.
    #[error(transparent)]
    Invalid(#[from] SettingsError),
    /// The bundle is not taken.
    #[error(transparent)]
    Rejected(#[from] BundleError),
    /// A file can't be read or written, or holds no key.
    #[error("{path}: {reason}")]
    File {
        /// The file.
        path: String,
        /// What is wrong.
        reason: String,
    },
    /// There is no such bundle.
    #[error("there is no bundle {0}")]
    UnknownBundle(String),
    /// Another operator was first.
    #[error("conflict: {winner} was first with bundle {number}; difference:\n{difference}")]
    Conflict {
        /// The operator who was first.
        winner: String,
        /// The number of that bundle.
        number: u64,
        /// Its digest, in hex.
        digest: String,
        /// The lines that differ.
        difference: String,
    },
    /// The platform or a node did not answer: nothing was changed.
    #[error("nothing was changed: {0}")]
    Unavailable(String),
    /// A rollout was not done in time.
    #[error("not done in time: {0}")]
    TimedOut(String),
    /// The write may or may not have taken effect.
    #[error("the write may have taken effect; look with `bundle show`: {0}")]
    OutcomeUnknown(String),
}

/// A failure in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReport {
    /// Its kind.
    pub error: String,
    /// The exit status.
    pub status: u8,
    /// For people.
    pub message: String,
    /// For a conflict: who was first.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub winner: Option<String>,
    /// For a conflict: the number of that bundle.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub number: Option<u64>,
    /// For a conflict: the difference, as a unified diff.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub difference: Option<String>,
}

impl CommandError {
    /// The exit status: documented in docs/OPERATORS.md.
    pub fn status(&self) -> u8 {
        match self {
            Self::Invalid(_) | Self::File { .. } => 2,
            Self::Rejected(_) => 3,
            Self::Conflict { .. } => 4,
            Self::UnknownBundle(_) => 5,
            Self::Unavailable(_) => 6,
            Self::OutcomeUnknown(_) => 7,
            Self::TimedOut(_) => 8,
        }
    }

    /// The failure's name in JSON.
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Invalid(_) => "invalid",
            Self::File { .. } => "file",
            Self::Rejected(_) => "rejected",
            Self::Conflict { .. } => "conflict",
            Self::UnknownBundle(_) => "no_bundle",
            Self::Unavailable(_) => "unavailable",
            Self::OutcomeUnknown(_) => "unknown",
            Self::TimedOut(_) => "late",
        }
    }

    /// What `--output json` prints on standard error.
    pub fn report(&self) -> ErrorReport {
        let (winner, number, difference) = match self {
            Self::Conflict { winner, number, difference, .. } => {
                (Some(winner.clone()), Some(*number), Some(difference.clone()))
            }
            Self::Invalid(_)
            | Self::Rejected(_)
            | Self::File { .. }
            | Self::UnknownBundle(_)
            | Self::Unavailable(_)
            | Self::OutcomeUnknown(_)
            | Self::TimedOut(_) => (None, None, None),
        };
        ErrorReport {
            error: self.kind().to_owned(),
            status: self.status(),
            message: self.to_string(),
            winner,
            number,
            difference,
        }
    }
}

impl From<JsonClientError> for CommandError {
    fn from(e: JsonClientError) -> Self {
        Self::Unavailable(e.to_string())
    }
}
