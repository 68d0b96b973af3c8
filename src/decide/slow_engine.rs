//! Detection of samples that have to move away from a slow engine.
//!
//! Load pattern: an engine becomes many times slower than the others (a noisy neighbour, a
//! throttled accelerator) but still answers, so that nothing counts as failed. Without
//! detection, the step waits for the samples on that engine, and the trainer is idle. Moving
//! a sample costs reading its prompt and the text so far again; no sample is dropped, so the
//! distribution of lengths stays as it is.

use std::time::Duration;

/// Youngest attempt that is judged: by then the engine's queue and the reading of the prompt
/// are over.
const MIN_ATTEMPT_AGE: Duration = Duration::from_secs(1);
/// Finished attempts from which the step's mean token time is reliable.
const MIN_FINISHED_ATTEMPTS: u32 = 8;
/// An engine that takes this many times the step's mean token time is slow. A full batch
/// beside an empty one differs by less, a throttled accelerator by more.
const SLOWDOWN_FACTOR: f64 = 4.0;
/// Minimum time that a move must save: reading the prompt and the text so far again takes up
/// to seconds.
const MIN_TIME_SAVED: Duration = Duration::from_secs(2);
/// Finished attempts that each move requires. If all engines become slow together, nothing
/// finishes, and nothing moves either.
const FINISHED_PER_MOVE: u32 = 2;
/// Weight of a finished attempt in the moving mean.
const MEAN_WEIGHT: f64 = 0.1;

/// Detects slow engines by the token times of a step's samples.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct SlowEngineDetector {
    /// Mean seconds per token of finished attempts.
    token_time: f64,
    finished: u32,
    moves: u32,
}

impl SlowEngineDetector {
    /// Records an attempt that finished its sample with `tokens` in `took`.
    pub fn attempt_finished(&mut self, tokens: u32, took: Duration) {
        if tokens == 0 {
            return;
        }
        let token_time = took.as_secs_f64() / f64::from(tokens);
        let weight = if self.finished == 0 { 1.0 } else { MEAN_WEIGHT };
        self.token_time += weight * (token_time - self.token_time);
        self.finished = self.finished.saturating_add(1);
    }

    /// Whether an attempt that made `tokens` in `took`, and may make up to `left` more, has
    /// to move to another engine. If so, the move is counted.
    pub fn should_move(&mut self, tokens: u32, took: Duration, left: u32) -> bool {
        if took < MIN_ATTEMPT_AGE || self.finished < MIN_FINISHED_ATTEMPTS {
            return false;
        }
        let token_time = took.as_secs_f64() / f64::from(tokens.max(1));
        let saved = (token_time - self.token_time) * f64::from(left);
        let is_slow =
            token_time > SLOWDOWN_FACTOR * self.token_time && saved > MIN_TIME_SAVED.as_secs_f64();
        let moves = is_slow && self.moves.saturating_mul(FINISHED_PER_MOVE) < self.finished;
        self.moves += u32::from(moves);
        moves
    }
}
