//! Reading the bodies of responses within the memory of the node.
//!
//! Load pattern: some replicas answer with bytes without end, each to many requests at once, and send
//! as fast as the link allows. Without a limit on all that is read at the same time the process ends,
//! and with it everybody's requests. A response that is small always has room.

use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use http::HeaderMap;
use http::header::CONTENT_LENGTH;

use crate::edge::MemoryBudget;
use crate::edge::replica::BodyStream;

/// The bytes of a response that are read whatever the node holds: most responses have no more.
const SMALL_RESPONSE_BYTES: usize = 64 << 10;
/// The most that one response may have on a machine of unknown memory.
const MAX_RESPONSE_BYTES: usize = 64 << 20;
/// One response may take one part in this many of the node's memory for calls.
const RESPONSE_DIVISOR: usize = 4;
/// All larger responses together leave one part in this many for requests and small responses.
const FREE_DIVISOR: usize = 2;
/// How long a larger response waits for memory.
const MEMORY_WAIT: Duration = Duration::from_millis(100);
/// The most that is read of a body that is not kept.
const MAX_UNUSED_BYTES: usize = 256 << 10;

/// Reads a body to its end. The bytes are counted until the last copy of them is dropped. The error is
/// the reason why it was given up, which closes its connection.
pub(super) async fn read_response(
    budget: &MemoryBudget,
    headers: &HeaderMap,
    mut body: BodyStream,
) -> Result<Bytes, String> {
    let most = budget.limit().map_or(MAX_RESPONSE_BYTES, |limit| limit / RESPONSE_DIVISOR);
    let free = budget.limit().map_or(0, |limit| limit / FREE_DIVISOR);
    let mut charge = budget.charge(0);
    let mut bytes = BytesMut::new();
    while let Some(piece) = body.next().await {
        let piece = piece?;
        let size = bytes.len() + piece.len();
        // A response without a body may state the length of another.
        if size.max(declared_length(headers).unwrap_or(0)) > most {
            return Err(too_large(most));
        }
        let more = if size <= SMALL_RESPONSE_BYTES {
            Some(budget.charge(piece.len()))
        } else {
            budget.reserve_leaving(piece.len(), free, MEMORY_WAIT).await
        };
        charge.merge(more.ok_or("no memory for the rest of the response")?);
        bytes.extend_from_slice(&piece);
    }
    Ok(charge.attach(bytes.freeze()))
}

/// Reads a body to its end and keeps none of it. The error is the reason why it was given up.
pub(super) async fn skip_response(mut body: BodyStream) -> Result<(), String> {
    let mut size = 0;
    while let Some(piece) = body.next().await {
        size += piece?.len();
        if size > MAX_UNUSED_BYTES {
            return Err(too_large(MAX_UNUSED_BYTES));
        }
    }
    Ok(())
}

/// The length that a response states, in bytes.
fn declared_length(headers: &HeaderMap) -> Option<usize> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

fn too_large(most: usize) -> String {
    format!("the response is larger than {most} bytes")
}
