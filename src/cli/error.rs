//! Errors of operators' commands, and the exit status of each.

use serde::{Deserialize, Serialize};

use crate::bundle::BundleError;
use crate::edge::http::JsonClientError;
use crate::settings::SettingsError;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The input is invalid.
    #[error(transparent)]
    Invalid(#[from] SettingsError),
    /// The bundle is rejected.
    #[error(transparent)]
    Rejected(#[from] BundleError),
    /// A file can't be read or written, or its contents can't be decoded.
    #[error("{path}: {reason}")]
    File {
        /// The file.
        path: String,
        /// Why it failed.
        reason: String,
    },
    /// The bundle does not exist.
    #[error("there is no bundle {0}")]
    UnknownBundle(String),
    /// Another operator wrote the bundle first.
    #[error("conflict: {winner} was first with bundle {number}; difference:\n{difference}")]
    Conflict {
        /// The author of the bundle that is stored.
        winner: String,
        /// The number of the stored bundle.
        number: u64,
        /// The digest of the stored bundle, in hex.
        digest: String,
        /// A unified diff from the stored bundle to the new one.
        difference: String,
    },
    /// The platform or a node did not answer; nothing was changed.
    #[error("nothing was changed: {0}")]
    Unavailable(String),
    /// A rollout was not complete in time.
    #[error("not complete in time: {0}")]
    TimedOut(String),
    /// The write may or may not have taken effect.
    #[error("the write may have taken effect; look with `bundle show`: {0}")]
    OutcomeUnknown(String),
}

/// A command error as it is printed in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ErrorReport {
    /// The kind of error.
    pub error: String,
    /// The exit status.
    pub status: u8,
    /// A description for people.
    pub message: String,
    /// For a conflict: the author of the stored bundle.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub winner: Option<String>,
    /// For a conflict: the number of the stored bundle.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub number: Option<u64>,
    /// For a conflict: a unified diff from the stored bundle to the new one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub difference: Option<String>,
}

impl CommandError {
    /// Returns the exit status, which is documented in docs/OPERATORS.md.
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

    /// Returns the name of the error kind in JSON.
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

    /// Returns what `--output json` prints to standard error.
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
