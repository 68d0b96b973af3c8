//! One upstream as dispatch sees it.

use std::time::Duration;

use super::UpstreamView;
use crate::Moment;
use crate::decide::{Failures, Limit, OtherLoad, Pace, per_cost};

/// Its state.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) view: UpstreamView,
    pub(super) far: bool,
    pub(super) limit: Limit,
    pub(super) pace: Pace,
    pub(super) others: OtherLoad,
    pub(super) failures: Failures,
    /// Left out until then.
    pub(super) out: Option<Moment>,
}

impl Upstream {
    pub(super) fn new(view: UpstreamView, far: bool, ceiling: u32) -> Self {
        Self {
            view,
            far,
            limit: Limit::new(ceiling),
            pace: Pace::default(),
            others: OtherLoad::default(),
            failures: Failures::default(),
            out: None,
        }
    }

    /// Whether it is in the running at all.
    pub(super) fn usable(&self) -> bool {
        self.view.open && self.out.is_none()
    }

    /// `cost` was expected and `done` came of it. Expectations are made with the first;
    /// how fast the upstream is shows in the second, since lengths differ by more than a
    /// slow upstream does.
    pub(super) fn answered(&mut self, cost: u32, done: u32, took: Duration, now: Moment) {
        self.pace.record(cost, took, now);
        self.limit.answered(per_cost(done, took));
        self.failures.answered();
        self.limit.end();
    }

    /// Attempts in flight, those of others with them.
    pub(super) fn load(&self, now: Moment) -> f64 {
        f64::from(self.limit.running()) + self.others.decayed(now)
    }
}
