//! The number of replicas to order.
//!
//! Load pattern: the samples of all trainers want more places than there are, each step waits
//! for its last sample, and its trainer falls further behind with every step. There are enough
//! replicas once they have the places that are wanted in the mean, by those who wait too: more
//! than these stay idle between two steps. Replicas that were ordered are given up only after a
//! long time without need, as they take seconds to start.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::Autoscale;
use crate::{Moment, Name};

/// A need that exceeds what there is by less than this part of it is met by the steps' own
/// pauses.
const SLACK: f64 = 0.1;
/// How long fewer replicas must have been enough before some are given up.
const IDLE: Duration = Duration::from_secs(20);
/// How long nothing is ordered in an availability zone that has none to give.
const DRY: Duration = Duration::from_secs(3);

/// Replicas by availability zone.
pub type Plan = BTreeMap<Name, u32>;

/// The plan of one service.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Planner {
    /// What there was before anything was ordered: the operators' own size.
    base: Plan,
    /// What is ordered beyond it.
    extra: Plan,
    /// Since when fewer would be enough.
    #[serde(skip)]
    idle: Option<Moment>,
    /// Until when an availability zone has none to give.
    #[serde(skip)]
    dry: BTreeMap<Name, Moment>,
}

impl Planner {
    /// The planner of a service with these replicas, for which nothing was ordered so far.
    pub fn new(base: Plan) -> Self {
        Self { base, ..Self::default() }
    }

    /// What there was before anything was ordered.
    pub fn base(&self) -> &Plan {
        &self.base
    }

    /// What is ordered beyond it.
    pub fn extra(&self) -> &Plan {
        &self.extra
    }

    /// An availability zone has no more than these to give beyond the base for now.
    pub fn refused(&mut self, zone: &Name, there: u32, now: Moment) {
        self.dry.insert(zone.clone(), now + DRY);
        if let Some(extra) = self.extra.get_mut(zone) {
            *extra = there.min(*extra);
        }
    }

    /// Plans for so many wanted places, at replicas of `slots` each. True if the plan is new.
    pub fn update(&mut self, limits: &Autoscale, wanted: f64, slots: u32, now: Moment) -> bool {
        let need = wanted / f64::from(slots.max(1));
        let base: u32 = self.base.values().sum();
        let extra: u32 = self.extra.values().sum();
        let needed = (need.ceil() as u32).saturating_sub(base);
        if needed >= extra {
            self.idle = None;
        }
        let before = self.extra.clone();
        if need > f64::from(base + extra) * (1.0 + SLACK) {
            self.grow(limits, needed - extra, now);
        } else if needed < extra {
            let since = *self.idle.get_or_insert(now);
            if now.saturating_sub(since) >= IDLE {
                self.idle = None;
                self.shrink(limits, extra - needed);
            }
        }
        self.extra != before
    }

    /// Adds replicas one by one where the next is cheapest, spread by price.
    fn grow(&mut self, limits: &Autoscale, count: u32, now: Moment) {
        self.dry.retain(|_, until| *until > now);
        for _ in 0..count {
            let base = |zone: &Name| self.base.get(zone).copied().unwrap_or(0);
            let open = limits.prices.iter().filter(|(zone, _)| {
                let count = base(zone) + self.extra_in(zone);
                !self.dry.contains_key(*zone) && count < limits.most
            });
            let cost = |(zone, price): &(&Name, &f64)| f64::from(self.extra_in(zone) + 1) * **price;
            let Some((zone, _)) = open.min_by(|a, b| cost(a).total_cmp(&cost(b))) else { return };
            *self.extra.entry(zone.clone()).or_default() += 1;
        }
    }

    /// Gives up replicas one by one where the last is dearest.
    fn shrink(&mut self, limits: &Autoscale, count: u32) {
        let price = |zone: &Name| limits.prices.get(zone).copied().unwrap_or(f64::MAX);
        for _ in 0..count {
            let open = self.extra.iter_mut().filter(|(_, extra)| **extra > 0);
            let dearest = open.max_by(|a, b| {
                let cost = |zone: &Name, extra: u32| f64::from(extra) * price(zone);
                cost(a.0, *a.1).total_cmp(&cost(b.0, *b.1))
            });
            let Some((_, extra)) = dearest else { return };
            *extra -= 1;
        }
    }

    fn extra_in(&self, zone: &str) -> u32 {
        self.extra.get(zone).copied().unwrap_or(0)
    }
}
