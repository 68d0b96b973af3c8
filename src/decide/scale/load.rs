//! How many places the samples of a service want, in the mean of some seconds.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use crate::{Moment, Name};

/// The time over which wants are averaged: two steps of the trainers stated. A step asks for
/// all its places at once, so a shorter time would show its beginning only.
const SPAN: Duration = Duration::from_secs(8);

/// After so long without a word of a node its next total only begins its count anew: the time
/// between lies outside of the mean.
const GAP: Duration = Duration::from_secs(3);

/// What the nodes that run jobs have told.
///
/// Each tells the sum over its samples of the time since they wanted a place, in place
/// milliseconds: a total that only grows, so that nothing depends on when it is asked.
#[derive(Debug, Default)]
pub struct Load {
    /// The last total of each node and service, and when it was told.
    totals: HashMap<(Name, Name), (u64, Moment)>,
    services: BTreeMap<Name, VecDeque<Spent>>,
}

#[derive(Debug, Clone, Copy)]
struct Spent {
    at: Moment,
    millis: u64,
}

impl Load {
    /// A node's total of a service. The first of a node only begins its count.
    pub fn note(&mut self, node: &Name, service: &Name, total: u64, now: Moment) {
        let known = self.totals.insert((node.clone(), service.clone()), (total, now));
        let known = known.filter(|(_, at)| now.saturating_sub(*at) <= GAP);
        let millis = known.map_or(0, |(known, _)| total.saturating_sub(known));
        let spent = self.services.entry(service.clone()).or_default();
        spent.push_back(Spent { at: now, millis });
    }

    /// The places that were wanted in the mean; none before a whole span was heard.
    pub fn wanted(&mut self, service: &str, now: Moment) -> Option<f64> {
        let spent = self.services.get_mut(service)?;
        let mut whole = false;
        while spent.front().is_some_and(|s| now.saturating_sub(s.at) > SPAN) {
            spent.pop_front();
            whole = true;
        }
        let since = now.saturating_sub(spent.front()?.at);
        if !whole && since < SPAN / 2 {
            return None;
        }
        let millis: u64 = spent.iter().map(|s| s.millis).sum();
        Some(millis as f64 / since.max(SPAN / 2).as_millis() as f64)
    }
}
