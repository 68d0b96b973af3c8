//! The timeout of calls to the store.

use std::time::Duration;

use mulberrycourse::decide::AdaptiveTimeout;

const USUAL: Duration = Duration::from_millis(4);

#[test]
fn lost_answer_costs_little_and_the_next_answer_restores_the_timeout() {
    let mut timeout = AdaptiveTimeout::default();
    let first = timeout.timeout();
    assert!(first < Duration::from_millis(500));
    timeout.timed_out();
    assert!(timeout.timeout() > first);
    timeout.answered(USUAL);
    assert_eq!(timeout.timeout(), first);
}

#[test]
fn store_that_stays_slow_is_answered() {
    for slow in [50, 240, 400, 900, 1_500] {
        let slow = Duration::from_millis(slow);
        let mut timeout = AdaptiveTimeout::default();
        let mut timeouts = 0;
        let mut answered = 0;
        for _ in 0..20 {
            if slow <= timeout.timeout() {
                timeout.answered(slow);
                answered += 1;
            } else {
                timeout.timed_out();
                timeouts += 1;
            }
        }
        assert!(timeouts <= 3, "{slow:?}: {timeouts}");
        assert!(answered >= 17, "{slow:?}: {answered}");
    }
}
