//! Answers that come in pieces.

use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::{self, BoxStream};
use mulberrycourse::decide::{AdaptiveTimeout, Transfer};
use mulberrycourse::edge::http::{CollectError, collect_while_received};
use tokio::time::Instant;

const PIECE: usize = 16 << 10;

/// Pieces that come so far apart, and then nothing more, or the end.
fn pieces(count: usize, apart: Duration, ends: bool) -> BoxStream<'static, Result<Bytes, String>> {
    let pieces = stream::iter(0..count).then(move |_| async move {
        tokio::time::sleep(apart).await;
        Ok(Bytes::from(vec![b'x'; PIECE]))
    });
    if ends { pieces.boxed() } else { pieces.chain(stream::pending()).boxed() }
}

/// A store that takes 240 ms for an answer tells a megabyte over a link of 60 Mbit/s. With 350 ms
/// for all of it, every reading of a large configuration was given up at the first try.
#[tokio::test(start_paused = true)]
async fn a_large_answer_of_a_slow_store_is_read_to_its_end() {
    let begun = Instant::now();
    let transfer = Transfer::new(AdaptiveTimeout::default().timeout(), 0);
    tokio::time::sleep(Duration::from_millis(240)).await;
    let read =
        collect_while_received(pieces(64, Duration::from_millis(3), true), transfer, begun).await;
    assert_eq!(read.map(|bytes| bytes.len()), Ok(64 * PIECE));
    assert!(begun.elapsed() > AdaptiveTimeout::default().timeout());
}

/// A connection that goes silent in the middle of an answer is given up soon.
#[tokio::test(start_paused = true)]
async fn an_answer_that_falls_silent_is_given_up() {
    let begun = Instant::now();
    let transfer = Transfer::new(AdaptiveTimeout::default().timeout(), 0);
    let read =
        collect_while_received(pieces(40, Duration::from_millis(10), false), transfer, begun).await;
    assert_eq!(read, Err(CollectError::Timeout(40 * PIECE as u64)));
    assert!(begun.elapsed() < Duration::from_secs(1));
}
