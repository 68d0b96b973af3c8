//! Plans the number of replicas to order.
//!
//! Load pattern: the samples of all trainers want more slots than there are, each step waits
//! for its last sample, and its trainer falls further behind with every step. There are enough
//! replicas once they have the mean number of slots that running and waiting samples want: more
//! replicas would be idle between two steps. Ordered replicas are released only after they have
//! been unnecessary for a long time, as they take seconds to start.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Autoscale;
use crate::{Moment, Name};

/// A need that exceeds the current number of replicas by less than this fraction orders
/// nothing: the pauses between steps absorb it.
const GROWTH_TOLERANCE: f64 = 0.1;
/// How long fewer replicas must have been enough before some are released.
const SHRINK_DELAY: Duration = Duration::from_secs(20);
/// How long nothing is ordered in an availability zone that had no more replicas to give.
const ZONE_RETRY_DELAY: Duration = Duration::from_secs(3);

/// Number of replicas by availability zone.
pub type ReplicaCounts = BTreeMap<Name, u32>;

/// The planned number of replicas of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Planner {
    /// The replicas before anything was ordered: the size that the operators set.
    base: ReplicaCounts,
    /// The replicas ordered in addition.
    extra: ReplicaCounts,
    /// Since when fewer replicas would be enough.
    #[serde(skip)]
    surplus_since: Option<Moment>,
    /// Until when nothing is ordered in an availability zone that refused an order.
    #[serde(skip)]
    refused_until: BTreeMap<Name, Moment>,
}

impl Planner {
    /// A planner of a service with these replicas, for which nothing was ordered so far.
    pub fn new(base: ReplicaCounts) -> Self {
        Self { base, ..Self::default() }
    }

    /// Returns the replicas before anything was ordered.
    pub fn base(&self) -> &ReplicaCounts {
        &self.base
    }

    /// Returns the replicas ordered in addition to the base.
    pub fn extra(&self) -> &ReplicaCounts {
        &self.extra
    }

    /// Records that an availability zone has no more than `available` replicas to give beyond
    /// the base for now.
    pub fn zone_refused(&mut self, zone: &Name, available: u32, now: Moment) {
        self.refused_until.insert(zone.clone(), now + ZONE_RETRY_DELAY);
        if let Some(extra) = self.extra.get_mut(zone) {
            *extra = available.min(*extra);
        }
    }

    /// Plans for `wanted` slots, at replicas of `slots` slots each. Returns true if the plan
    /// has changed.
    pub fn update(&mut self, limits: &Autoscale, wanted: f64, slots: u32, now: Moment) -> bool {
        let need = wanted / f64::from(slots.max(1));
        let base: u32 = self.base.values().sum();
        let extra: u32 = self.extra.values().sum();
        let needed = (need.ceil() as u32).saturating_sub(base);
        if needed >= extra {
            self.surplus_since = None;
        }
        let before = self.extra.clone();
        if need > f64::from(base + extra) * (1.0 + GROWTH_TOLERANCE) {
            self.grow(limits, needed - extra, now);
        } else if needed < extra {
            let since = *self.surplus_since.get_or_insert(now);
            if now.saturating_sub(since) >= SHRINK_DELAY {
                self.surplus_since = None;
                self.shrink(limits, extra - needed);
            }
        }
        self.extra != before
    }

    /// Adds replicas one by one where the next one costs least; a zone's price counts once for
    /// each extra replica there, so the replicas are spread by price.
    fn grow(&mut self, limits: &Autoscale, count: u32, now: Moment) {
        self.refused_until.retain(|_, until| *until > now);
        for _ in 0..count {
            let base = |zone: &Name| self.base.get(zone).copied().unwrap_or(0);
            let open = limits.prices.iter().filter(|(zone, _)| {
                let count = base(zone) + self.extra_in(zone);
                !self.refused_until.contains_key(*zone) && count < limits.max
            });
            let cost = |(zone, price): &(&Name, &f64)| f64::from(self.extra_in(zone) + 1) * **price;
            let Some((zone, _)) = open.min_by(|a, b| cost(a).total_cmp(&cost(b))) else { return };
            *self.extra.entry(zone.clone()).or_default() += 1;
        }
    }

    /// Releases replicas one by one where the last one costs most.
    fn shrink(&mut self, limits: &Autoscale, count: u32) {
        let price = |zone: &Name| limits.prices.get(zone).copied().unwrap_or(f64::MAX);
        for _ in 0..count {
            let open = self.extra.iter_mut().filter(|(_, extra)| **extra > 0);
            let costliest = open.max_by(|a, b| {
                let cost = |zone: &Name, extra: u32| f64::from(extra) * price(zone);
                cost(a.0, *a.1).total_cmp(&cost(b.0, *b.1))
            });
            let Some((_, extra)) = costliest else { return };
            *extra -= 1;
        }
    }

    fn extra_in(&self, zone: &str) -> u32 {
        self.extra.get(zone).copied().unwrap_or(0)
    }
}
