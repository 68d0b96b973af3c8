//! Bodies that are read to their end.

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use tokio::time::Instant;

use crate::decide::Transfer;

/// The largest body that is gathered, in bytes.
const LARGEST: usize = 64 << 20;

/// Why a body was not read to its end.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CollectError {
    /// No more of it came.
    #[error("no more of the answer in time, {0} bytes had come")]
    Timeout(u64),
    /// It broke off or is too large.
    #[error("{0}")]
    Interrupted(String),
}

/// Reads pieces to their end.
pub async fn collect_pieces(
    mut pieces: impl Stream<Item = Result<Bytes, String>> + Unpin,
) -> Result<Bytes, String> {
    let mut all = BytesMut::new();
    while let Some(piece) = pieces.next().await {
        add(&mut all, &piece?)?;
    }
    Ok(all.freeze())
}

/// Reads pieces to their end for as long as they come.
pub async fn collect_while_received(
    mut pieces: impl Stream<Item = Result<Bytes, String>> + Unpin,
    mut transfer: Transfer,
    begun: Instant,
) -> Result<Bytes, CollectError> {
    let mut all = BytesMut::new();
    loop {
        let piece = tokio::time::timeout_at(begun + transfer.due(), pieces.next()).await;
        let Some(piece) = piece.map_err(|_| CollectError::Timeout(transfer.came()))? else {
            return Ok(all.freeze());
        };
        let piece = piece.map_err(CollectError::Interrupted)?;
        transfer.come(piece.len(), begun.elapsed());
        add(&mut all, &piece).map_err(CollectError::Interrupted)?;
    }
}

fn add(all: &mut BytesMut, piece: &Bytes) -> Result<(), String> {
    if all.len() + piece.len() > LARGEST {
        return Err("the answer is too large".to_owned());
    }
    all.extend_from_slice(piece);
    Ok(())
}
