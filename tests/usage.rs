//! Tests of the counting of usage without nodes: windows, clocks that jump, and notes that arrive
//! twice or late.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::decide::usage::{
    AgreedClock, Counts, Ledger, Meter, SteadyClock, WindowNote, Windows,
};
use proptest::prelude::*;

const WINDOWS: Windows =
    Windows { length: Duration::from_secs(5), report_grace: Duration::from_secs(10) };
/// The window in which the tests take place.
const CURRENT_WINDOW: u64 = 356_731_765;

fn name(text: &str) -> Name {
    text.into()
}

#[test]
fn a_window_ends_where_the_next_begins() {
    let end = WINDOWS.end_of(CURRENT_WINDOW);
    assert_eq!(WINDOWS.index_at(end), CURRENT_WINDOW + 1);
    assert_eq!(WINDOWS.index_at(end - Duration::from_nanos(1)), CURRENT_WINDOW);
    assert_eq!(WINDOWS.report_deadline(CURRENT_WINDOW), end + WINDOWS.report_grace);
    // A window beyond any time of day does not panic.
    assert!(WINDOWS.report_deadline(u64::MAX) > WINDOWS.end_of(CURRENT_WINDOW));
}

#[test]
fn a_clock_that_jumps_and_jumps_back_is_ignored() {
    let (mut steady, start) = (SteadyClock::default(), Duration::from_secs(1_800_000_000));
    let mut read = |running: u64, wall: i64| {
        let wall = Duration::from_millis((start.as_millis() as i64 + wall) as u64);
        let time = steady.read(Duration::from_millis(running), wall);
        time.as_millis() as i64 - start.as_millis() as i64
    };
    assert_eq!(read(1_000, 1_000), 1_000);
    assert_eq!(read(2_000, 4_000), 2_000);
    assert_eq!(read(3_000, 1_000), 3_000);
    assert_eq!(read(4_000, 4_000), 4_000);
    // A clock that is slewed is followed.
    assert_eq!(read(5_000, 5_100), 5_100);
    // A jump that lasts is a correction.
    assert_eq!(read(6_000, 9_000), 6_100);
    assert_eq!(read(65_999, 68_999), 66_099);
    assert_eq!(read(66_000, 69_000), 69_000);
    assert_eq!(read(67_000, 70_000), 70_000);
}

/// A node whose clock is wrong from the start follows the median of the reported times; a single
/// report is ignored, and a node whose clock is right keeps to its own clock.
#[test]
fn a_clock_that_is_wrong_from_the_start_is_overruled_by_the_others() {
    let (start, ahead) = (Duration::from_secs(1_800_000_000), Duration::from_secs(7));
    let at = Duration::from_secs;
    let mut agreed = AgreedClock::default();
    assert_eq!(agreed.read(at(1), start + at(1) + ahead), start + at(1) + ahead);
    agreed.record_peer(&name("a"), start + at(2), at(2));
    assert_eq!(agreed.read(at(2), start + at(2) + ahead), start + at(2) + ahead);
    agreed.record_peer(&name("b"), start + at(2), at(2));
    assert_eq!(agreed.read(at(2), start + at(2) + ahead), start + at(2));
    // Its clock is corrected: the time does not jump.
    assert_eq!(agreed.read(at(3), start + at(3)), start + at(3));
    // Without recent reports it uses its own clock, which has not followed the correction yet.
    assert_eq!(agreed.read(at(40), start + at(40)), start + at(40) + ahead);

    let mut right = AgreedClock::default();
    right.record_peer(&name("wrong"), start + at(1) + ahead, at(1));
    right.record_peer(&name("a"), start + at(1), at(1));
    assert_eq!(right.read(at(1), start + at(1)), start + at(1));
    assert_eq!(right.read(at(1), start + at(1)), start + at(1));
}

