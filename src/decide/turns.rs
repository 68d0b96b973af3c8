//! Whose turn it is: weighted fair queueing over flows.
//!
//! Start-time fair queueing (Goyal, Vin and Cheng, 1996): every flow has a tag in
//! virtual time, the smallest is next, and serving a cost moves the tag on by cost
//! over weight. A flow that was silent starts at the present, not in the past, so that it
//! can't save up; one that just had more than its share keeps its tag while silent.
//! Every flow's tag is reached in the end, so none starves and no aging is needed.

use std::collections::{BTreeSet, HashMap};
use std::hash::Hash;

/// Virtual time of one unit of cost at weight 1.
const UNIT: u64 = 1 << 16;
/// Silent flows that are remembered before those in the past are dropped.
const SILENT: usize = 1_024;

#[derive(Debug, Clone)]
struct Flow {
    weight: u64,
    tag: u64,
    items: usize,
    backlog: u64,
}

/// The flows that have something waiting, in the order of their turns.
#[derive(Debug, Clone)]
pub struct Turns<K> {
    flows: HashMap<K, Flow>,
    order: BTreeSet<(u64, K)>,
    heavy: BTreeSet<(u64, K)>,
    clock: u64,
    weights: u64,
}

impl<K: Ord + Hash + Clone> Default for Turns<K> {
    fn default() -> Self {
        Self {
            flows: HashMap::new(),
            order: BTreeSet::new(),
            heavy: BTreeSet::new(),
            clock: 0,
            weights: 0,
        }
    }
}

impl<K: Ord + Hash + Clone> Turns<K> {
    /// An item of this cost waits in a flow. The weight counts from when a flow wakes.
    pub fn add(&mut self, key: &K, weight: u32, cost: u32) {
        let clock = self.clock;
        let silent = Flow { weight: 1, tag: clock, items: 0, backlog: 0 };
        let flow = self.flows.entry(key.clone()).or_insert(silent);
        if flow.items == 0 {
            flow.weight = u64::from(weight.max(1));
            flow.tag = flow.tag.max(clock);
            self.weights += flow.weight;
            self.order.insert((flow.tag, key.clone()));
        } else {
            self.heavy.remove(&(flow.backlog / flow.weight, key.clone()));
        }
        flow.items += 1;
        flow.backlog += u64::from(cost);
        self.heavy.insert((flow.backlog / flow.weight, key.clone()));
    }

    /// An item leaves its flow: served, which moves the flow's turn on, or not.
    pub fn take(&mut self, key: &K, cost: u32, served: bool) {
        let Some(flow) = self.flows.get_mut(key) else { return };
        self.heavy.remove(&(flow.backlog / flow.weight, key.clone()));
        self.order.remove(&(flow.tag, key.clone()));
        if served {
            self.clock = self.clock.max(flow.tag);
            flow.tag += u64::from(cost.max(1)) * UNIT / flow.weight;
        }
        flow.items -= 1;
        flow.backlog -= u64::from(cost);
        if flow.items == 0 {
            self.weights -= flow.weight;
            self.forget();
            return;
        }
        self.order.insert((flow.tag, key.clone()));
        self.heavy.insert((flow.backlog / flow.weight, key.clone()));
    }

    /// The flow whose turn it is.
    pub fn next(&self) -> Option<&K> {
        self.order.first().map(|(_, key)| key)
    }

    /// The flow with the largest backlog for its weight.
    pub fn heaviest(&self) -> Option<&K> {
        self.heavy.last().map(|(_, key)| key)
    }

    /// The cost that waits in a flow.
    pub fn backlog(&self, key: &K) -> u64 {
        self.flows.get(key).map_or(0, |flow| flow.backlog)
    }

    /// The weights of the flows that wait, with this one counted in.
    pub fn weights_with(&self, key: &K, weight: u32) -> u64 {
        let waits = self.flows.get(key).is_some_and(|flow| flow.items > 0);
        if waits { self.weights } else { self.weights + u64::from(weight.max(1)) }
    }

    fn forget(&mut self) {
        if self.flows.len() > SILENT + 2 * self.order.len() {
            let clock = self.clock;
            self.flows.retain(|_, flow| flow.items > 0 || flow.tag > clock);
        }
    }
}
