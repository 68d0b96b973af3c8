//! Which samples of a step have to leave the engine where they are.
//!
//! Load pattern: an engine becomes many times slower than the others (a noisy
//! neighbour, a throttled accelerator) but goes on to answer, so that nothing
//! counts as failed. Without this the step waits for the samples that happen to be
//! there, and the trainer is idle. Moving one costs reading its prompt and what is
//! there of it again, and no sample is dropped: lengths stay as they are.

use std::time::Duration;

/// An attempt is judged after so long: a queue at the engine and the prompt's own
/// reading are over by then.
const PATIENCE: Duration = Duration::from_secs(1);
/// Finished attempts from which the step's pace is known.
const KNOWN: u32 = 8;
/// So many times the step's pace is a drag. A full batch beside an empty one differs
/// by less; a throttled accelerator by more.
const FACTOR: f64 = 4.0;
/// What a move must save at least: reading prompt and prior again takes up to seconds.
const GAIN: Duration = Duration::from_secs(2);
/// Finished attempts for each move. If all engines become slow together nothing
/// finishes, and nothing moves either.
const FINISHED: u32 = 2;
/// Weight of a finished attempt in the mean.
const WEIGHT: f64 = 0.1;

/// The pace of a step's samples.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Drag {
    /// Seconds a token, over finished attempts.
    pace: f64,
    finished: u32,
    moved: u32,
}

impl Drag {
    /// An attempt finished its sample.
    pub fn finished(&mut self, tokens: u32, took: Duration) {
        if tokens == 0 {
            return;
        }
        let pace = took.as_secs_f64() / f64::from(tokens);
        let weight = if self.finished == 0 { 1.0 } else { WEIGHT };
        self.pace += weight * (pace - self.pace);
        self.finished = self.finished.saturating_add(1);
    }

    /// Whether an attempt that made `tokens` in `took`, and may have `left` more to
    /// make, is to go on at another engine. If so, the move counts as made.
    pub fn leaves(&mut self, tokens: u32, took: Duration, left: u32) -> bool {
        if took < PATIENCE || self.finished < KNOWN {
            return false;
        }
        let pace = took.as_secs_f64() / f64::from(tokens.max(1));
        let saved = (pace - self.pace) * f64::from(left);
        let drags = pace > FACTOR * self.pace && saved > GAIN.as_secs_f64();
        let leaves = drags && self.moved.saturating_mul(FINISHED) < self.finished;
        self.moved += u32::from(leaves);
        leaves
    }
}
