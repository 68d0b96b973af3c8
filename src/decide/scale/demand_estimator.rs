//! Estimates how many slots the samples of a service need, averaged over some seconds.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::{Moment, Name};

/// The time over which demand is averaged: two steps of the usual trainers. A step asks for all
/// its slots at once, so a shorter time would show only its beginning.
const AVERAGING_WINDOW: Duration = Duration::from_secs(8);

/// After a gap this long between two reports of a node, its next total only sets a new baseline:
/// the time in between is left out of the average.
const MAX_REPORT_GAP: Duration = Duration::from_secs(3);

/// The demand reported by the nodes that run jobs.
///
/// Each node reports, summed over its samples, the time since they first wanted a slot, in slot
/// milliseconds. The total only grows, so the result does not depend on when it is requested.
#[derive(Debug, Default)]
pub struct DemandEstimator {
    /// The last total of each node and service, and when it was reported.
    totals: HashMap<(Name, Name), (u64, Moment)>,
    services: BTreeMap<Name, VecDeque<Increase>>,
}

/// The increase of a node's total between two of its reports.
#[derive(Debug, Clone, Copy)]
struct Increase {
    at: Moment,
    slot_ms: u64,
}

impl DemandEstimator {
    /// Records a node's total for a service, in slot milliseconds. The first total of a node
    /// only sets its baseline.
    pub fn record(&mut self, node: &Name, service: &Name, total: u64, now: Moment) {
        let known = self.totals.insert((node.clone(), service.clone()), (total, now));
        let known = known.filter(|(_, at)| now.saturating_sub(*at) <= MAX_REPORT_GAP);
        let slot_ms = known.map_or(0, |(known, _)| total.saturating_sub(known));
        let increases = self.services.entry(service.clone()).or_default();
        increases.push_back(Increase { at: now, slot_ms });
    }

    /// Returns the mean number of slots wanted; none until the reports of a service cover half
    /// of the averaging window.
    pub fn mean_slots(&mut self, service: &str, now: Moment) -> Option<f64> {
        let increases = self.services.get_mut(service)?;
        let mut covered = false;
        while increases.front().is_some_and(|i| now.saturating_sub(i.at) > AVERAGING_WINDOW) {
            increases.pop_front();
            covered = true;
        }
        let since = now.saturating_sub(increases.front()?.at);
        if !covered && since < AVERAGING_WINDOW / 2 {
            return None;
        }
        let slot_ms: u64 = increases.iter().map(|i| i.slot_ms).sum();
        Some(slot_ms as f64 / since.max(AVERAGING_WINDOW / 2).as_millis() as f64)
    }
}
