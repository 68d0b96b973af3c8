//! Reads the messages of other nodes within a limit of memory.

use std::time::Duration;

use bytes::BytesMut;
use h2::RecvStream;
use tokio::time::Instant;

use super::server::read_piece;
use crate::edge::{MemoryBudget, MemoryCharge, ReclaimList, ReclaimRank, Reclaimable};

/// The first bytes of a message, which need no reservation: most messages have no more, and they have
/// to pass also while others fill the memory.
const UNRESERVED_BYTES: usize = 4 << 10;
/// How long a message may wait for memory.
const MEMORY_WAIT: Duration = Duration::from_secs(1);
/// How long the next piece of a message may take: longer than a pause of another node's process.
const PIECE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long a message may take before it may be given up in favour of others: the largest one takes as
/// long over a quarter of the narrowest link.
const RECLAIM_GRACE: Duration = Duration::from_secs(6);

/// Reads messages whose bytes together are limited.
#[derive(Debug)]
pub(super) struct MessageReader {
    memory: MemoryBudget,
    /// The messages that are being read.
    reading: ReclaimList,
}

/// A message with the memory that it takes.
#[derive(Debug)]
pub(super) struct Message {
    pub(super) bytes: BytesMut,
    charge: Option<MemoryCharge>,
}

impl MessageReader {
    /// Creates a reader. `memory` is in bytes; none for no limit.
    pub(super) fn new(memory: Option<usize>) -> Self {
        Self { memory: MemoryBudget::new(memory), reading: ReclaimList::default() }
    }

    /// Reads a whole message. Returns `None` if it is too large, cut off or late, or if there is no
    /// memory for it.
    pub(super) async fn read(&self, mut body: RecvStream) -> Option<Message> {
        let reclaimable = Reclaimable::new(None);
        let from = Instant::now() + RECLAIM_GRACE;
        let _entry = self.reading.add(ReclaimRank::First, from, reclaimable.clone());
        let mut message = Message { bytes: BytesMut::new(), charge: None };
        let read = async {
            loop {
                let piece = read_piece(&mut body, &mut message.bytes);
                match tokio::time::timeout(PIECE_TIMEOUT, piece).await.ok()? {
                    Some(piece) => self.charge(&mut message, piece.ok()?).await?,
                    None => return Some(()),
                }
            }
        };
        let complete = tokio::select! {
            read = read => read.is_some(),
            () = reclaimable.end().cancelled() => false,
        };
        complete.then_some(message)
    }

    /// Reserves memory for a piece of a message that has just been read.
    async fn charge(&self, message: &mut Message, bytes: usize) -> Option<()> {
        if message.bytes.len() <= UNRESERVED_BYTES {
            return Some(());
        }
        let charge = match self.memory.try_reserve(bytes) {
            Some(charge) => charge,
            None => {
                self.reading.reclaim();
                self.memory.reserve(bytes, MEMORY_WAIT).await?
            }
        };
        match &mut message.charge {
            Some(total) => total.merge(charge),
            none => *none = Some(charge),
        }
        Some(())
    }
}
