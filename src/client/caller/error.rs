//! Errors of the client for callers.

use crate::edge::http::JsonClientError;
use crate::error::Problem;

/// Why a call got no complete response.
#[derive(Debug, thiserror::Error)]
pub enum CallerError {
    /// No node answers.
    #[error("no node answers")]
    NoNode,
    /// The service refused the request.
    #[error("{}: {} ({})", .0.title, .0.detail, .0.run.as_str())]
    Refused(Box<Problem>),
    /// The request or its response was lost; the request may have run.
    #[error(transparent)]
    Failed(#[from] JsonClientError),
    /// The response is incomplete.
    #[error("the response is incomplete: {0}")]
    Partial(String),
}

impl CallerError {
    /// Parses a problem document; one that does not parse counts as an incomplete response.
    pub(super) fn refused(text: &str) -> Self {
        match serde_json::from_str(text) {
            Ok(problem) => Self::Refused(Box::new(problem)),
            Err(e) => Self::Partial(e.to_string()),
        }
    }
}
