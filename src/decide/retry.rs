//! The retry budget of one service.
//!
//! Load pattern: upstreams fail together, and every failed attempt asks for another.
//! Without a budget, retries multiply the load just when capacity is missing.

use serde::{Deserialize, Serialize};

/// Tokens that one fresh request adds: retries add at most a tenth of the load.
const EARN: f64 = 0.1;
/// Tokens that may be saved up: about what one upstream has in flight when it dies.
const CEILING: f64 = 100.0;

/// A token bucket that fresh requests fill and retries drain.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct Budget {
    tokens: f64,
}

impl Default for Budget {
    fn default() -> Self {
        Self { tokens: CEILING }
    }
}

impl Budget {
    /// Counts a fresh request.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + EARN).min(CEILING);
    }

    /// Takes one retry, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
