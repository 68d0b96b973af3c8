//! The open requests of another node's connection.

use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::edge::{ReclaimEntry, ReclaimList, ReclaimRank, Reclaimable};

/// How long a connection may be without a request before it may be closed in favour of another: before
/// its first request, and after one.
const NEW_GRACE: Duration = Duration::from_secs(1);
const IDLE_GRACE: Duration = Duration::from_secs(5);

/// Counts the open requests of a connection. While there are none, the connection is in a list of those
/// that may be closed.
#[derive(Debug)]
pub(super) struct OpenRequests {
    list: ReclaimList,
    slot: Arc<Reclaimable>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    open: usize,
    waiting: Option<ReclaimEntry>,
}

/// A request in progress. It ends when this is dropped.
#[derive(Debug)]
pub(super) struct OpenRequest {
    requests: Arc<OpenRequests>,
}

impl OpenRequests {
    /// A new connection.
    pub(super) fn new(list: ReclaimList, slot: Arc<Reclaimable>) -> Arc<Self> {
        let entry = list.add(ReclaimRank::First, Instant::now() + NEW_GRACE, slot.clone());
        let state = Mutex::new(State { open: 0, waiting: Some(entry) });
        Arc::new(Self { list, slot, state })
    }

    /// Cancelled when the connection has to make room for another.
    pub(super) fn reclaimed(&self) -> &CancellationToken {
        self.slot.end()
    }

    /// Whether no request is open.
    pub(super) fn is_idle(&self) -> bool {
        self.state.lock().open == 0
    }

    /// Records a new request.
    pub(super) fn begin(self: &Arc<Self>) -> OpenRequest {
        let mut state = self.state.lock();
        state.open += 1;
        state.waiting = None;
        OpenRequest { requests: self.clone() }
    }
}

impl Drop for OpenRequest {
    fn drop(&mut self) {
        let requests = &self.requests;
        let mut state = requests.state.lock();
        state.open -= 1;
        if state.open == 0 {
            let from = Instant::now() + IDLE_GRACE;
            let slot = requests.slot.clone();
            state.waiting = Some(requests.list.add(ReclaimRank::Last, from, slot));
        }
    }
}
