//! How many connections of a listener may be open, and which one makes room for another.

use std::sync::Arc;

use tokio::sync::Semaphore;

use super::{ReclaimList, Reclaimable};

/// The most connections that are being closed for others at the same time.
const MAX_CLOSING: usize = 64;
/// The same as one part in this many of the limit, if that is less.
const CLOSING_DIVISOR: usize = 8;

/// The connections of a listener.
#[derive(Debug)]
pub(super) struct ConnectionSlots {
    open: Arc<Semaphore>,
    /// Taken by connections that are being closed for others.
    closing: Arc<Semaphore>,
    waiting: ReclaimList,
}

impl ConnectionSlots {
    /// Creates the slots for at most `max_open` connections besides those that are being closed.
    pub(super) fn new(max_open: usize) -> Self {
        let closing = (max_open / CLOSING_DIVISOR).clamp(1, MAX_CLOSING);
        Self {
            open: Arc::new(Semaphore::new(max_open)),
            closing: Arc::new(Semaphore::new(closing)),
            waiting: ReclaimList::default(),
        }
    }

    /// Returns the slot for one more connection, which is free again once it is dropped. At the limit,
    /// the connection that has waited for a request for longest has to close. `None` if none may be
    /// closed, or too many are being closed.
    pub(super) fn admit(&self) -> Option<Arc<Reclaimable>> {
        if let Ok(permit) = self.open.clone().try_acquire_owned() {
            return Some(Reclaimable::new(Some(permit)));
        }
        let closing = self.closing.clone().try_acquire_owned().ok()?;
        let oldest = self.waiting.reclaim()?;
        Some(Reclaimable::new(oldest.replace_permit(closing)))
    }

    /// The connections that wait for a request.
    pub(super) fn waiting(&self) -> &ReclaimList {
        &self.waiting
    }
}
