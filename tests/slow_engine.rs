//! Tests of which samples move away from a slow engine, without sockets.

use std::time::Duration;

use mulberrycourse::decide::SlowEngineDetector;

const SECOND: Duration = Duration::from_secs(1);

/// Returns the detector of a step with this many finished attempts, at 10 ms a token.
fn detector_after(finished: u32) -> SlowEngineDetector {
    let mut detector = SlowEngineDetector::default();
    (0..finished).for_each(|_| detector.attempt_finished(100, SECOND));
    detector
}

/// An attempt that is far behind moves. One that is a little behind, has just begun or is almost
/// done does not.
#[test]
fn only_samples_on_slow_engines_move() {
    assert!(detector_after(20).should_move(5, SECOND, 100));
    assert!(!detector_after(20).should_move(30, SECOND, 100), "three times slower");
    assert!(!detector_after(20).should_move(0, SECOND / 2, 100), "has just begun");
    assert!(!detector_after(20).should_move(5, SECOND, 10), "almost done");
    assert!(!detector_after(7).should_move(5, SECOND, 100), "too few finished attempts");
}

/// All engines become slow at once: the number of moves is bounded by the finished attempts.
#[test]
fn slowdown_of_all_engines_moves_few_samples() {
    let mut detector = detector_after(20);
    let moved = (0..1_000).filter(|_| detector.should_move(5, SECOND, 100)).count();
    assert_eq!(moved, 10);
    // The mean follows the finished attempts: an engine that is as slow as all others is not slow.
    (0..100).for_each(|_| detector.attempt_finished(5, SECOND));
    assert!(!detector.should_move(5, SECOND, 100));
}
