//! A node's share of the weight store's rate.

use crate::Moment;

/// A token bucket with one token for each load of weights.
///
/// Without it, all owners order at once and the store refuses most loads; the
/// engines ask again and again while they serve nobody.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct StoreShare {
    rate: f64,
    tokens: f64,
    filled: Moment,
}

impl Default for StoreShare {
    fn default() -> Self {
        Self { rate: 0.0, tokens: 1.0, filled: Moment::ZERO }
    }
}

impl StoreShare {
    /// The share of a node that owns `owned` of `total` engines, of a store that
    /// hands out `rate` versions a second.
    pub fn set(&mut self, rate: u32, owned: usize, total: usize, now: Moment) {
        self.fill(now);
        self.rate = f64::from(rate) * owned as f64 / total.max(1) as f64;
        self.tokens = self.tokens.min(self.ceiling());
    }

    /// Takes one load, if the share has one.
    pub fn take(&mut self, now: Moment) -> bool {
        self.fill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn fill(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.ceiling());
        self.filled = now;
    }

    /// A second's worth, and always one: a small share must be able to begin.
    fn ceiling(&self) -> f64 {
        self.rate.max(1.0)
    }
}