#[test]
fn a_window_is_closed_once_all_its_requests_are_settled() {
    let mut meter = Meter::default();
    meter.request_sent(CURRENT_WINDOW);
    meter.request_sent(CURRENT_WINDOW);
    meter.request_settled(CURRENT_WINDOW, Some(&name("o")));
    let mut note = |present| {
        meter.window_notes(present).into_iter().find(|n| n.window == CURRENT_WINDOW).unwrap()
    };
    assert!(!note(CURRENT_WINDOW).closed && !note(CURRENT_WINDOW + 1).closed);
    assert_eq!(note(CURRENT_WINDOW + 1).counts, Counts::from([(name("o"), 1)]));
    meter.request_settled(CURRENT_WINDOW, None);
    let closed = meter
        .window_notes(CURRENT_WINDOW + 1)
        .into_iter()
        .find(|n| n.window == CURRENT_WINDOW)
        .unwrap();
    assert!(closed.closed);
    assert_eq!(closed.counts, Counts::from([(name("o"), 1)]));
    // Windows without a request are closed too.
    assert!(
        meter
            .window_notes(CURRENT_WINDOW + 2)
            .iter()
            .all(|n| n.closed == (n.window < CURRENT_WINDOW + 2))
    );
}

#[test]
fn a_note_of_a_distant_window_is_left_out_and_returned() {
    let mut ledger = Ledger::default();
    let note = |window| WindowNote { window, closed: true, counts: Counts::from([(name("o"), 1)]) };
    let incarnation = name("a");
    let rejected = ledger.record(
        &incarnation,
        &[note(u64::MAX), note(0), note(CURRENT_WINDOW)],
        CURRENT_WINDOW,
    );
    assert_eq!(rejected, [u64::MAX, 0]);
    assert_eq!(
        ledger.total(CURRENT_WINDOW, std::slice::from_ref(&incarnation)).counts[&name("o")],
        1
    );
    assert_eq!(ledger.total(u64::MAX, &[incarnation]).counts, Counts::new());
}

#[test]
fn overflowing_counts_stay_at_the_maximum() {
    let mut ledger = Ledger::default();
    for incarnation in ["a", "b"] {
        let counts = Counts::from([(name("o"), u64::MAX)]);
        ledger.record(
            &name(incarnation),
            &[WindowNote { window: CURRENT_WINDOW, closed: true, counts }],
            CURRENT_WINDOW,
        );
    }
    assert_eq!(ledger.total(CURRENT_WINDOW, &[]).counts[&name("o")], u64::MAX);
}

proptest! {
    /// Notes of growing counts may be lost, repeated and reordered: once each node's last note has
    /// been recorded, every request is counted once.
    #[test]
    fn every_request_is_counted_once(
        runs in prop::collection::vec((0..3_usize, 0..4_usize, any::<bool>()), 0..60),
        order in prop::collection::vec((0..3_usize, 0..60_usize), 0..90),
    ) {
        let incarnations = ["a", "b", "c"].map(name);
        let mut meters = [Meter::default(), Meter::default(), Meter::default()];
        let mut sent: [Vec<Vec<WindowNote>>; 3] = Default::default();
        let mut expected = Counts::new();
        for (node, organisation, ran) in runs {
            let organisation = name(&format!("o{organisation}"));
            meters[node].request_sent(CURRENT_WINDOW);
            meters[node].request_settled(CURRENT_WINDOW, ran.then_some(&organisation));
            if ran {
                *expected.entry(organisation).or_default() += 1;
            }
            sent[node].push(meters[node].window_notes(CURRENT_WINDOW));
        }
        let mut ledger = Ledger::default();
        for (node, index) in order {
            if let Some(notes) = sent[node].get(index) {
                ledger.record(&incarnations[node], notes, CURRENT_WINDOW);
            }
        }
        prop_assert_eq!(ledger.total(CURRENT_WINDOW, &incarnations).unclosed.len(), 3);
        for (node, meter) in meters.iter_mut().enumerate() {
            ledger.record(&incarnations[node], &meter.window_notes(CURRENT_WINDOW + 1), CURRENT_WINDOW + 1);
        }
        let total = ledger.total(CURRENT_WINDOW, &incarnations);
        prop_assert_eq!((total.counts, total.unclosed.len()), (expected, 0));
    }
}
