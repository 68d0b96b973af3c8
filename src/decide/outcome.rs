//! How an attempt at an upstream ended.

use serde::{Deserialize, Serialize};

use crate::error::Run;

/// The end of one attempt.
///
/// There is no conversion into this type and no default: each place that ends
/// an attempt names its outcome, and only [`Outcome::Unsent`] and
/// [`Outcome::Refused`] mean that the request did not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No byte of the request left for the upstream.
    Unsent,
    /// The upstream said that it did not start the request.
    Refused,
    /// The request left and no whole answer came.
    Unknown,
    /// The whole answer came.
    Answered,
}

impl Outcome {
    /// What the outcome says about whether the request ran.
    pub fn run(self) -> Run {
        match self {
            Self::Unsent | Self::Refused => Run::NotRun,
            Self::Unknown => Run::Unknown,
            Self::Answered => Run::Ran,
        }
    }
}
