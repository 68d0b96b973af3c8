//! Tests of the timeout of calls to the store, which adapts to the latency of the answers.

use std::time::Duration;

use mulberrycourse::decide::AdaptiveTimeout;

/// The latency of a store that is not slow.
const USUAL_LATENCY: Duration = Duration::from_millis(4);

#[test]
fn timeout_grows_after_a_lost_answer_and_recovers_with_the_next() {
    let mut timeout = AdaptiveTimeout::default();
    let first = timeout.timeout();
    assert!(first < Duration::from_millis(500));
    timeout.timed_out();
    assert!(timeout.timeout() > first);
    timeout.answered(USUAL_LATENCY);
    assert_eq!(timeout.timeout(), first);
}

#[test]
fn timeout_adapts_to_a_slow_store() {
    for latency_ms in [50, 240, 400, 900, 1_500] {
        let latency = Duration::from_millis(latency_ms);
        let mut timeout = AdaptiveTimeout::default();
        let mut timeouts = 0;
        let mut answered = 0;
        for _ in 0..20 {
            if latency <= timeout.timeout() {
                timeout.answered(latency);
                answered += 1;
            } else {
                timeout.timed_out();
                timeouts += 1;
            }
        }
        assert!(timeouts <= 3, "{latency:?}: {timeouts}");
        assert!(answered >= 17, "{latency:?}: {answered}");
    }
}
