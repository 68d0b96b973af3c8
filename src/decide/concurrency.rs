//! The concurrency limit of one upstream, adapted to the upstream's latency.
//!
//! Load pattern: an upstream gets slow, or has less capacity than the bundle configures. With a
//! fixed limit, requests pile up inside it, where they can neither be refused nor moved, and every
//! answer is late. The limit, called the level here, rises while answers take the usual time per
//! unit of cost, and falls when they take twice as long, or when the upstream refuses.
//!
//! The rule is that of TCP congestion avoidance with a delay signal (Brakmo and Peterson,
//! "TCP Vegas", 1995): doubling up to a threshold, then one more each round, and a
//! multiplicative decrease at most once a round, so that one slow period counts once.

use serde::{Deserialize, Serialize};

/// Level of an upstream that accepts work again after an interruption (slow start; TCP's
/// initial window is of this order, RFC 6928).
const RESTART_LEVEL: f64 = 4.0;
/// A new upstream starts at this part of the ceiling, if that is more than [`RESTART_LEVEL`].
const INITIAL_CEILING_SHARE: f64 = 0.25;
/// The level of a new upstream doubles only up to this multiple of its first level: answers
/// take seconds, so that an overload shows only after seconds.
const INITIAL_DOUBLING_FACTOR: f64 = 1.5;
/// Latency, as a multiple of the baseline, above which the level falls: sharing a batch up to
/// twofold is what continuous batching is for, more is a queue.
const DECREASE_LATENCY_RATIO: f64 = 2.0;
/// Latency, as a multiple of the baseline, above which the level rises no more and training
/// gets only half of it: once a batch is full, more requests would only slow the live ones in it.
const INCREASE_LATENCY_RATIO: f64 = 1.25;
/// Largest decrease: the part of the level that is left. A decrease is in proportion to the
/// excess latency, between this and [`MIN_DECREASE_FACTOR`].
const MAX_DECREASE_FACTOR: f64 = 0.5;
/// Smallest decrease: the part of the level that is left.
const MIN_DECREASE_FACTOR: f64 = 0.9;
/// Weight of one answer in the recent latency.
const RECENT_WEIGHT: f64 = 0.05;
/// Weight of a lower recent latency in the baseline.
const BASELINE_FALL_WEIGHT: f64 = 0.03;
/// Weight of a higher recent latency in the baseline: a lasting change takes about 1,000
/// answers.
const BASELINE_RISE_WEIGHT: f64 = 0.001;
/// Live requests may exceed the level by this factor: they need not wait for long samples
/// of training to end.
const LIVE_EXCESS_FACTOR: f64 = 1.25;

/// The limit on the attempts in flight at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct ConcurrencyLimit {
    /// The highest level, set by the bundle.
    ceiling: u32,
    /// Attempts in flight.
    running: u32,
    /// The current limit.
    level: f64,
    /// Level up to which the limit doubles each round; above it, the limit rises by one a round.
    threshold: f64,
    /// The usual latency in seconds per unit of cost.
    #[serde(rename = "usual")]
    baseline: Option<f64>,
    /// The recent latency in seconds per unit of cost.
    recent: f64,
    /// Answers left in this round; the limit decreases again only once it is 0.
    round: u32,
}

impl ConcurrencyLimit {
    /// The limit of a new upstream, with the ceiling that the bundle sets.
    pub fn new(ceiling: u32) -> Self {
        let ceiling = ceiling.max(1);
        let top = f64::from(ceiling);
        let level = RESTART_LEVEL.max(INITIAL_CEILING_SHARE * top).min(top);
        Self {
            ceiling,
            running: 0,
            level,
            threshold: (INITIAL_DOUBLING_FACTOR * level).min(top),
            baseline: None,
            recent: 0.0,
            round: 0,
        }
    }

    /// The limit of a new upstream that starts at this level or a lower one.
    pub fn starting_below(ceiling: u32, level: u32) -> Self {
        let limit = Self::new(ceiling);
        Self { level: limit.level.min(f64::from(level.max(1))), ..limit }
    }

    /// Changes the ceiling; attempts in flight go on.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        self.ceiling = ceiling.max(1);
        self.level = self.level.min(f64::from(self.ceiling));
    }

    /// Starts low again because the upstream accepts work after an interruption.
    pub fn restart(&mut self) {
        let fresh = Self::new(self.ceiling);
        let level = RESTART_LEVEL.min(f64::from(self.ceiling));
        let threshold = self.level.max(level);
        *self = Self { running: self.running, baseline: self.baseline, level, threshold, ..fresh };
        self.recent = self.baseline.unwrap_or_default();
    }

    /// Number of attempts in flight.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// The current limit, between 1 and the ceiling.
    pub fn level(&self) -> u32 {
        (self.level as u32).clamp(1, self.ceiling)
    }

    /// Whether one more training request fits.
    pub fn admits_training(&self) -> bool {
        // Half of the level is always available: without answers to training requests, the
        // end of a slow period would go unnoticed.
        let limit = if self.may_increase() { self.level() } else { self.level().div_ceil(2) };
        self.running < limit
    }

    /// Whether one more live request fits.
    pub fn admits_live(&self) -> bool {
        let limit = (f64::from(self.level()) * LIVE_EXCESS_FACTOR).ceil() as u32;
        self.running < limit.min(self.ceiling)
    }

    /// Counts an attempt that starts.
    pub fn start(&mut self) {
        self.running += 1;
    }

    /// Counts an attempt that ended.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Adapts the limit to an answer with this latency, in seconds per unit of cost. Has to
    /// be called before [`ConcurrencyLimit::end`].
    pub fn answered(&mut self, latency: f64) {
        let baseline = *self.baseline.get_or_insert(latency);
        if self.recent == 0.0 {
            self.recent = latency;
        }
        self.recent += RECENT_WEIGHT * (latency - self.recent);
        let weight =
            if self.recent < baseline { BASELINE_FALL_WEIGHT } else { BASELINE_RISE_WEIGHT };
        self.baseline = Some(baseline + weight * (self.recent - baseline));
        self.round = self.round.saturating_sub(1);
        if self.recent > DECREASE_LATENCY_RATIO * baseline {
            let factor = DECREASE_LATENCY_RATIO * baseline / self.recent;
            self.decrease(factor.clamp(MAX_DECREASE_FACTOR, MIN_DECREASE_FACTOR));
        } else if self.may_increase() && self.running >= self.level() {
            self.increase();
        }
    }

    /// Lowers the limit because the upstream refused, or an attempt was given up as too slow.
    pub fn refused(&mut self) {
        self.round = self.round.saturating_sub(1);
        self.decrease(MIN_DECREASE_FACTOR);
    }

    /// Whether the recent latency is close enough to the baseline for the limit to rise.
    fn may_increase(&self) -> bool {
        self.baseline.is_none_or(|baseline| self.recent <= INCREASE_LATENCY_RATIO * baseline)
    }

    fn increase(&mut self) {
        let step = if self.level < self.threshold { 1.0 } else { 1.0 / self.level };
        self.level = (self.level + step).min(f64::from(self.ceiling));
    }

    /// Multiplies the limit by `factor`, at most once a round.
    fn decrease(&mut self, factor: f64) {
        if self.round > 0 {
            return;
        }
        self.round = self.level();
        self.threshold = (self.level * factor).max(1.0);
        self.level = self.threshold;
    }
}
