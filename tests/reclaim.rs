//! Tests of what is ended to make room for others.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mulberrycourse::edge::{ReclaimList, ReclaimRank, Reclaimable};
use tokio::time::Instant;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against a client that was just accepted, or that waits between two requests, being closed in
/// favour of others while one that never sends a request stays.
#[tokio::test(start_paused = true)]
async fn the_longest_waiting_entry_of_the_first_rank_ends_first() {
    let list = ReclaimList::default();
    let add = |rank, delay| {
        let entry = Reclaimable::new(None);
        (list.add(rank, Instant::now() + delay, entry.clone()), entry)
    };
    let idle = add(ReclaimRank::Last, Duration::ZERO);
    let newer = add(ReclaimRank::First, 2 * SECOND);
    let older = add(ReclaimRank::First, SECOND);
    tokio::time::advance(3 * SECOND).await;
    let fresh = add(ReclaimRank::First, SECOND);
    for (ended, waiting) in [(&older, &newer), (&newer, &idle), (&idle, &fresh)] {
        assert!(list.reclaim().is_some());
        assert!(ended.1.end().is_cancelled() && !waiting.1.end().is_cancelled());
    }
    assert!(list.reclaim().is_none(), "an entry ended before its time");
}

#[tokio::test(start_paused = true)]
async fn a_dropped_entry_is_not_ended() {
    let list = ReclaimList::default();
    let entry = Reclaimable::new(None);
    drop(list.add(ReclaimRank::First, Instant::now(), entry.clone()));
    assert!(list.reclaim().is_none() && !entry.end().is_cancelled());
}
