//! The state of one upstream in dispatch.

use std::time::Duration;

use super::UpstreamView;
use crate::Moment;
use crate::decide::{
    ConcurrencyLimit, FailureTracker, LatencyEstimate, OtherLoad, seconds_per_cost,
};

/// The state of one upstream.
#[derive(Debug)]
pub(super) struct Upstream {
    pub(super) view: UpstreamView,
    /// Whether it is in another availability zone than this node.
    pub(super) other_zone: bool,
    pub(super) limit: ConcurrencyLimit,
    pub(super) latency: LatencyEstimate,
    /// Load from other nodes.
    pub(super) others: OtherLoad,
    pub(super) failures: FailureTracker,
    /// When its ejection ends, if it is ejected.
    pub(super) ejected_until: Option<Moment>,
}

impl Upstream {
    pub(super) fn new(view: UpstreamView, other_zone: bool, ceiling: u32) -> Self {
        Self {
            view,
            other_zone,
            limit: ConcurrencyLimit::new(ceiling),
            latency: LatencyEstimate::default(),
            others: OtherLoad::default(),
            failures: FailureTracker::default(),
            ejected_until: None,
        }
    }

    /// Whether it may get new work, whatever is in flight.
    pub(super) fn usable(&self) -> bool {
        self.view.accepting && self.ejected_until.is_none()
    }

    /// Records an answer. The latency estimate uses the expected cost, which later
    /// expectations are based on; the limit uses the actual cost, which shows how fast the
    /// upstream is, since lengths differ by more than a slow upstream does.
    pub(super) fn answered(
        &mut self,
        expected_cost: u32,
        actual_cost: u32,
        took: Duration,
        now: Moment,
    ) {
        self.latency.record(expected_cost, took, now);
        self.limit.answered(seconds_per_cost(actual_cost, took));
        self.failures.answered();
        self.limit.end();
    }

    /// Attempts in flight, including those of other nodes.
    pub(super) fn load(&self, now: Moment) -> f64 {
        f64::from(self.limit.running()) + self.others.decayed(now)
    }
}
