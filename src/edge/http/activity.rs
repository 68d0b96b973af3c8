//! Whether a connection has a request in progress.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use parking_lot::Mutex;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{Body, BodyAborted};
use crate::edge::{ReclaimEntry, ReclaimList, ReclaimRank, Reclaimable};

/// How long a new connection may be without a request before it may be closed in favour of another.
const NEW_GRACE: Duration = Duration::from_secs(3);
/// The same, for a connection that had requests: a client may be about to send its next one.
const IDLE_GRACE: Duration = Duration::from_secs(5);

/// The requests of one connection. While none is in progress, the connection is in a list of those
/// that may be closed.
#[derive(Debug)]
pub(super) struct Activity {
    list: ReclaimList,
    slot: Arc<Reclaimable>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    /// The number of requests so far.
    requests: u64,
    in_progress: bool,
    /// Whether bytes of a response wait for the client to read.
    unsent: bool,
    waiting: Option<ReclaimEntry>,
}

/// A request in progress. It ends when this is dropped.
#[derive(Debug)]
pub(super) struct OpenRequest {
    activity: Arc<Activity>,
    number: u64,
}

/// The body of a response, with which its request ends.
pub(super) struct TrackedBody {
    body: Body,
    _request: OpenRequest,
}

impl Activity {
    /// A new connection.
    pub(super) fn new(list: ReclaimList, slot: Arc<Reclaimable>) -> Arc<Self> {
        let entry = list.add(ReclaimRank::First, Instant::now() + NEW_GRACE, slot.clone());
        let state = Mutex::new(State { waiting: Some(entry), ..State::default() });
        Arc::new(Self { list, slot, state })
    }

    /// Cancelled when the connection has to make room for another.
    pub(super) fn reclaimed(&self) -> &CancellationToken {
        self.slot.end()
    }

    /// Records that the head of a request is complete.
    pub(super) fn begin(self: &Arc<Self>) -> OpenRequest {
        let mut state = self.state.lock();
        state.requests += 1;
        state.in_progress = true;
        state.waiting = None;
        OpenRequest { activity: self.clone(), number: state.requests }
    }

    /// Records whether bytes of a response wait for the client to read.
    pub(super) fn set_unsent(&self, unsent: bool) {
        self.state.lock().unsent = unsent;
    }

    /// Whether no request is in progress and all responses are sent.
    pub(super) fn is_idle(&self) -> bool {
        let state = self.state.lock();
        !state.in_progress && !state.unsent
    }

    /// Returns the number of requests so far, or `None` while one is in progress.
    pub(super) fn awaited(&self) -> Option<u64> {
        let state = self.state.lock();
        (!state.in_progress).then_some(state.requests)
    }
}

impl OpenRequest {
    /// Ties the request to the body of its response.
    pub(super) fn track(self, body: Body) -> TrackedBody {
        TrackedBody { body, _request: self }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let activity = &self.activity;
        let mut state = activity.state.lock();
        if state.requests != self.number {
            return;
        }
        state.in_progress = false;
        let from = Instant::now() + IDLE_GRACE;
        let slot = activity.slot.clone();
        state.waiting = Some(activity.list.add(ReclaimRank::Last, from, slot));
    }
}

impl hyper::body::Body for TrackedBody {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyAborted>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
