//! Which samples leave a slow engine, without sockets.

use std::time::Duration;

use mulberrycourse::decide::SlowEngineDetector;

const SECOND: Duration = Duration::from_secs(1);

/// A step of which so many attempts finished, at 10 ms a token.
fn step(finished: u32) -> SlowEngineDetector {
    let mut drag = SlowEngineDetector::default();
    (0..finished).for_each(|_| drag.attempt_finished(100, SECOND));
    drag
}

/// An attempt that is far behind leaves; one that is a little behind, young, or almost done
/// stays.
#[test]
fn only_what_drags_leaves() {
    assert!(step(20).should_move(5, SECOND, 100));
    assert!(!step(20).should_move(30, SECOND, 100), "three times slower");
    assert!(!step(20).should_move(0, SECOND / 2, 100), "too young to tell");
    assert!(!step(20).should_move(5, SECOND, 10), "almost done");
    assert!(!step(7).should_move(5, SECOND, 100), "the pace is not known yet");
}

/// All engines become slow at once: only as many attempts move as finished ones allow.
#[test]
fn common_cause_moves_few() {
    let mut drag = step(20);
    let moved = (0..1_000).filter(|_| drag.should_move(5, SECOND, 100)).count();
    assert_eq!(moved, 10);
    // The pace follows what finishes: slow for all is not slow for one.
    (0..100).for_each(|_| drag.attempt_finished(5, SECOND));
    assert!(!drag.should_move(5, SECOND, 100));
}
