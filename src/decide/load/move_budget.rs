//! Whether a text moves to a faster replica.
//!
//! Load pattern: texts run on replicas of uneven speed. A text that has a few events left gains
//! less from a faster replica than its prompt costs there, and while many replicas are slow, each
//! text would move several times. Without any move, a step waits for a long text on a replica
//! that has turned slow. So a move has to gain a time that matters to a step, and there are few:
//! a part of the texts that begin, and the fewer are left, the more each has to gain.

/// The moves that each beginning text allows.
const MOVES_PER_TEXT: f64 = 0.04;
/// The most moves that are saved up: those of the longest texts of a training step.
const MAX_SAVED_MOVES: f64 = 12.0;
/// Seconds that a move has to gain while all saved moves are left: a trainer reads its results
/// twice a second.
const MIN_GAIN_SECONDS: f64 = 0.5;
/// Seconds that a move costs besides the events that are left: a connection, a place in the batch
/// and the prompt and text to be read.
const MOVE_SECONDS: f64 = 0.05;

/// Returns the seconds by which a text ends earlier if it moves, given the seconds an event takes
/// here and there.
pub fn move_gain(events_left: f64, here: f64, there: f64) -> f64 {
    events_left * (here - there) - MOVE_SECONDS
}

/// The moves that the texts of one service may still make.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct MoveBudget {
    left: f64,
}

impl Default for MoveBudget {
    fn default() -> Self {
        Self { left: MAX_SAVED_MOVES }
    }
}

impl MoveBudget {
    /// Records that a text begins.
    pub fn text_began(&mut self) {
        self.left = (self.left + MOVES_PER_TEXT).min(MAX_SAVED_MOVES);
    }

    /// Takes a move that gains this many seconds. False if it gains too little for what is left.
    pub fn take(&mut self, gain: f64) -> bool {
        if self.left < 1.0 || gain < MIN_GAIN_SECONDS * MAX_SAVED_MOVES / self.left {
            return false;
        }
        self.left -= 1.0;
        true
    }
}
