//! When a partition commits.
//!
//! Load pattern: claims come one at a time all day and in bursts when a batch
//! job starts. One platform write each would pass the platform's several hundred
//! writes a second; waiting long would delay each call. So: the first claim after
//! a quiet time waits [`GATHER`] only, and under load all that came within
//! [`SPACING`] share one write. When the platform fails, asks are refused at once
//! and it is tried again at growing, spread intervals.

use std::time::Duration;

use rand::Rng;

use crate::Moment;

/// How long the first claim waits for company: about one network round trip, in
/// which the claims of one burst arrive.
const GATHER: Duration = Duration::from_millis(3);
/// Least time between two commits of one partition: 16 partitions make at most
/// 200 writes a second, half of what the platform takes.
pub const SPACING: Duration = Duration::from_millis(80);
/// How long an ask may wait in all.
pub const WAIT: Duration = Duration::from_secs(1);
/// How long ends wait for a claim to share the write with.
const LAZY: Duration = Duration::from_secs(1);
/// First pause after a failure.
const PAUSE: Duration = Duration::from_millis(250);
/// Longest pause: an outage that ends is noticed within so long.
const LONGEST: Duration = Duration::from_secs(4);

/// The timing of one partition's commits.
#[derive(Debug, Clone, Default)]
pub struct Pace {
    last: Option<Moment>,
    claims: Option<Moment>,
    ends: Option<Moment>,
    failures: u32,
    blocked: Option<Moment>,
}

impl Pace {
    /// A claim waits.
    pub fn claim(&mut self, now: Moment) {
        self.claims.get_or_insert(now + GATHER);
    }

    /// An end waits.
    pub fn end(&mut self, now: Moment) {
        self.ends.get_or_insert(now + LAZY);
    }

    /// What waits is to be committed now.
    pub fn hurry(&mut self, now: Moment) {
        if let Some(ends) = &mut self.ends {
            *ends = now.min(*ends);
        }
    }

    /// When the next commit is due, if anything waits.
    pub fn due(&self) -> Option<Moment> {
        let wanted = self.claims.into_iter().chain(self.ends).min()?;
        let spaced = self.last.map_or(Moment::ZERO, |l| l + SPACING);
        Some(wanted.max(spaced).max(self.blocked.unwrap_or_default()))
    }

    /// A commit starts with all that waits.
    pub fn started(&mut self, now: Moment) {
        self.last = Some(now);
        self.idle();
    }

    /// Nothing waits any more.
    pub fn idle(&mut self) {
        self.claims = None;
        self.ends = None;
    }

    /// The platform answered.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.blocked = None;
    }

    /// The platform did not do it. Returns when to try again.
    pub fn failed(&mut self, now: Moment, rng: &mut impl Rng) -> Moment {
        let pause = (PAUSE * 2_u32.saturating_pow(self.failures.min(8))).min(LONGEST);
        self.failures += 1;
        let until = now + pause.mul_f64(rng.random_range(0.75..1.25));
        self.blocked = Some(until);
        until
    }

    /// How long asks are refused from now on, if they are.
    pub fn blocked(&self, now: Moment) -> Option<Duration> {
        self.blocked.filter(|until| *until > now).map(|until| until - now)
    }
}
