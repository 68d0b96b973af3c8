//! Reads the bodies of clients' requests within the memory of the node.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use tokio::time::{Instant, timeout};

use super::BodyError;
use crate::edge::{MemoryBudget, MemoryCharge, ReclaimList, ReclaimRank, Reclaimable};
use crate::error::{Kind, Refusal};

/// What a request takes besides its body: its head, and its task.
const REQUEST_OVERHEAD_BYTES: usize = 8 << 10;
/// How long a request may wait for memory. Meanwhile nothing more is read from its connection. An
/// eighth of the shortest deadline of clients, so that a client that is refused can try another
/// node in time.
pub const MEMORY_WAIT: Duration = Duration::from_millis(100);
/// How long a client may neither send nor read while memory is held for it, if the memory is bounded.
/// Frozen machines came back after some seconds; every request of a client has ended by then.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a body may take before it may be given up in favour of other requests.
const RECLAIM_GRACE: Duration = Duration::from_secs(2);

/// Reads bodies whose bytes together are limited.
///
/// Load pattern: clients that send the end of their bodies slowly or never. At the limit, the body that
/// has been read for longest is given up, so that requests that arrive whole are served.
#[derive(Debug, Clone)]
pub struct BodyReader {
    memory: MemoryBudget,
    /// The bodies that are being read.
    reading: ReclaimList,
}

impl BodyReader {
    /// Creates a reader that counts in this budget.
    pub fn new(memory: MemoryBudget) -> Self {
        Self { memory, reading: ReclaimList::default() }
    }

    /// Reads a whole body of at most `limit` bytes. It is counted until its last copy is dropped.
    pub async fn read(&self, body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
        if body.size_hint().lower() > limit as u64 {
            return Err(BodyError::TooLarge(limit).into());
        }
        let reclaimable = Reclaimable::new(None);
        let from = Instant::now() + RECLAIM_GRACE;
        let _entry = self.reading.add(ReclaimRank::First, from, reclaimable.clone());
        tokio::select! {
            read = self.read_counted(body, limit) => read,
            () = reclaimable.end().cancelled() => {
                tracing::info!(event = "body_reclaimed", held = self.memory.held());
                Err(no_memory())
            }
        }
    }

    async fn read_counted(&self, mut body: Incoming, limit: usize) -> Result<Bytes, Refusal> {
        let mut charge = self.reserve(REQUEST_OVERHEAD_BYTES).await?;
        // A stated length was checked before.
        let most = body.size_hint().upper().map_or(limit, |length| length as usize);
        let mut bytes = BytesMut::new();
        loop {
            let stalled = || BodyError::Interrupted("no more of it was sent".to_owned());
            let frame = match self.memory.limit() {
                Some(_) => timeout(STALL_TIMEOUT, body.frame()).await.map_err(|_| stalled())?,
                None => body.frame().await,
            };
            let Some(frame) = frame else { break };
            let frame = frame.map_err(|e| BodyError::Interrupted(e.to_string()))?;
            let Ok(piece) = frame.into_data() else { continue };
            if bytes.len() + piece.len() > limit {
                return Err(BodyError::TooLarge(limit).into());
            }
            let needed = bytes.len() + piece.len();
            if needed > bytes.capacity() {
                let capacity = needed.max(2 * bytes.capacity()).min(most.max(needed));
                charge.merge(self.reserve(capacity - bytes.capacity()).await?);
                bytes.reserve(capacity - bytes.len());
            }
            bytes.extend_from_slice(&piece);
        }
        Ok(charge.attach(bytes.freeze()))
    }

    /// Reserves memory. If there is none, gives up the body that has been read for longest.
    async fn reserve(&self, bytes: usize) -> Result<MemoryCharge, Refusal> {
        if let Some(charge) = self.memory.try_reserve(bytes) {
            return Ok(charge);
        }
        self.reading.reclaim();
        self.memory.reserve(bytes, MEMORY_WAIT).await.ok_or_else(no_memory)
    }
}

/// The refusal of a request that does not fit into the memory of the node.
pub fn no_memory() -> Refusal {
    Refusal::new(Kind::MemoryFull, "the node holds as much for its callers as it may")
}
