//! What a caller is told whose key is held by another attempt.

use std::time::Duration;

use super::{Attempt, End, Holder, Kept};
use crate::error::{Kind, Refusal};

/// When to ask again about a call that is under way.
const LATER: Duration = Duration::from_millis(500);

/// What to do about a held key.
#[derive(Debug, Clone, PartialEq)]
pub enum Resolution {
    /// Give the kept answer.
    Answer(Kept),
    /// The holder never ran: report that to the home, and claim again.
    Release,
    /// Refuse.
    Refuse(Refusal),
}

/// What the runner says of the attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Word {
    /// It knows the attempt.
    Known(Attempt),
    /// It answers, and does not know the attempt: it started anew, or forgot it.
    Forgotten,
    /// It does not answer, but was heard lately.
    Silent,
    /// It does not answer and was not heard lately.
    Gone,
}

/// Decides by the runner's word.
///
/// Nothing but the runner's own word frees a key: a runner that is silent may
/// be paused just before its dispatch.
pub fn resolve(holder: &Holder, word: Word) -> Resolution {
    let refuse = |kind, detail: &str| Resolution::Refuse(Refusal::new(kind, detail));
    let attempt = match (word, holder.end) {
        (Word::Known(attempt), _) => attempt,
        (Word::Forgotten | Word::Silent | Word::Gone, Some(End::Ran)) => Attempt::Ran(None),
        (Word::Forgotten | Word::Silent | Word::Gone, Some(End::NotRun)) => Attempt::NotRun,
        (Word::Silent, None) => Attempt::Running,
        (Word::Forgotten | Word::Gone, None)
        | (Word::Forgotten | Word::Silent | Word::Gone, Some(End::Unknown)) => Attempt::Unknown,
    };
    match attempt {
        Attempt::Pending | Attempt::Running => under_way(),
        Attempt::NotRun => Resolution::Release,
        Attempt::Ran(Some(answer)) => Resolution::Answer(answer),
        Attempt::Ran(None) => refuse(Kind::AlreadyRan, "its answer is no longer kept"),
        Attempt::Unknown => refuse(Kind::OutcomeUnknown, "whether its one run took place is lost"),
    }
}

fn under_way() -> Resolution {
    let refusal = Refusal::new(Kind::InProgress, "another request holds the key");
    Resolution::Refuse(refusal.after(LATER))
}
