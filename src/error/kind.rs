//! The closed list of error kinds.

use serde::{Deserialize, Serialize};

/// Why a request failed or was refused.
///
/// Every refusal that a caller, trainer or operator can receive is one of
/// these; [`super::ErrorResponse`] says how each is reported. Metrics count refusals by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// The request does not parse, or a field is missing.
    BadRequest,
    /// The body is larger than the node accepts.
    BodyTooLarge,
    /// The content type is not the one that the path accepts.
    UnsupportedMedia,
    /// The API key of the request belongs to no organisation.
    UnknownKey,
    /// The path does not exist.
    UnknownPath,
    /// The path does not accept this method.
    WrongMethod,
    /// The active bundle has no such service.
    UnknownService,
    /// The active bundle has no such trainer.
    UnknownTrainer,
    /// This node does not hold the step; the trainer submits it again.
    UnknownStep,
    /// The node has no active bundle yet.
    NoBundle,
    /// The service's queue is full.
    QueueFull,
    /// The caller has more requests waiting than its share allows.
    OverShare,
    /// The response is not expected before the deadline.
    DeadlineUnreachable,
    /// The deadline passed while the request waited.
    DeadlinePassed,
    /// No upstream of the service accepts work at the moment.
    NoUpstream,
    /// The node is draining and accepts no new work.
    Draining,
    /// The retry budget is used up and the last attempt did not run.
    RetriesSpent,
    /// The upstream may or may not have run the request.
    OutcomeUnknown,
    /// The upstream's response was cut short and can't be resumed.
    Truncated,
    /// The claim for the idempotency key can't be recorded at the moment.
    ClaimUnavailable,
    /// A request with the same idempotency key is in progress.
    InProgress,
    /// A request with the same idempotency key ran; its response is no longer stored.
    AlreadyRan,
    /// The idempotency key was used with a different request.
    KeyReused,
    /// The request crashed several upstreams and is not run again.
    Quarantined,
    /// The sample would exceed the staleness bound when delivered.
    Stale,
    /// The peer uses another protocol version.
    PeerVersion,
    /// The node has reached its limit of open connections.
    TooManyConnections,
    /// The node failed in a way that no other kind covers.
    Internal,
    /// The node holds as much memory for its callers as its machine allows.
    MemoryFull,
    /// The head of the request is larger than the node accepts.
    HeadTooLarge,
}

impl Kind {
    /// Every kind, in declaration order.
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
        Self::MemoryFull,
        Self::HeadTooLarge,
    ];

    /// The kind's name in responses, logs and metrics.
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
            Self::MemoryFull => "memory_full",
            Self::HeadTooLarge => "head_too_large",
        }
    }
}

impl std::fmt::Display for Kind {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}
