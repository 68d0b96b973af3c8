//! Tests of what is ended to make room for others.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mulberrycourse::edge::{ReclaimList, ReclaimRank};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a client that was just accepted, or that waits between two requests, being closed in
/// favour of others while one that never sends a request stays.
#[tokio::test(start_paused = true)]
async fn the_longest_waiting_entry_of_the_first_rank_ends_first() {
    let list = ReclaimList::default();
    let add = |rank, delay| {
        let end = CancellationToken::new();
        (list.add(rank, Instant::now() + delay, end.clone()), end)
    };
    let idle = add(ReclaimRank::Last, Duration::ZERO);
    let newer = add(ReclaimRank::First, 2 * SECOND);
    let older = add(ReclaimRank::First, SECOND);
    tokio::time::advance(3 * SECOND).await;
    let fresh = add(ReclaimRank::First, SECOND);
    for (ended, waiting) in [(&older, &newer), (&newer, &idle), (&idle, &fresh)] {
        assert!(list.reclaim());
        assert!(ended.1.is_cancelled() && !waiting.1.is_cancelled());
    }
    assert!(!list.reclaim(), "an entry ended before its time");
}

#[tokio::test(start_paused = true)]
async fn a_dropped_entry_is_not_ended() {
    let list = ReclaimList::default();
    let end = CancellationToken::new();
    drop(list.add(ReclaimRank::First, Instant::now(), end.clone()));
    assert!(!list.reclaim() && !end.is_cancelled());
}
