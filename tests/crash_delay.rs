//! Tests of when work runs again under which replicas have crashed.

use std::time::Duration;

use mulberrycourse::decide::quarantine::CrashDelay;

/// A step is due after some seconds.
const MAX_DELAY: Duration = Duration::from_secs(1);

#[test]
fn the_delay_of_an_item_grows_with_its_crashes_and_stays_below_the_time_of_a_step() {
    let mut crashes = CrashDelay::default();
    crashes.record();
    assert_eq!(crashes.delay(), Duration::ZERO);
    assert!(!crashes.runs_apart());
    let mut last = Duration::ZERO;
    for _ in 0..1_000 {
        crashes.record();
        assert!(crashes.delay() >= last && crashes.delay() <= MAX_DELAY, "{crashes:?}");
        assert!(crashes.runs_apart());
        last = crashes.delay();
    }
    assert_eq!(last, MAX_DELAY);
}
