//! How long the store's answers are waited for.

use std::time::Duration;

use mulberrycourse::decide::AdaptiveTimeout;

const USUAL: Duration = Duration::from_millis(4);

#[test]
fn a_lost_answer_costs_little_and_the_next_answer_restores_it() {
    let mut patience = AdaptiveTimeout::default();
    let first = patience.timeout();
    assert!(first < Duration::from_millis(500));
    patience.timed_out();
    assert!(patience.timeout() > first);
    patience.answered(USUAL);
    assert_eq!(patience.timeout(), first);
}

#[test]
fn a_store_that_is_slow_for_long_is_heard() {
    for slow in [50, 240, 400, 900, 1_500] {
        let slow = Duration::from_millis(slow);
        let mut patience = AdaptiveTimeout::default();
        let mut given_up = 0;
        let mut answered = 0;
        for _ in 0..20 {
            if slow <= patience.timeout() {
                patience.answered(slow);
                answered += 1;
            } else {
                patience.timed_out();
                given_up += 1;
            }
        }
        assert!(given_up <= 3, "{slow:?}: {given_up}");
        assert!(answered >= 17, "{slow:?}: {answered}");
    }
}
