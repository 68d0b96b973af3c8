//! Estimate of how many events a text still takes.
//!
//! Load pattern: a few texts of a training step are ten times as long as the others, and the step
//! ends with the last of them. Without an estimate they run on slow replicas as often as any
//! other text. Trainers send an estimate in tokens, which is right at the median and often off by
//! half, and an event holds an unknown number of tokens, so both are related by the texts that
//! have ended.

/// Weight of one text in the tokens per event: differences between texts even out over about
/// fifty texts, half of a training step.
const TEXT_WEIGHT: f64 = 0.02;
/// The number of texts after which the tokens per event are used.
const MIN_TEXTS: u32 = 8;
/// A text that is longer than was estimated goes on for at least this part of its length so far:
/// the longer a text already is, the longer it is expected to go on.
const REMAINING_SHARE: f64 = 0.5;
/// The fewest events that a text is expected to go on for.
const MIN_EVENTS_LEFT: f64 = 2.0;
/// The length of a text, in events, while nothing is known: that of usual texts.
const UNKNOWN_EVENTS: f64 = 20.0;

/// What is known of the length of a text.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TextLength {
    /// The sender's estimate of its length, in tokens.
    pub hint: Option<u64>,
    /// The events that have been received.
    pub events: u64,
}

/// The relation of estimated tokens and events in the texts of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TextLengths {
    /// Moving means of the estimated tokens and of the events of a text.
    tokens: f64,
    events: f64,
    /// The number of texts.
    texts: u32,
}

impl TextLengths {
    /// Records a text that is complete.
    pub fn record(&mut self, length: TextLength) {
        let Some(hint) = length.hint.filter(|hint| *hint > 0) else { return };
        self.texts = self.texts.saturating_add(1);
        let weight = (1.0 / f64::from(self.texts)).max(TEXT_WEIGHT);
        self.tokens += weight * (hint as f64 - self.tokens);
        self.events += weight * (length.events as f64 - self.events);
    }

    /// Returns how many more events a text is expected to take.
    pub fn events_left(&self, length: TextLength) -> f64 {
        let done = length.events as f64;
        let known = self.texts >= MIN_TEXTS && self.tokens > 0.0;
        let expected = match length.hint {
            Some(hint) if known => hint as f64 * self.events / self.tokens,
            _ => UNKNOWN_EVENTS,
        };
        (expected - done).max(REMAINING_SHARE * done).max(MIN_EVENTS_LEFT)
    }
}
