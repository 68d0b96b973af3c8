//! How long a message that arrives in pieces is waited for.

use std::time::Duration;

use mulberrycourse::decide::Transfer;
use proptest::prelude::*;

const LIMIT: Duration = Duration::from_millis(1_400);
const PIECE: usize = 64 << 10;

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Receives pieces at this interval. Returns when the last one arrived; none if the transfer was
/// given up.
fn receive_all(limit: Duration, pieces: u64, interval: Duration) -> Option<Duration> {
    let mut transfer = Transfer::new(limit, 0);
    let mut now = Duration::ZERO;
    for _ in 0..pieces {
        now += interval;
        if now > transfer.deadline() {
            return None;
        }
        transfer.record_received(PIECE, now);
    }
    Some(now)
}

/// Sixteen nodes request a megabyte over a link of 60 Mbit/s: each has it after 2.2 s. With one
/// time limit for the whole reply none had it after 1.4 s, and each began again elsewhere.
#[test]
fn a_reply_over_a_shared_link_is_not_given_up_in_transit() {
    let interval = Duration::from_micros(16 * PIECE as u64 * 1_000_000 / 7_500_000);
    assert_eq!(receive_all(LIMIT, 16, interval), Some(interval * 16));
    assert!(interval * 16 > LIMIT);
}

#[test]
fn a_silent_transfer_is_given_up_at_the_limit_and_later_soon_after_the_last_piece() {
    let mut transfer = Transfer::new(LIMIT, 0);
    assert_eq!(transfer.deadline(), LIMIT);
    for n in 1..=30 {
        transfer.record_received(PIECE, millis(100 * n));
    }
    assert_eq!(transfer.deadline(), millis(3_400));
}

/// A sender of a few bytes now and then holds up the receiver hardly longer than a silent one.
#[test]
fn a_trickle_is_given_up() {
    let mut transfer = Transfer::new(LIMIT, 0);
    let mut now = Duration::ZERO;
    while now <= transfer.deadline() {
        transfer.record_received(100, now);
        now += millis(100);
    }
    assert!(now < LIMIT + millis(1_000), "{now:?}");
}

/// The time to wait is bounded even for the platform's largest value.
#[test]
fn the_largest_value_is_waited_for_a_bounded_time() {
    let late = (1..).map(millis).find(|interval| receive_all(LIMIT, 16, *interval).is_none());
    assert!(late.unwrap() * 16 < millis(6_000), "{late:?}");
}

/// Sending a job of eight thousand samples takes a second on the narrowest link, before which there
/// can be no answer.
#[test]
fn the_limit_includes_the_time_for_sending_the_request() {
    assert!(Transfer::new(millis(600), 8 << 20).deadline() > millis(600) + millis(1_120));
    assert!(Transfer::new(millis(600), 1 << 10).deadline() < millis(601));
}

proptest! {
    /// Whatever arrives, a reply is not given up before the limit, nor waited for during a long
    /// pause.
    #[test]
    fn the_deadline_lies_between_the_limit_and_a_pause(
        limit in 0_u64..3_000,
        pieces in prop::collection::vec((0_u64..500, 1_usize..200_000), 0..40),
    ) {
        let mut transfer = Transfer::new(millis(limit), 0);
        let mut now = Duration::ZERO;
        for (gap, bytes) in pieces {
            now += millis(gap);
            transfer.record_received(bytes, now);
            prop_assert!(transfer.deadline() >= millis(limit));
            prop_assert!(transfer.deadline() <= millis(limit).max(now + millis(400)));
        }
    }
}
