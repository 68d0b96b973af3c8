//! The retry budget of one service.
//!
//! Load pattern: upstreams fail together, and every failed attempt asks for another. Without
//! a budget, retries multiply the load just when capacity is missing.

use serde::{Deserialize, Serialize};

/// Tokens that each new request adds: retries add at most a tenth of the load.
const TOKENS_PER_REQUEST: f64 = 0.1;
/// Bound on the saved tokens: about what one upstream has in flight when it dies.
const MAX_TOKENS: f64 = 100.0;

/// A token bucket that new requests fill and retries drain.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// Adds the tokens of a new request.
    pub fn add_request(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Takes the token of one retry. Returns false if there is none.
    pub fn take_retry(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
