//! Weighted fair queueing: which flow is served next.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, 1996): every flow has a tag in
//! virtual time, the smallest is next, and serving a cost advances the tag by cost
//! over weight. A flow that was idle starts at the present, not in the past, so that it
//! can't accumulate credit; one that just had more than its share keeps its tag while idle.
//! Every flow's tag is reached eventually, so no flow starves and no aging is needed.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// Virtual time of one unit of cost at weight 1.
const VIRTUAL_TIME_PER_COST: u64 = 1 << 16;
/// Number of idle flows that are remembered before those with a tag in the past are dropped.
const MAX_IDLE_FLOWS: usize = 1_024;

/// One flow, such as the requests of one caller.
#[derive(Debug, Clone)]
struct Flow {
    /// Its share relative to the other flows, at least 1.
    weight: u64,
    /// Virtual time at which it is served next.
    tag: u64,
    /// Number of waiting items.
    items: usize,
    /// Total cost of the waiting items.
    backlog: u64,
    /// Whether it is left out of the order of service.
    paused: bool,
}

/// The order of service of flows with waiting items.
#[derive(Debug, Clone)]
pub struct FairQueue<K> {
    flows: HashMap<K, Flow>,
    /// Flows with waiting items, by tag.
    order: BTreeSet<(u64, K)>,
    /// Flows with waiting items, by backlog over weight.
    by_backlog: BTreeSet<(u64, K)>,
    /// The present in virtual time.
    clock: u64,
    /// Sum of the weights of flows with waiting items.
    weights: u64,
}

impl<K: Ord + Hash + Clone> Default for FairQueue<K> {
    fn default() -> Self {
        Self {
            flows: HashMap::new(),
            order: BTreeSet::new(),
            by_backlog: BTreeSet::new(),
            clock: 0,
            weights: 0,
        }
    }
}

impl<K: Ord + Hash + Clone> FairQueue<K> {
    /// Adds an item to a flow. The weight takes effect when an idle flow gets its first item.
    pub fn add(&mut self, key: &K, weight: u32, cost: u32) {
        let clock = self.clock;
        let idle = Flow { weight: 1, tag: clock, items: 0, backlog: 0, paused: false };
        let flow = self.flows.entry(key.clone()).or_insert(idle);
        if flow.items == 0 {
            flow.weight = u64::from(weight.max(1));
            flow.tag = flow.tag.max(clock);
            self.weights += flow.weight;
            if !flow.paused {
                self.order.insert((flow.tag, key.clone()));
            }
        } else {
            self.by_backlog.remove(&(flow.backlog / flow.weight, key.clone()));
        }
        flow.items += 1;
        flow.backlog += u64::from(cost);
        self.by_backlog.insert((flow.backlog / flow.weight, key.clone()));
    }

    /// Removes an item from its flow. Only a `served` item advances the flow's tag.
    pub fn take(&mut self, key: &K, cost: u32, served: bool) {
        let Some(flow) = self.flows.get_mut(key) else { return };
        self.by_backlog.remove(&(flow.backlog / flow.weight, key.clone()));
        self.order.remove(&(flow.tag, key.clone()));
        if served {
            self.clock = self.clock.max(flow.tag);
            flow.tag += u64::from(cost.max(1)) * VIRTUAL_TIME_PER_COST / flow.weight;
        }
        flow.items -= 1;
        flow.backlog -= u64::from(cost);
        if flow.items == 0 {
            self.weights -= flow.weight;
            self.drop_idle();
            return;
        }
        if !flow.paused {
            self.order.insert((flow.tag, key.clone()));
        }
        self.by_backlog.insert((flow.backlog / flow.weight, key.clone()));
    }

    /// Leaves a flow out of the order of service until it is resumed. Its items keep waiting.
    pub fn pause(&mut self, key: &K) {
        let Some(flow) = self.flows.get_mut(key) else { return };
        flow.paused = true;
        self.order.remove(&(flow.tag, key.clone()));
    }

    /// Takes a flow back into the order of service. It accumulated no credit while it was paused.
    pub fn resume(&mut self, key: &K) {
        let clock = self.clock;
        let Some(flow) = self.flows.get_mut(key).filter(|flow| flow.paused) else { return };
        flow.paused = false;
        flow.tag = flow.tag.max(clock);
        if flow.items > 0 {
            self.order.insert((flow.tag, key.clone()));
        }
    }

    /// Returns the flow that is served next.
    pub fn next(&self) -> Option<&K> {
        self.order.first().map(|(_, key)| key)
    }

    /// Returns the flows with waiting items in the order in which they are served.
    pub fn in_order(&self) -> impl Iterator<Item = &K> {
        self.order.iter().map(|(_, key)| key)
    }

    /// Returns the virtual time at which the next flow is served.
    pub fn next_tag(&self) -> Option<u64> {
        self.order.first().map(|(tag, _)| *tag)
    }

    /// Returns the present in virtual time.
    pub fn clock(&self) -> u64 {
        self.clock
    }

    /// Advances the present to that of another queue with which this one shares its server.
    pub fn advance(&mut self, clock: u64) {
        self.clock = self.clock.max(clock);
    }

    /// Returns the flow with the largest backlog relative to its weight.
    pub fn heaviest(&self) -> Option<&K> {
        self.by_backlog.last().map(|(_, key)| key)
    }

    /// Returns the total cost of the items that wait in a flow.
    pub fn backlog(&self, key: &K) -> u64 {
        self.flows.get(key).map_or(0, |flow| flow.backlog)
    }

    /// Returns the sum of the weights of all flows with waiting items, including this one.
    pub fn total_weight_with(&self, key: &K, weight: u32) -> u64 {
        let waits = self.flows.get(key).is_some_and(|flow| flow.items > 0);
        if waits { self.weights } else { self.weights + u64::from(weight.max(1)) }
    }

    /// Drops idle flows with a tag in the past once there are too many idle flows.
    fn drop_idle(&mut self) {
        if self.flows.len() > MAX_IDLE_FLOWS + 2 * self.order.len() {
            let clock = self.clock;
            self.flows.retain(|_, flow| flow.items > 0 || flow.paused || flow.tag > clock);
        }
    }
}
