//! The memory that a node holds for its callers: request bodies, responses, events of streams, and
//! the jobs that it owns.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use parking_lot::Mutex;
use tokio::sync::Notify;

use crate::decide::load::MemoryUse;

/// The memory budget of a node. Clones share it.
#[derive(Debug, Clone)]
pub struct MemoryBudget {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    usage: Mutex<MemoryUse>,
    /// Notified when bytes are released.
    released: Notify,
}

/// Some bytes of a budget. They are released when it is dropped.
#[derive(Debug)]
pub struct MemoryCharge {
    shared: Arc<Shared>,
    bytes: usize,
}

/// Bytes together with their charge.
struct HeldBytes {
    bytes: Bytes,
    _charge: MemoryCharge,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl MemoryBudget {
    /// Creates a budget. `limit` is in bytes; none for no limit.
    pub fn new(limit: Option<usize>) -> Self {
        let usage = Mutex::new(MemoryUse::new(limit));
        Self { shared: Arc::new(Shared { usage, released: Notify::new() }) }
    }

    /// Reserves bytes if they fit now.
    pub fn try_reserve(&self, bytes: usize) -> Option<MemoryCharge> {
        self.try_reserve_leaving(bytes, 0)
    }

    /// Reserves bytes if `free` bytes more would fit now.
    fn try_reserve_leaving(&self, bytes: usize, free: usize) -> Option<MemoryCharge> {
        let taken = self.shared.usage.lock().try_take_leaving(bytes, free);
        taken.then(|| MemoryCharge { shared: self.shared.clone(), bytes })
    }

    /// Reserves bytes, and waits for them for at most `wait`. None if they don't fit by then, or
    /// never would.
    pub async fn reserve(&self, bytes: usize, wait: Duration) -> Option<MemoryCharge> {
        self.reserve_leaving(bytes, 0, wait).await
    }

    /// The same, and leaves `free` bytes for others.
    pub async fn reserve_leaving(
        &self,
        bytes: usize,
        free: usize,
        wait: Duration,
    ) -> Option<MemoryCharge> {
        if !self.shared.usage.lock().could_take(bytes.saturating_add(free)) {
            return None;
        }
        let waiting = async {
            loop {
                let mut released = std::pin::pin!(self.shared.released.notified());
                released.as_mut().enable();
                if let Some(charge) = self.try_reserve_leaving(bytes, free) {
                    return charge;
                }
                released.await;
            }
        };
        tokio::time::timeout(wait, waiting).await.ok()
    }

    /// Counts bytes that exist already, whether they fit or not.
    pub fn charge(&self, bytes: usize) -> MemoryCharge {
        self.shared.usage.lock().take(bytes);
        MemoryCharge { shared: self.shared.clone(), bytes }
    }

    /// Counts bytes that exist already until the last copy of the result is dropped.
    pub fn hold(&self, bytes: Bytes) -> Bytes {
        self.charge(bytes.len()).attach(bytes)
    }

    /// Whether bytes would fit now.
    pub fn could_reserve(&self, bytes: usize) -> bool {
        self.shared.usage.lock().clone().try_take(bytes)
    }

    /// Whether nothing more fits.
    pub fn is_full(&self) -> bool {
        self.shared.usage.lock().is_full()
    }

    /// The bytes that are held.
    pub fn held(&self) -> usize {
        self.shared.usage.lock().held()
    }

    /// The most that may be held, in bytes. None for no limit.
    pub fn limit(&self) -> Option<usize> {
        self.shared.usage.lock().limit()
    }
}

impl MemoryCharge {
    /// Adds the bytes of another charge of the same budget.
    pub fn merge(&mut self, mut other: Self) {
        self.bytes += std::mem::take(&mut other.bytes);
    }

    /// Ties the charge to some bytes: it is released when the last copy of them is dropped, for
    /// example once they are written to a socket.
    pub fn attach(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(HeldBytes { bytes, _charge: self })
    }
}

impl Drop for MemoryCharge {
    fn drop(&mut self) {
        if self.bytes > 0 {
            self.shared.usage.lock().release(self.bytes);
            self.shared.released.notify_waiters();
        }
    }
}
