//! Refusals and the problem documents that report them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Kind, RunStatus};

/// A final error response to a request.
///
/// The kind determines what is known about whether the request ran.
/// [`Refusal::with_unknown_outcome`] can make this less certain; nothing can make it more
/// certain:
///
/// ```compile_fail
/// use mulberrycourse::error::{Kind, Refusal, RunStatus};
/// let mut refusal = Refusal::new(Kind::OutcomeUnknown, "the connection broke");
/// refusal.run = RunStatus::NotRun;
/// ```
/// ```compile_fail
/// use mulberrycourse::error::{Kind, Refusal, RunStatus};
/// let sure = Refusal::new(Kind::RetriesSpent, "no attempt ran");
/// let refusal = Refusal { kind: Kind::Truncated, run: RunStatus::NotRun, ..sure };
/// ```
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{kind}: {detail}")]
pub struct Refusal {
    /// The kind of error.
    pub kind: Kind,
    run: RunStatus,
    /// A description of this particular error, for people.
    pub detail: String,
    /// How long to wait before a retry, if one may succeed.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal with the run status of its kind.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Self { kind, run: kind.response().run, detail: detail.into(), retry_after: None }
    }

    /// What is known about whether the request ran.
    pub fn run(&self) -> RunStatus {
        self.run
    }

    /// Changes the kind, and sets the run status to [`RunStatus::Unknown`]: the request may have
    /// run after all.
    pub fn with_unknown_outcome(self, kind: Kind) -> Self {
        Self { kind, run: RunStatus::Unknown, ..self }
    }

    /// Sets how long the client should wait before a retry.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Returns the problem document (RFC 9457) of this refusal.
    pub fn problem(&self) -> Problem {
        let response = self.kind.response();
        Problem {
            kind: format!("urn:mulberrycourse:{}", self.kind),
            title: response.title.to_owned(),
            status: response.status.as_u16(),
            detail: self.detail.clone(),
            run: self.run,
            retry_after_ms: self.retry_after.map(|d| d.as_millis() as u64),
        }
    }
}

/// A problem document (RFC 9457) with the extension members `run` and `retry_after_ms`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The URN of the kind, `urn:mulberrycourse:KIND`.
    #[serde(rename = "type")]
    pub kind: String,
    /// The description of the kind.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// The description of this particular error.
    pub detail: String,
    /// What is known about whether the request ran.
    pub run: RunStatus,
    /// How long to wait before a retry, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
