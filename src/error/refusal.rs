//! A refusal: a kind, a detail and when to come back.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::{Kind, RunStatus};

/// A final answer that is not the one asked for.
///
/// Whether the request ran is the kind's to say. It can be made less certain by
/// [`Refusal::with_unknown_outcome`]; nothing makes it more certain:
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
    /// Why.
    pub kind: Kind,
    run: RunStatus,
    /// What exactly, for people.
    pub detail: String,
    /// When to come back, if that helps.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal with the kind's own answer.
    pub fn new(kind: Kind, detail: impl Into<String>) -> Self {
        Self { kind, run: kind.response().run, detail: detail.into(), retry_after: None }
    }

    /// What is known about whether the request ran.
    pub fn run(&self) -> RunStatus {
        self.run
    }

    /// The request may have run after all, which the kind is to say.
    pub fn with_unknown_outcome(self, kind: Kind) -> Self {
        Self { kind, run: RunStatus::Unknown, ..self }
    }

    /// Says when to come back.
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// The problem document (RFC 9457) of this refusal.
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

/// A problem document, RFC 9457, with two members of our own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A URN that ends in the kind.
    #[serde(rename = "type")]
    pub kind: String,
    /// One sentence per kind.
    pub title: String,
    /// HTTP status.
    pub status: u16,
    /// What exactly.
    pub detail: String,
    /// Whether the request ran.
    pub run: RunStatus,
    /// When to come back, in milliseconds.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}
