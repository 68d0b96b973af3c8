//! A request between its offer and its end.

use super::UpstreamKey;
use crate::Moment;
use crate::decide::{Call, Place};

/// Where a request is.
#[derive(Debug, Clone)]
pub(super) enum State {
    /// In the queue.
    Waiting(Place),
    /// At an upstream.
    Running {
        /// Which.
        at: UpstreamKey,
        /// Since when.
        since: Moment,
    },
    /// In neither, within one call of [`super::Dispatch`].
    Between,
}

/// A request that has no final answer yet.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) call: Call,
    /// When its wait is looked at, at the latest at its deadline.
    pub(super) due: Moment,
    /// Attempts since it last got on.
    pub(super) attempts: u32,
    /// Part of its answer is there.
    pub(super) begun: bool,
    /// Whether any attempt so far may have run. The worst outcome of all attempts decides
    /// what a refusal says, not the last one.
    pub(super) unsure: bool,
    /// The upstream that failed it last.
    pub(super) avoid: Option<UpstreamKey>,
    pub(super) state: State,
}
