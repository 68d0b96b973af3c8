//! Collecting a streamed body: a slow one is read to its end, and one that stops arriving times
//! out.

use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::{self, BoxStream};
use mulberrycourse::decide::{AdaptiveTimeout, Transfer};
use mulberrycourse::edge::http::{CollectError, collect_pieces, collect_while_received};
use tokio::time::Instant;

/// The size of each piece of a body.
const PIECE_BYTES: usize = 16 << 10;

/// Returns a body of `count` pieces that arrive `interval` apart. After the last one it ends if
/// `ends` is set, and otherwise stays open without sending more.
fn body(count: usize, interval: Duration, ends: bool) -> BoxStream<'static, Result<Bytes, String>> {
    let pieces = stream::iter(0..count).then(move |_| async move {
        tokio::time::sleep(interval).await;
        Ok(Bytes::from(vec![b'x'; PIECE_BYTES]))
    });
    if ends { pieces.boxed() } else { pieces.chain(stream::pending()).boxed() }
}

/// Guards against a report without end that is kept up to the limit of the largest response.
#[tokio::test(start_paused = true)]
async fn a_body_without_end_is_given_up_at_its_limit() {
    let (pieces, most) = (1_000, 4 * PIECE_BYTES);
    let mut endless = body(pieces, Duration::from_millis(1), false);
    assert!(collect_pieces(&mut endless, most).await.is_err());
    assert_eq!(endless.take(pieces - 5).count().await, pieces - 5);
}

/// Guards against a fixed timeout for the whole body: with 350 ms, every first read of a large
/// configuration timed out. The store answers after 240 ms, and then sends a megabyte over a link
/// of 60 Mbit/s.
#[tokio::test(start_paused = true)]
async fn large_body_of_a_slow_store_is_complete() {
    let begun = Instant::now();
    let transfer = Transfer::new(AdaptiveTimeout::default().timeout(), 0);
    tokio::time::sleep(Duration::from_millis(240)).await;
    let collected =
        collect_while_received(body(64, Duration::from_millis(3), true), transfer, begun).await;
    assert_eq!(collected.map(|bytes| bytes.len()), Ok(64 * PIECE_BYTES));
    assert!(begun.elapsed() > AdaptiveTimeout::default().timeout());
}

/// A body that stops arriving in the middle times out within a second.
#[tokio::test(start_paused = true)]
async fn stalled_body_times_out() {
    let begun = Instant::now();
    let transfer = Transfer::new(AdaptiveTimeout::default().timeout(), 0);
    let collected =
        collect_while_received(body(40, Duration::from_millis(10), false), transfer, begun).await;
    assert_eq!(collected, Err(CollectError::Timeout(40 * PIECE_BYTES as u64)));
    assert!(begun.elapsed() < Duration::from_secs(1));
}
