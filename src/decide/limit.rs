//! The concurrency limit of one upstream, which finds its own level.
//!
//! Load pattern: an upstream gets slow, or is smaller than the bundle says. With a
//! fixed limit, requests pile up inside it, where they can neither be refused nor moved,
//! and every answer comes late. The level rises while answers come at the usual pace
//! and falls when they take twice as long, or when the upstream refuses.
//!
//! The rule is that of TCP congestion avoidance with a delay signal (Brakmo and
//! Peterson, "TCP Vegas", 1995): doubling up to a threshold, then one more each round,
//! and a multiplicative decrease at most once a round, so that one slow spell counts once.

use serde::{Deserialize, Serialize};

/// Level of an upstream that has come back (slow start; TCP's initial window is of this
/// order, RFC 6928).
const START: f64 = 4.0;
/// A new one starts at this part of the ceiling, if that is more.
const NEW: f64 = 0.25;
/// A new one doubles only up to so many times its first level: answers take seconds, and
/// the signs of too much come as late.
const FAST: f64 = 1.5;
/// Answers may take so many times the usual pace: sharing a batch up to twofold is
/// what continuous batching is for, more is a queue.
const TOLERANCE: f64 = 2.0;
/// Past so many times the usual pace, the level rises no more and training starts nothing:
/// past the point where a batch is full it would only slow the live requests in it.
const EASY: f64 = 1.25;
/// What a decrease leaves: in proportion to the excess, from here up to [`MOST`].
const LEAST: f64 = 0.5;
/// The smallest decrease.
const MOST: f64 = 0.9;
/// Weight of one answer in the recent pace.
const GAIN: f64 = 0.05;
/// How fast the usual pace follows a recent one that is lower.
const FALL: f64 = 0.03;
/// How fast it follows one that is higher: about 1,000 answers for a lasting change.
const RISE: f64 = 0.001;
/// Live requests may go so far above the level: they need not wait for
/// long rollouts to end.
const LIVE: f64 = 1.25;

/// How many attempts may be in flight at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Limit {
    ceiling: u32,
    running: u32,
    level: f64,
    threshold: f64,
    usual: Option<f64>,
    recent: f64,
    round: u32,
}

impl Limit {
    /// A limit with the ceiling that the bundle sets.
    pub fn new(ceiling: u32) -> Self {
        let ceiling = ceiling.max(1);
        let top = f64::from(ceiling);
        let level = START.max(NEW * top).min(top);
        Self {
            ceiling,
            running: 0,
            level,
            threshold: (FAST * level).min(top),
            usual: None,
            recent: 0.0,
            round: 0,
        }
    }

    /// Changes the ceiling; what is in flight stays.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        self.ceiling = ceiling.max(1);
        self.level = self.level.min(f64::from(self.ceiling));
    }

    /// The upstream has come back: starts low again.
    pub fn restart(&mut self) {
        let fresh = Self::new(self.ceiling);
        let level = START.min(f64::from(self.ceiling));
        let threshold = self.level.max(level);
        *self = Self { running: self.running, usual: self.usual, level, threshold, ..fresh };
        self.recent = self.usual.unwrap_or_default();
    }

    /// Attempts in flight.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Attempts that it takes now, between 1 and the ceiling.
    pub fn level(&self) -> u32 {
        (self.level as u32).clamp(1, self.ceiling)
    }

    /// Whether one more training request fits.
    pub fn open(&self) -> bool {
        // Half of the level is always there, or a slow spell that nobody sees end would last.
        let most = if self.easy() { self.level() } else { self.level().div_ceil(2) };
        self.running < most
    }

    /// Whether one more live request fits.
    pub fn open_live(&self) -> bool {
        let most = (f64::from(self.level()) * LIVE).ceil() as u32;
        self.running < most.min(self.ceiling)
    }

    /// Counts one attempt in.
    pub fn start(&mut self) {
        self.running += 1;
    }

    /// Counts one attempt out.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// An answer came at this pace, in seconds per unit of cost. Call before [`Limit::end`].
    pub fn answered(&mut self, pace: f64) {
        let usual = *self.usual.get_or_insert(pace);
        if self.recent == 0.0 {
            self.recent = pace;
        }
        self.recent += GAIN * (pace - self.recent);
        let follow = if self.recent < usual { FALL } else { RISE };
        self.usual = Some(usual + follow * (self.recent - usual));
        self.round = self.round.saturating_sub(1);
        if self.recent > TOLERANCE * usual {
            self.decrease((TOLERANCE * usual / self.recent).clamp(LEAST, MOST));
        } else if self.easy() && self.running >= self.level() {
            self.increase();
        }
    }

    /// The upstream refused, or an attempt at it was given up as too slow.
    pub fn refused(&mut self) {
        self.round = self.round.saturating_sub(1);
        self.decrease(MOST);
    }

    fn easy(&self) -> bool {
        self.usual.is_none_or(|usual| self.recent <= EASY * usual)
    }

    fn increase(&mut self) {
        let step = if self.level < self.threshold { 1.0 } else { 1.0 / self.level };
        self.level = (self.level + step).min(f64::from(self.ceiling));
    }

    fn decrease(&mut self, keep: f64) {
        if self.round > 0 {
            return;
        }
        self.round = self.level();
        self.threshold = (self.level * keep).max(1.0);
        self.level = self.threshold;
    }
}
