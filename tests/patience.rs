//! How long the store's answers are waited for.

use std::time::Duration;

use mulberrycourse::decide::Patience;

const USUAL: Duration = Duration::from_millis(4);

#[test]
fn a_lost_answer_costs_little_and_the_next_answer_restores_it() {
    let mut patience = Patience::default();
    let first = patience.limit();
    assert!(first < Duration::from_millis(500));
    patience.gave_up();
    assert!(patience.limit() > first);
    patience.answered(USUAL);
    assert_eq!(patience.limit(), first);
}

#[test]
fn a_store_that_is_slow_for_long_is_heard() {
    for slow in [50, 240, 400, 900, 1_500] {
        let slow = Duration::from_millis(slow);
        let mut patience = Patience::default();
        let mut given_up = 0;
        let mut answered = 0;
        for _ in 0..20 {
            if slow <= patience.limit() {
                patience.answered(slow);
                answered += 1;
            } else {
                patience.gave_up();
                given_up += 1;
            }
        }
        assert!(given_up <= 3, "{slow:?}: {given_up}");
        assert!(answered >= 17, "{slow:?}: {answered}");
    }
}
