//! How long a message that comes in pieces is waited for.

use std::time::Duration;

use mulberrycourse::decide::Transfer;
use proptest::prelude::*;

const LIMIT: Duration = Duration::from_millis(1_400);
const PIECE: usize = 64 << 10;

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Takes pieces that come so far apart; none where it was given up, else when the last came.
fn carried(limit: Duration, pieces: u64, apart: Duration) -> Option<Duration> {
    let mut transfer = Transfer::new(limit, 0);
    let mut now = Duration::ZERO;
    for _ in 0..pieces {
        now += apart;
        if now > transfer.deadline() {
            return None;
        }
        transfer.record_received(PIECE, now);
    }
    Some(now)
}

/// Sixteen ask for a megabyte over a link of 60 Mbit/s: each has it after 2.2 s. With one limit
/// for all of it none had it after 1.4 s, and each began again elsewhere.
#[test]
fn a_reply_over_a_shared_link_is_not_given_up_on_its_way() {
    let turn = Duration::from_micros(16 * PIECE as u64 * 1_000_000 / 7_500_000);
    assert_eq!(carried(LIMIT, 16, turn), Some(turn * 16));
    assert!(turn * 16 > LIMIT);
}

#[test]
fn silence_is_given_up_at_the_limit_and_later_soon_after_the_last_piece() {
    let mut transfer = Transfer::new(LIMIT, 0);
    assert_eq!(transfer.deadline(), LIMIT);
    for n in 1..=30 {
        transfer.record_received(PIECE, millis(100 * n));
    }
    assert_eq!(transfer.deadline(), millis(3_400));
}

/// A sender of a byte now and then holds nobody up for longer than a silent one, by much.
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

/// The platform's largest value is not waited for without a bound either.
#[test]
fn the_largest_value_has_a_bound() {
    let late = (1..).map(millis).find(|apart| carried(LIMIT, 16, *apart).is_none());
    assert!(late.unwrap() * 16 < millis(6_000), "{late:?}");
}

/// A job of eight thousand samples takes a second on the narrowest link before anybody can answer.
#[test]
fn a_request_has_the_time_that_its_bytes_take() {
    assert!(Transfer::new(millis(600), 8 << 20).deadline() > millis(600) + millis(1_120));
    assert!(Transfer::new(millis(600), 1 << 10).deadline() < millis(601));
}

proptest! {
    /// Whatever comes, a reply is not given up before the limit, nor kept for long in silence.
    #[test]
    fn patience_lies_between_the_limit_and_a_silence(
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
