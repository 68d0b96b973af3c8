//! Tests of the memory that an entry node holds for its callers.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bytes::Bytes;
use mulberrycourse::decide::load::{MemoryUse, NodeCapacity};
use mulberrycourse::edge::MemoryBudget;
use proptest::prelude::*;

const WAIT: Duration = Duration::from_millis(100);

fn machine(memory_mb: u32) -> NodeCapacity {
    NodeCapacity { memory_mb: Some(memory_mb), ..NodeCapacity::default() }
}

#[test]
fn unknown_memory_is_not_limited() {
    assert_eq!(MemoryUse::call_limit(&NodeCapacity::default()), None);
    let mut usage = MemoryUse::new(None);
    assert!(usage.try_take(usize::MAX) && usage.try_take(usize::MAX) && !usage.is_full());
}

proptest! {
    /// Guards against limits that together reach the machine's limit, at which the process ends.
    #[test]
    fn the_limits_leave_room_for_the_process(memory_mb in 80_u32..100_000) {
        let capacity = machine(memory_mb);
        let held = MemoryUse::call_limit(&capacity).unwrap() + MemoryUse::job_limit(&capacity).unwrap();
        prop_assert!(held + (56 << 20) <= (memory_mb as usize) << 20);
    }

    /// Whatever is taken and released, what fits is never over the limit, and in the end nothing is
    /// held.
    #[test]
    fn held_bytes_are_those_not_released(sizes in prop::collection::vec(0_usize..50, 1..40)) {
        let budget = MemoryBudget::new(Some(100));
        let mut charges = Vec::new();
        for (i, size) in sizes.iter().enumerate() {
            charges.extend(budget.try_reserve(*size));
            prop_assert!(budget.held() <= 100);
            if i % 3 == 2 && !charges.is_empty() {
                charges.remove(0);
            }
        }
        drop(charges);
        prop_assert_eq!(budget.held(), 0);
    }
}

/// Guards against requests that are refused although memory is released in time, and against ones
/// that wait for longer than they may.
#[tokio::test(start_paused = true)]
async fn a_reservation_waits_for_memory_and_then_fails() {
    let budget = MemoryBudget::new(Some(100));
    let first = budget.try_reserve(80).unwrap();
    let before = tokio::time::Instant::now();
    assert!(budget.reserve(30, WAIT).await.is_none());
    assert_eq!(before.elapsed(), WAIT);
    let release = async {
        tokio::time::sleep(WAIT / 2).await;
        drop(first);
    };
    let (reserved, ()) = tokio::join!(budget.reserve(30, WAIT), release);
    assert_eq!(budget.held(), 30);
    drop(reserved);
    assert_eq!(budget.held(), 0);
}

/// Guards against a request that can never fit being held until its deadline.
#[tokio::test(start_paused = true)]
async fn what_never_fits_fails_at_once() {
    let budget = MemoryBudget::new(Some(100));
    let before = tokio::time::Instant::now();
    assert!(budget.reserve(101, WAIT).await.is_none());
    assert_eq!(before.elapsed(), Duration::ZERO);
}

/// Guards against memory that counts as held after its client has gone while it waited.
#[tokio::test(start_paused = true)]
async fn a_cancelled_reservation_holds_nothing() {
    let budget = MemoryBudget::new(Some(100));
    let first = budget.try_reserve(100).unwrap();
    let waiting = tokio::spawn({
        let budget = budget.clone();
        async move { budget.reserve(50, Duration::from_secs(60)).await }
    });
    tokio::time::sleep(WAIT).await;
    waiting.abort();
    assert!(waiting.await.is_err());
    drop(first);
    assert_eq!(budget.held(), 0);
    assert!(budget.try_reserve(100).is_some());
}

/// Guards against a body that is released while a copy of it, for example the one that waits in the
/// buffer of a connection, is still in memory.
#[test]
fn a_body_counts_until_its_last_copy_is_dropped() {
    let budget = MemoryBudget::new(Some(100));
    let mut charge = budget.try_reserve(20).unwrap();
    charge.merge(budget.try_reserve(40).unwrap());
    let body = charge.attach(Bytes::from_static(b"body"));
    let copy = body.slice(1..3);
    drop(body);
    assert_eq!((&*copy, budget.held()), (&b"od"[..], 60));
    drop(copy);
    assert_eq!(budget.held(), 0);
}

/// A response that is ready is counted even if it does not fit; later requests wait for it.
#[test]
fn what_exists_already_is_counted_over_the_limit() {
    let budget = MemoryBudget::new(Some(10));
    let body = budget.hold(Bytes::from(vec![0; 40]));
    assert!(budget.is_full() && budget.try_reserve(1).is_none());
    drop(body);
    assert!(!budget.is_full());
}
