//! One upstream as dispatch sees it.

use std::time::Duration;

use super::UpstreamView;
use crate::Moment;
use crate::decide::{Failures, Limit, Others, Pace, per_cost};

/// An upstream that answers nothing for so many times the usual time is taken to be
/// frozen. Connections to it may still open.
const FROZEN: f64 = 8.0;
/// The shortest silence that counts as frozen.
const SILENCE: Duration = Duration::from_millis(500);

/// Its state.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) view: UpstreamView,
    pub(super) far: bool,
    pub(super) limit: Limit,
    pub(super) pace: Pace,
    pub(super) others: Others,
    pub(super) failures: Failures,
    /// Left out until then.
    pub(super) out: Option<Moment>,
    /// When it answered last, or got work after being idle.
    heard: Moment,
    /// Cost of the last attempt that was sent.
    cost: u32,
}

impl Upstream {
    pub(super) fn new(view: UpstreamView, far: bool, ceiling: u32) -> Self {
        Self {
            view,
            far,
            limit: Limit::new(ceiling),
            pace: Pace::default(),
            others: Others::default(),
            failures: Failures::default(),
            out: None,
            heard: Moment::ZERO,
            cost: 1,
        }
    }

    /// Whether it is in the running at all.
    pub(super) fn usable(&self) -> bool {
        self.view.open && self.out.is_none()
    }

    pub(super) fn start(&mut self, cost: u32, now: Moment) {
        if self.limit.running() == 0 {
            self.heard = now;
        }
        self.cost = self.cost.max(cost);
        self.limit.start();
    }

    pub(super) fn answered(&mut self, cost: u32, took: Duration, now: Moment) {
        self.heard = now;
        self.cost = cost;
        self.pace.record(cost, took, now);
        self.limit.answered(per_cost(cost, took));
        self.failures.answered();
        self.limit.end();
    }

    /// Attempts in flight, those of others with them.
    pub(super) fn load(&self, now: Moment) -> f64 {
        f64::from(self.limit.running()) + self.others.faded(now)
    }

    /// Whether it has work and has been silent for far too long.
    pub(super) fn frozen(&self, typical: f64, now: Moment) -> bool {
        if self.limit.running() == 0 {
            return false;
        }
        let usual = self.pace.mean().unwrap_or(typical).max(typical) * f64::from(self.cost);
        let silent = now.saturating_sub(self.heard);
        silent > SILENCE && silent.as_secs_f64() > FROZEN * usual && typical > 0.0
    }
}
