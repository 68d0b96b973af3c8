//! How an attempt at an upstream ended.

use serde::{Deserialize, Serialize};

use crate::error::{Kind, Refusal, Run};

/// The end of one attempt.
///
/// There is no conversion into this type and no default: each place that ends
/// an attempt names its outcome, and only [`Outcome::Unsent`] and
/// [`Outcome::Refused`] mean that the request did not run.
///
/// ```compile_fail
/// let outcome = mulberrycourse::decide::Outcome::default();
/// ```
/// ```compile_fail
/// let error = std::io::Error::other("cut");
/// let outcome: mulberrycourse::decide::Outcome = error.into();
/// ```
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

/// What all attempts of a request together say about whether it ran.
///
/// The last attempt alone says nothing: one that could not connect may follow one
/// that broke off after the request ran. What is once unsure stays unsure.
///
/// ```
/// use mulberrycourse::decide::{History, Outcome};
/// use mulberrycourse::error::{Kind, Refusal, Run};
///
/// let mut history = History::new();
/// history.note(Outcome::Unknown);
/// history.note(Outcome::Unsent);
/// let refusal = history.judge(Refusal::new(Kind::RetriesSpent, "every attempt failed"));
/// assert_eq!(refusal.run(), Run::Unknown);
/// ```
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct History {
    unsure: bool,
}

impl History {
    /// No attempt was made yet.
    #[allow(clippy::new_without_default)] // each place that starts one says so
    pub fn new() -> Self {
        Self { unsure: false }
    }

    /// An attempt ended.
    pub fn note(&mut self, outcome: Outcome) {
        self.unsure |= match outcome.run() {
            Run::NotRun => false,
            Run::Unknown | Run::Ran => true,
        };
    }

    /// The refusal as it may be told after these attempts.
    pub fn judge(self, refusal: Refusal) -> Refusal {
        match refusal.run() {
            Run::NotRun if self.unsure => refusal.unsure(Kind::OutcomeUnknown),
            Run::NotRun | Run::Unknown | Run::Ran => refusal,
        }
    }
}
