//! A node's share of the weight store's rate.

use crate::Moment;

/// A token bucket with one token for each load of weights.
///
/// Without it, all owners would give their orders at once and the store would refuse most
/// loads; the engines would then retry while they serve nobody.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct WeightLoadBudget {
    /// Tokens per second.
    rate: f64,
    tokens: f64,
    refilled: Moment,
}

impl Default for WeightLoadBudget {
    fn default() -> Self {
        Self { rate: 0.0, tokens: 1.0, refilled: Moment::ZERO }
    }
}

impl WeightLoadBudget {
    /// Sets the share of a node that owns `owned` of `total` engines, of a store that hands
    /// out `rate` versions a second.
    pub fn set(&mut self, rate: u32, owned: usize, total: usize, now: Moment) {
        self.refill(now);
        self.rate = f64::from(rate) * owned as f64 / total.max(1) as f64;
        self.tokens = self.tokens.min(self.max_tokens());
    }

    /// Takes the token of one load. Returns false if there is none.
    pub fn take(&mut self, now: Moment) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: Moment) {
        let passed = now.saturating_sub(self.refilled).as_secs_f64();
        self.tokens = (self.tokens + passed * self.rate).min(self.max_tokens());
        self.refilled = now;
    }

    /// The tokens of one second, and at least one: a small share must be able to begin.
    fn max_tokens(&self) -> f64 {
        self.rate.max(1.0)
    }
}
