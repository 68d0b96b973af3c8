//! Reads streamed bodies to their end.

use bytes::{Bytes, BytesMut};
use futures_util::{Stream, StreamExt};
use tokio::time::Instant;

use crate::decide::Transfer;

/// The largest body of the store that is collected.
const MAX_STORE_BODY_BYTES: usize = 64 << 20;

/// Why a body was not read to its end.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CollectError {
    /// No more bytes arrived in time. Holds the number of bytes received.
    #[error("no more of the response arrived in time, {0} bytes were received")]
    Timeout(u64),
    /// The body was cut off or is larger than the limit.
    #[error("{0}")]
    Interrupted(String),
}

/// Collects the pieces of a body of at most `most` bytes until its end. The error is the reason why
/// that failed.
pub async fn collect_pieces(
    mut pieces: impl Stream<Item = Result<Bytes, String>> + Unpin,
    most: usize,
) -> Result<Bytes, String> {
    let mut body = BytesMut::new();
    while let Some(piece) = pieces.next().await {
        append(&mut body, &piece?, most)?;
    }
    Ok(body.freeze())
}

/// Collects the pieces of a body until its end, for as long as they arrive fast enough for
/// `transfer`. The transfer began at `started`.
pub async fn collect_while_received(
    mut pieces: impl Stream<Item = Result<Bytes, String>> + Unpin,
    mut transfer: Transfer,
    started: Instant,
) -> Result<Bytes, CollectError> {
    let mut body = BytesMut::new();
    loop {
        let piece = tokio::time::timeout_at(started + transfer.deadline(), pieces.next()).await;
        let Some(piece) = piece.map_err(|_| CollectError::Timeout(transfer.received_bytes()))?
        else {
            return Ok(body.freeze());
        };
        let piece = piece.map_err(CollectError::Interrupted)?;
        transfer.record_received(piece.len(), started.elapsed());
        append(&mut body, &piece, MAX_STORE_BODY_BYTES).map_err(CollectError::Interrupted)?;
    }
}

/// Appends a piece, unless the body gets too large.
fn append(body: &mut BytesMut, piece: &Bytes, most: usize) -> Result<(), String> {
    if body.len() + piece.len() > most {
        return Err(format!("the body is larger than {most} bytes"));
    }
    body.extend_from_slice(piece);
    Ok(())
}
