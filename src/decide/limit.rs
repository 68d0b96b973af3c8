//! The concurrency limit of one upstream.

use serde::{Deserialize, Serialize};

/// How many attempts may be in flight at one upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit {
    ceiling: u32,
    running: u32,
}

impl Limit {
    /// A limit with the ceiling that the bundle sets.
    pub fn new(ceiling: u32) -> Self {
        Self { ceiling, running: 0 }
    }

    /// Changes the ceiling; what is in flight stays.
    pub fn set_ceiling(&mut self, ceiling: u32) {
        self.ceiling = ceiling;
    }

    /// Attempts in flight.
    pub fn running(&self) -> u32 {
        self.running
    }

    /// Whether one more fits.
    pub fn open(&self) -> bool {
        self.running < self.ceiling
    }

    /// Counts one attempt in.
    pub fn start(&mut self) {
        self.running += 1;
    }

    /// Counts one attempt out.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }
}
