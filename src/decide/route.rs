//! Which upstream gets an attempt: the parts of the choice.
//!
//! Load pattern: many nodes send to the same upstreams. The least loaded by a lagging
//! report draws all nodes at once; round robin feeds a slow upstream as much as a fast one.
//! Of two random upstreams the one that is expected to answer sooner gets the
//! attempt (Mitzenmacher, "The Power of Two Choices", 2001).

use std::time::Duration;

use rand::Rng;

use crate::Moment;

/// Extra time of an attempt in another availability zone: there and back at the 1.5 ms
/// one way that the deployments state. It is a time, so it gives way under load.
const FAR: f64 = 0.003;
/// A report of others' load counts half after so long: reports come several times a second
/// and a request lives for seconds.
const HALF: Duration = Duration::from_secs(1);
/// Load that an upstream with a cached prefix may have over the mean of all:
/// "Consistent Hashing with Bounded Loads" (Mirrokni and others, 2016) with c = 1.25.
const BOUND: f64 = 1.25;

/// What others have in flight at an upstream, by its last report.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Others {
    count: u32,
    at: Moment,
}

impl Others {
    /// A report made at `at`, with this node's own part taken out.
    pub fn new(count: u32, at: Moment) -> Self {
        Self { count, at }
    }

    /// When the report was made.
    pub fn at(&self) -> Moment {
        self.at
    }

    /// The count, faded by its age.
    pub fn faded(&self, now: Moment) -> f64 {
        if self.count == 0 {
            return 0.0;
        }
        let age = now.saturating_sub(self.at).as_secs_f64();
        f64::from(self.count) * 0.5_f64.powf(age / HALF.as_secs_f64())
    }
}

/// Expected seconds until an answer, up to a factor that all candidates share.
pub fn expected(load: f64, pace: f64, cost: u32, far: bool) -> f64 {
    let far = if far { FAR } else { 0.0 };
    (load + 1.0) * pace * f64::from(cost.max(1)) + far
}

/// Whether an upstream with a cached prefix may be preferred at this load.
pub fn bounded(load: f64, mean: f64) -> bool {
    load <= BOUND * mean + 1.0
}

/// Two different indices below `len`, or the same twice if there is only one.
pub fn two<R: Rng>(len: usize, rng: &mut R) -> Option<(usize, usize)> {
    match len {
        0 => None,
        1 => Some((0, 0)),
        _ => {
            let first = rng.random_range(0..len);
            let step = rng.random_range(1..len);
            Some((first, (first + step) % len))
        }
    }
}
