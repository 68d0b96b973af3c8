//! Upstreams that fail are left out for a while.
//!
//! Load pattern: an upstream that fails at once always looks idle, so that routing by
//! load sends it everything. It is left out after a few failures in a row, for a
//! time that doubles. A cause that all upstreams share (a bad request, a network fault of
//! this node) would leave none: at most a third is left out at a time. Three in a
//! row, a third and the doubling are in the range of Envoy's defaults for outlier detection
//! (5 in a row, 10%, 30 s times the number of ejections), faster as nodes here see fewer answers each.

use std::time::Duration;

use crate::Moment;

/// Failures in a row that leave an upstream out.
const FAILURES: u32 = 3;
/// The first time out.
const FIRST: Duration = Duration::from_secs(1);
/// The longest time out.
const LONGEST: Duration = Duration::from_secs(30);
/// One upstream in so many may be out.
const PART: usize = 3;

/// How many of `total` upstreams may be left out at the same time.
pub fn most_out(total: usize) -> usize {
    if total < 2 { 0 } else { (total / PART).max(1) }
}

/// The failures of one upstream.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Failures {
    row: u32,
    times: u32,
}

impl Failures {
    /// An attempt brought a whole answer.
    pub fn answered(&mut self) {
        self.row = 0;
        self.times = self.times.saturating_sub(1);
    }

    /// An attempt failed.
    pub fn failed(&mut self) {
        self.row += 1;
    }

    /// A connection could not be opened: that needs no second sign.
    pub fn unreachable(&mut self) {
        self.row = self.row.max(FAILURES);
    }

    /// Whether it has failed often enough to be left out.
    pub fn over(&self) -> bool {
        self.row >= FAILURES
    }

    /// Leaves it out: until when.
    pub fn eject(&mut self, now: Moment) -> Moment {
        // One more failure after the return is enough to go out again.
        self.row = FAILURES - 1;
        let time = FIRST * 2_u32.saturating_pow(self.times.min(10));
        self.times += 1;
        now + time.min(LONGEST)
    }
}
