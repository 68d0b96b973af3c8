//! The crashes of replicas that a node has seen lately, whatever ran there.

use std::collections::VecDeque;
use std::time::Duration;

use super::coincidence::RATE_WINDOW;
use crate::{Moment, Name};

/// How long a crash is remembered: as long as a suspect.
const RETENTION: Duration = Duration::from_secs(600);
/// Bound on the crashes that are remembered. A loss of hundreds of replicas at once fits in.
const MAX_CRASHES: usize = 1_024;
/// Requests that break off at the same replica within this time saw the same crash.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);

#[derive(Debug, Clone)]
struct ReplicaCrash {
    service: Name,
    upstream: Name,
    at: Moment,
}

/// The crashes of replicas, the latest last.
#[derive(Debug, Clone, Default)]
pub struct RecentCrashes {
    crashes: VecDeque<ReplicaCrash>,
}

impl RecentCrashes {
    /// Records that a replica of a service crashed. Returns false if the crash is known.
    pub fn record(&mut self, service: &Name, upstream: &Name, at: Moment) -> bool {
        let known =
            self.crashes.iter().rev().any(|crash| {
                crash.upstream == *upstream && crash.at.abs_diff(at) < SAME_CRASH_WINDOW
            });
        if known {
            return false;
        }
        if self.crashes.len() >= MAX_CRASHES {
            self.crashes.pop_front();
        }
        let (service, upstream) = (service.clone(), upstream.clone());
        self.crashes.push_back(ReplicaCrash { service, upstream, at });
        true
    }

    /// Whether a replica has crashed since a time.
    pub fn has_crashed(&self, upstream: &Name, since: Moment) -> bool {
        self.crashes.iter().any(|crash| crash.upstream == *upstream && crash.at >= since)
    }

    /// Returns how many crashes of a service there were around a time, without those at the
    /// upstreams that `is_own` selects.
    pub(super) fn count_others(
        &self,
        service: &Name,
        at: Moment,
        is_own: impl Fn(&Name) -> bool,
    ) -> usize {
        let near = self
            .crashes
            .iter()
            .filter(|crash| crash.service == *service && crash.at.abs_diff(at) <= RATE_WINDOW);
        near.filter(|crash| !is_own(&crash.upstream)).count()
    }

    /// Removes old crashes.
    pub fn tick(&mut self, now: Moment) {
        self.crashes.retain(|crash| now.saturating_sub(crash.at) < RETENTION);
    }
}
