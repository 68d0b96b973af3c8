//! Answer to a caller whose key is held by another attempt.

use std::time::Duration;

use super::{AttemptState, CachedAnswer, ClaimOutcome, Holder};
use crate::error::{Kind, Refusal};

/// `Retry-After` time of a request whose call is in progress.
const IN_PROGRESS_RETRY_AFTER: Duration = Duration::from_millis(500);

/// How to proceed with a held key.
#[derive(Debug, Clone, PartialEq)]
pub enum Resolution {
    /// Return the cached answer.
    Answer(CachedAnswer),
    /// The holder never ran: report that to the owner, and claim again.
    Release,
    /// Refuse the request.
    Refuse(Refusal),
}

/// What is known from the runner about the attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunnerStatus {
    /// The runner reports the attempt's state.
    Known(AttemptState),
    /// The runner answers but does not know the attempt: it restarted, or forgot it.
    Forgotten,
    /// The runner does not answer, but it was recently seen alive.
    Unresponsive,
    /// The runner does not answer, and it was not recently seen alive.
    Unreachable,
}

/// Decides what to do about a held key.
///
/// Only the runner's own report releases a key: a runner that does not answer may be paused
/// just before its dispatch.
pub fn resolve(holder: &Holder, status: RunnerStatus) -> Resolution {
    let refuse = |kind, detail: &str| Resolution::Refuse(Refusal::new(kind, detail));
    let state = match (status, holder.outcome) {
        (RunnerStatus::Known(state), _) => state,
        (
            RunnerStatus::Forgotten | RunnerStatus::Unresponsive | RunnerStatus::Unreachable,
            Some(ClaimOutcome::Ran),
        ) => AttemptState::Ran(None),
        (
            RunnerStatus::Forgotten | RunnerStatus::Unresponsive | RunnerStatus::Unreachable,
            Some(ClaimOutcome::NotRun),
        ) => AttemptState::NotRun,
        (RunnerStatus::Unresponsive, None) => AttemptState::Running,
        (RunnerStatus::Forgotten | RunnerStatus::Unreachable, None)
        | (
            RunnerStatus::Forgotten | RunnerStatus::Unresponsive | RunnerStatus::Unreachable,
            Some(ClaimOutcome::Unknown),
        ) => AttemptState::Unknown,
    };
    match state {
        AttemptState::Pending | AttemptState::Running => in_progress(),
        AttemptState::NotRun => Resolution::Release,
        AttemptState::Ran(Some(answer)) => Resolution::Answer(answer),
        AttemptState::Ran(None) => {
            refuse(Kind::AlreadyRan, "the request already ran and its answer is no longer cached")
        }
        AttemptState::Unknown => {
            refuse(Kind::OutcomeUnknown, "it is unknown whether the request ran")
        }
    }
}

fn in_progress() -> Resolution {
    let refusal = Refusal::new(Kind::InProgress, "another request holds the key");
    Resolution::Refuse(refusal.with_retry_after(IN_PROGRESS_RETRY_AFTER))
}
