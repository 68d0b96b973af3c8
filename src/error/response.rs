//! Maps each error kind to the response that reports it.

use http::StatusCode;
use serde::{Deserialize, Serialize};

use super::Kind;

/// What is known about whether the request ran at an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunStatus {
    /// It certainly did not run.
    NotRun,
    /// It may or may not have run.
    Unknown,
    /// It certainly ran.
    Ran,
}

impl RunStatus {
    /// The value used in responses.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Ran => "ran",
        }
    }
}

/// How an error kind is reported to the client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// What is known about whether the request ran.
    pub run: RunStatus,
    /// Whether a later retry may succeed.
    pub retryable: bool,
    /// A one-line description of the kind.
    pub title: &'static str,
}

const fn row(
    status: StatusCode,
    run: RunStatus,
    retryable: bool,
    title: &'static str,
) -> ErrorResponse {
    ErrorResponse { status, run, retryable, title }
}

impl Kind {
    /// The response to this kind of error.
    pub fn response(self) -> ErrorResponse {
        use RunStatus::{NotRun, Ran, Unknown};
        use StatusCode as S;
        match self {
            Self::BadRequest => row(S::BAD_REQUEST, NotRun, false, "the request is malformed"),
            Self::BodyTooLarge => row(S::PAYLOAD_TOO_LARGE, NotRun, false, "the body is too large"),
            Self::UnsupportedMedia => {
                row(S::UNSUPPORTED_MEDIA_TYPE, NotRun, false, "the content type is not supported")
            }
            Self::UnknownKey => {
                row(S::UNAUTHORIZED, NotRun, false, "no organisation holds this key")
            }
            Self::UnknownPath => row(S::NOT_FOUND, NotRun, false, "no such path"),
            Self::WrongMethod => {
                row(S::METHOD_NOT_ALLOWED, NotRun, false, "the path does not take this method")
            }
            Self::UnknownService => row(S::NOT_FOUND, NotRun, false, "no such service"),
            Self::UnknownTrainer => row(S::NOT_FOUND, NotRun, false, "no such trainer"),
            Self::UnknownStep => {
                row(S::NOT_FOUND, NotRun, true, "the step is not held here; submit it again")
            }
            Self::NoBundle => row(S::SERVICE_UNAVAILABLE, NotRun, true, "no bundle is in force"),
            Self::QueueFull => row(S::SERVICE_UNAVAILABLE, NotRun, true, "the queue is full"),
            Self::OverShare => {
                row(S::TOO_MANY_REQUESTS, NotRun, true, "the caller is over its share")
            }
            Self::DeadlineUnreachable => row(
                S::SERVICE_UNAVAILABLE,
                NotRun,
                true,
                "the answer could not be there before the deadline",
            ),
            Self::DeadlinePassed => {
                row(S::GATEWAY_TIMEOUT, NotRun, true, "the deadline passed before the request ran")
            }
            Self::NoUpstream => {
                row(S::SERVICE_UNAVAILABLE, NotRun, true, "no upstream takes work now")
            }
            Self::Draining => row(S::SERVICE_UNAVAILABLE, NotRun, true, "the node is draining"),
            Self::RetriesSpent => {
                row(S::SERVICE_UNAVAILABLE, NotRun, true, "no attempt ran, and no retry is left")
            }
            Self::OutcomeUnknown => {
                row(S::BAD_GATEWAY, Unknown, false, "the request may or may not have run")
            }
            Self::Truncated => {
                row(S::BAD_GATEWAY, Unknown, false, "the answer broke off and is not whole")
            }
            Self::ClaimUnavailable => {
                row(S::SERVICE_UNAVAILABLE, NotRun, true, "the claim can't be recorded now")
            }
            Self::InProgress => {
                row(S::CONFLICT, Unknown, true, "a request with this key is under way")
            }
            Self::AlreadyRan => row(S::CONFLICT, Ran, false, "a request with this key already ran"),
            Self::KeyReused => row(
                S::UNPROCESSABLE_ENTITY,
                NotRun,
                false,
                "the idempotency key was used with another request",
            ),
            Self::Quarantined => row(
                S::UNPROCESSABLE_ENTITY,
                Unknown,
                false,
                "the request crashed several upstreams and is not run again",
            ),
            Self::Stale => row(S::CONFLICT, NotRun, false, "older than the staleness bound"),
            Self::PeerVersion => {
                row(S::UPGRADE_REQUIRED, NotRun, false, "the peer speaks another version")
            }
            Self::TooManyConnections => row(
                S::SERVICE_UNAVAILABLE,
                NotRun,
                true,
                "the node has as many connections open as it takes",
            ),
            Self::MemoryFull => row(
                S::SERVICE_UNAVAILABLE,
                NotRun,
                true,
                "the node has no memory left for the request",
            ),
            Self::HeadTooLarge => row(
                S::REQUEST_HEADER_FIELDS_TOO_LARGE,
                NotRun,
                false,
                "the head of the request is too large",
            ),
            Self::Internal => row(S::INTERNAL_SERVER_ERROR, Unknown, false, "the node failed"),
        }
    }
}
