//! A request between its submission and its final answer.

use super::UpstreamKey;
use crate::Moment;
use crate::decide::{Call, QueuePosition};

/// Where a request is now.
#[derive(Debug, Clone)]
pub(super) enum RequestState {
    /// In the queue, at this position.
    Waiting(QueuePosition),
    /// At an upstream.
    Running {
        /// The upstream.
        upstream: UpstreamKey,
        /// When the attempt was sent.
        sent_at: Moment,
    },
    /// Neither queued nor running; only within one call of [`super::Dispatch`].
    Detached,
}

/// A request that has no final answer yet.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) call: Call,
    /// When its waiting time is checked, at the latest at its deadline.
    pub(super) check_at: Moment,
    /// Attempts since the last one that made progress.
    pub(super) attempts: u32,
    /// Whether part of its answer was received.
    pub(super) has_progress: bool,
    /// Whether any attempt so far may have run. The worst outcome of all attempts decides
    /// what a refusal reports, not the last one.
    pub(super) may_have_run: bool,
    /// The upstream of the last attempt, which the next one avoids.
    pub(super) avoid: Option<UpstreamKey>,
    pub(super) state: RequestState,
}
