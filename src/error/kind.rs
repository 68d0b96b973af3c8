//! The closed list of error kinds.

use serde::{Deserialize, Serialize};

/// Why a request did not get the answer that it asked for.
///
/// Every refusal that a caller, trainer or operator can receive is one of
/// these; [`super::ErrorResponse`] says how each is told. Metrics count by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request does not parse, or lacks a field.
    BadRequest,
    /// The body is larger than the node takes.
    BodyTooLarge,
    /// The content type is not the one that the path takes.
    UnsupportedMedia,
    /// No organisation holds the key that the request came with.
    UnknownKey,
    /// No such path.
    UnknownPath,
    /// The path does not take this method.
    WrongMethod,
    /// The bundle in force names no such service.
    UnknownService,
    /// The bundle in force names no such trainer.
    UnknownTrainer,
    /// This node does not hold the step: submit it again.
    UnknownStep,
    /// No bundle is in force yet.
    NoBundle,
    /// The service's queue is full.
    QueueFull,
    /// The caller has more waiting than its share allows.
    OverShare,
    /// The answer could not be there before the deadline.
    DeadlineUnreachable,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// No upstream of the service takes work now.
    NoUpstream,
    /// The node is draining and takes no new work.
    Draining,
    /// The retry budget is spent and the last attempt did not run.
    RetriesSpent,
    /// The upstream may or may not have run the request.
    OutcomeUnknown,
    /// The upstream's answer broke off and can't be continued.
    Truncated,
    /// The claim under the idempotency key can't be recorded now.
    ClaimUnavailable,
    /// A request with this key is under way.
    InProgress,
    /// A request with this key ran; its answer is no longer kept.
    AlreadyRan,
    /// The key was used with another request.
    KeyReused,
    /// The request crashed several upstreams and is not run again.
    Quarantined,
    /// The sample would be older than the bound when handed over.
    Stale,
    /// The peer speaks another protocol version.
    PeerVersion,
    /// The node has as many connections open as it takes.
    TooManyConnections,
    /// The node failed in a way that it has no other word for.
    Internal,
}

impl Kind {
    /// Every kind, in the order of the list.
    pub const ALL: &[Self] = &[
        Self::BadRequest,
        Self::BodyTooLarge,
        Self::UnsupportedMedia,
        Self::UnknownKey,
        Self::UnknownPath,
        Self::WrongMethod,
        Self::UnknownService,
        Self::UnknownTrainer,
        Self::UnknownStep,
        Self::NoBundle,
        Self::QueueFull,
        Self::OverShare,
        Self::DeadlineUnreachable,
        Self::DeadlinePassed,
        Self::NoUpstream,
        Self::Draining,
        Self::RetriesSpent,
        Self::OutcomeUnknown,
        Self::Truncated,
        Self::ClaimUnavailable,
        Self::InProgress,
        Self::AlreadyRan,
        Self::KeyReused,
        Self::Quarantined,
        Self::Stale,
        Self::PeerVersion,
        Self::TooManyConnections,
        Self::Internal,
    ];

    /// The kind's name in answers, logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::BadRequest => "bad_request",
            Self::BodyTooLarge => "body_too_large",
            Self::UnsupportedMedia => "unsupported_media",
            Self::UnknownKey => "unknown_key",
            Self::UnknownPath => "unknown_path",
            Self::WrongMethod => "wrong_method",
            Self::UnknownService => "unknown_service",
            Self::UnknownTrainer => "unknown_trainer",
            Self::UnknownStep => "unknown_step",
            Self::NoBundle => "no_bundle",
            Self::QueueFull => "queue_full",
            Self::OverShare => "over_share",
            Self::DeadlineUnreachable => "deadline_unreachable",
            Self::DeadlinePassed => "deadline_passed",
            Self::NoUpstream => "no_upstream",
            Self::Draining => "draining",
            Self::RetriesSpent => "retries_spent",
            Self::OutcomeUnknown => "outcome_unknown",
            Self::Truncated => "truncated",
            Self::ClaimUnavailable => "claim_unavailable",
            Self::InProgress => "in_progress",
            Self::AlreadyRan => "already_ran",
            Self::KeyReused => "key_reused",
            Self::Quarantined => "quarantined",
            Self::Stale => "stale",
            Self::PeerVersion => "peer_version",
            Self::TooManyConnections => "too_many_connections",
            Self::Internal => "internal",
        }
    }
}

impl std::fmt::Display for Kind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}
