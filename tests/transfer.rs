//! Tests of the deadline of a message that arrives in pieces.

use std::time::Duration;

use mulberrycourse::decide::Transfer;
use proptest::prelude::*;

/// How long the reply may take to begin.
const START_TIMEOUT: Duration = Duration::from_millis(1_400);
/// The size of each piece.
const PIECE_BYTES: usize = 64 << 10;

fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Receives pieces at this interval. Returns when the last one arrived, or `None` if the transfer
/// timed out.
fn receive_all(start_timeout: Duration, pieces: u64, interval: Duration) -> Option<Duration> {
    let mut transfer = Transfer::new(start_timeout, 0);
    let mut now = Duration::ZERO;
    for _ in 0..pieces {
        now += interval;
        if now > transfer.deadline() {
            return None;
        }
        transfer.record_received(PIECE_BYTES, now);
    }
    Some(now)
}

/// Sixteen nodes request a megabyte over a link of 60 Mbit/s: each has it after 2.2 s. With one
/// timeout of 1.4 s for the whole reply, none had received it by then, and each began again with
/// another node.
#[test]
fn a_reply_over_a_shared_link_does_not_time_out() {
    let interval = Duration::from_micros(16 * PIECE_BYTES as u64 * 1_000_000 / 7_500_000);
    assert_eq!(receive_all(START_TIMEOUT, 16, interval), Some(interval * 16));
    assert!(interval * 16 > START_TIMEOUT);
}

#[test]
fn a_stalled_transfer_times_out_at_the_timeout_or_soon_after_the_last_piece() {
    let mut transfer = Transfer::new(START_TIMEOUT, 0);
    assert_eq!(transfer.deadline(), START_TIMEOUT);
    for n in 1..=30 {
        transfer.record_received(PIECE_BYTES, millis(100 * n));
    }
    assert_eq!(transfer.deadline(), millis(3_400));
}

/// A sender of a few bytes now and then is waited for hardly longer than one that sends nothing.
#[test]
fn a_trickle_times_out() {
    let mut transfer = Transfer::new(START_TIMEOUT, 0);
    let mut now = Duration::ZERO;
    while now <= transfer.deadline() {
        transfer.record_received(100, now);
        now += millis(100);
    }
    assert!(now < START_TIMEOUT + millis(1_000), "{now:?}");
}

/// The time to wait is bounded even for the platform's largest value.
#[test]
fn the_time_for_the_largest_value_is_bounded() {
    let late =
        (1..).map(millis).find(|interval| receive_all(START_TIMEOUT, 16, *interval).is_none());
    assert!(late.unwrap() * 16 < millis(6_000), "{late:?}");
}

/// Sending a job of eight thousand samples takes a second on the narrowest link, before which there
/// can be no answer.
#[test]
fn the_deadline_includes_the_time_for_sending_the_request() {
    assert!(Transfer::new(millis(600), 8 << 20).deadline() > millis(600) + millis(1_120));
    assert!(Transfer::new(millis(600), 1 << 10).deadline() < millis(601));
}

proptest! {
    /// Whatever arrives, a reply does not time out before the timeout for its start, and does time
    /// out in a pause of more than 400 ms after that.
    #[test]
    fn the_deadline_is_between_the_start_timeout_and_a_pause(
        start_timeout_ms in 0_u64..3_000,
        pieces in prop::collection::vec((0_u64..500, 1_usize..200_000), 0..40),
    ) {
        let mut transfer = Transfer::new(millis(start_timeout_ms), 0);
        let mut now = Duration::ZERO;
        for (gap, bytes) in pieces {
            now += millis(gap);
            transfer.record_received(bytes, now);
            prop_assert!(transfer.deadline() >= millis(start_timeout_ms));
            prop_assert!(transfer.deadline() <= millis(start_timeout_ms).max(now + millis(400)));
        }
    }
}
