//! Why a caller has no whole answer.

use crate::edge::http::JsonClientError;
use crate::error::Problem;

/// Why a caller has no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum CallerError {
    /// No node answers.
    #[error("no node answers")]
    NoNode,
    /// The service refused.
    #[error("{}: {} ({})", .0.title, .0.detail, .0.run.as_str())]
    Refused(Box<Problem>),
    /// The call failed on the way; it may have run.
    #[error(transparent)]
    Failed(#[from] JsonClientError),
    /// The answer is not whole.
    #[error("the answer is not whole: {0}")]
    Partial(String),
}

impl CallerError {
    /// The refusal in a problem document.
    pub(super) fn refused(text: &str) -> Self {
        match serde_json::from_str(text) {
            Ok(problem) => Self::Refused(Box::new(problem)),
            Err(e) => Self::Partial(e.to_string()),
        }
    }
}
