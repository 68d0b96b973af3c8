//! Why an operator's command failed, and the exit status of each.

use crate::bundle::Rejected;
use crate::edge::http::FetchError;
use crate::settings::Invalid;

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// The input does not check.
    #[error(transparent)]
    Invalid(#[from] Invalid),
    /// The bundle is not taken.
    #[error(transparent)]
    Rejected(#[from] Rejected),
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
    NoBundle(String),
    /// Another operator was first.
    #[error("conflict: {winner} was first with bundle {number}; difference:\n{difference}")]
    Conflict {
        /// The operator who was first.
        winner: String,
        /// The number of that bundle.
        number: u64,
        /// The lines that differ.
        difference: String,
    },
    /// The platform or a node did not answer: nothing was changed.
    #[error("nothing was changed: {0}")]
    Unavailable(String),
    /// The write may or may not have taken effect.
    #[error("the write may have taken effect; look with `bundle show`: {0}")]
    Unknown(String),
}

impl Failure {
    /// The exit status: documented in docs/OPERATORS.md.
    pub fn status(&self) -> u8 {
        match self {
            Self::Invalid(_) | Self::File { .. } => 2,
            Self::Rejected(_) => 3,
            Self::Conflict { .. } => 4,
            Self::NoBundle(_) => 5,
            Self::Unavailable(_) => 6,
            Self::Unknown(_) => 7,
        }
    }
}

impl From<FetchError> for Failure {
    fn from(e: FetchError) -> Self {
        Self::Unavailable(e.to_string())
    }
}
