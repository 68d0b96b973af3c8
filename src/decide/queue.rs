//! Fair queue of the waiting requests of one service.
//!
//! Load pattern: one caller, or one prefix of a caller, asks for more than the rest together,
//! and training asks for all remaining capacity. First in, first out would serve in proportion
//! to demand, and the largest flow would get nearly all. Here the live class goes before
//! training, training keeps a minimum share (its floor), callers share by weight and the
//! prefixes of one live caller equally, all by expected cost. Samples of one trainer stay in
//! their order, so that groups are completed one after the other and their prefix stays
//! cached.

use std::collections::{BTreeMap, HashMap};

use super::{Call, Class, FairQueue};
use crate::{Moment, Name};

/// The position of a request in the queue, by which it is removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct QueuePosition {
    class: Class,
    caller: Name,
    /// Key of the caller's flow, see [`flow_key`].
    key: u64,
    order: FlowOrder,
    cost: u32,
}

/// Order within a flow, ascending: by time, then by number. The time is 0 for requests that are
/// ordered by arrival.
type FlowOrder = (Moment, i64);

/// The requests of one caller in one class, by flow key.
#[derive(Debug, Clone)]
struct CallerQueue<T> {
    /// The order of service of the flows.
    order: FairQueue<u64>,
    items: HashMap<u64, BTreeMap<FlowOrder, T>>,
}

/// The requests of one class, by caller.
#[derive(Debug, Clone)]
struct ClassQueue<T> {
    /// The order of service of the callers.
    order: FairQueue<Name>,
    callers: HashMap<Name, CallerQueue<T>>,
    len: usize,
    /// Total cost of the requests.
    cost: u64,
}

impl<T> Default for ClassQueue<T> {
    fn default() -> Self {
        Self { order: FairQueue::default(), callers: HashMap::new(), len: 0, cost: 0 }
    }
}

/// Live and training requests in fair order.
#[derive(Debug, Clone)]
pub struct RequestQueue<T> {
    live: ClassQueue<T>,
    training: ClassQueue<T>,
    /// Minimum part of the work that training gets, from 0 to below 1.
    training_floor: f64,
    /// Cost that training is behind its floor while both classes wait.
    training_credit: f64,
    /// Order number of the last request that was added at the back.
    back: i64,
    /// Order number of the last request that was added at the front.
    front: i64,
}

impl<T> Default for RequestQueue<T> {
    fn default() -> Self {
        let queue = ClassQueue::default;
        Self {
            live: queue(),
            training: queue(),
            training_floor: 0.0,
            training_credit: 0.0,
            back: 0,
            front: -1,
        }
    }
}

impl<T: Copy> RequestQueue<T> {
    /// Sets the minimum part of the work that training gets, from 0 to below 1.
    pub fn set_training_floor(&mut self, floor: f64) {
        self.training_floor = floor.clamp(0.0, 0.99);
    }

    /// Adds a request behind the others of its caller and key.
    pub fn push(&mut self, call: &Call, weight: u32, item: T) -> QueuePosition {
        self.push_by_time(call, weight, Moment::ZERO, item)
    }

    /// Adds a request in front of the others of its caller and key whose time is later, such as
    /// their deadline.
    pub fn push_by_time(
        &mut self,
        call: &Call,
        weight: u32,
        time: Moment,
        item: T,
    ) -> QueuePosition {
        self.back += 1;
        self.insert(call, weight, (time, self.back), item)
    }

    /// Puts a request back in front of the others of its caller and key.
    pub fn push_front(&mut self, call: &Call, weight: u32, item: T) -> QueuePosition {
        self.front -= 1;
        self.insert(call, weight, (Moment::ZERO, self.front), item)
    }

    /// Whether training is behind its floor while both classes wait.
    pub fn training_due(&self) -> bool {
        self.live.len > 0 && self.training.len > 0 && self.training_credit > 0.0
    }

    /// The next request of a class, which stays in the queue.
    pub fn peek(&self, class: Class) -> Option<T> {
        let queue = self.class_queue(class);
        let caller = queue.callers.get(queue.order.next()?)?;
        let items = caller.items.get(caller.order.next()?)?;
        items.first_key_value().map(|(_, item)| *item)
    }

    /// The newest request of the caller with the largest backlog for its weight.
    pub fn newest_of_largest(&self, class: Class) -> Option<T> {
        let queue = self.class_queue(class);
        let caller = queue.callers.get(queue.order.heaviest()?)?;
        let items = caller.items.get(caller.order.heaviest()?)?;
        items.last_key_value().map(|(_, item)| *item)
    }

    /// Removes a request because it is sent, which counts against its caller's share.
    pub fn remove_served(&mut self, position: &QueuePosition) {
        let training_waits = self.training.len > 0;
        self.take(position, true);
        let cost = f64::from(position.cost);
        match position.class {
            Class::Live if training_waits => {
                self.training_credit += cost * self.training_floor / (1.0 - self.training_floor)
            }
            Class::Live => self.training_credit = 0.0,
            Class::Training if self.live.len > 0 => self.training_credit -= cost,
            Class::Training => self.training_credit = 0.0,
        }
    }

    /// Removes a request for another reason.
    pub fn remove(&mut self, position: &QueuePosition) {
        self.take(position, false);
    }

    /// Number of requests of a class.
    pub fn len(&self, class: Class) -> usize {
        self.class_queue(class).len
    }

    /// Whether there are no requests.
    pub fn is_empty(&self) -> bool {
        self.live.len == 0 && self.training.len == 0
    }

    /// The cost that is served before a new request, by its caller's fair share.
    pub fn cost_ahead(&self, call: &Call, weight: u32) -> f64 {
        let queue = self.class_queue(call.class);
        let key = flow_key(call);
        // Of the same caller's requests, those of other flows precede it only in turn.
        let own = queue.callers.get(&call.caller).map_or(0.0, |caller| {
            let keys = caller.order.total_weight_with(&key, 1) as f64;
            let fair = caller.order.backlog(&key) as f64 * keys;
            fair.min(queue.order.backlog(&call.caller) as f64)
        });
        let weights = queue.order.total_weight_with(&call.caller, weight) as f64;
        (own * weights / f64::from(weight.max(1))).min(queue.cost as f64)
    }

    /// The part of the work that a class gets, given whether the other one has requests.
    pub fn capacity_share(&self, class: Class) -> f64 {
        match class {
            Class::Live if self.training.len == 0 => 1.0,
            Class::Live => 1.0 - self.training_floor,
            Class::Training if self.live.len == 0 => 1.0,
            Class::Training => self.training_floor.max(0.01),
        }
    }

    fn insert(&mut self, call: &Call, weight: u32, order: FlowOrder, item: T) -> QueuePosition {
        let key = flow_key(call);
        let queue = self.class_queue_mut(call.class);
        let fresh = || CallerQueue { order: FairQueue::default(), items: HashMap::new() };
        let caller = queue.callers.entry(call.caller.clone()).or_insert_with(fresh);
        caller.order.add(&key, 1, call.cost);
        caller.items.entry(key).or_default().insert(order, item);
        queue.order.add(&call.caller, weight, call.cost);
        queue.len += 1;
        queue.cost += u64::from(call.cost);
        let (class, caller, cost) = (call.class, call.caller.clone(), call.cost);
        QueuePosition { class, caller, key, order, cost }
    }

    fn take(&mut self, position: &QueuePosition, served: bool) {
        let queue = self.class_queue_mut(position.class);
        let Some(caller) = queue.callers.get_mut(&position.caller) else { return };
        let Some(items) = caller.items.get_mut(&position.key) else { return };
        if items.remove(&position.order).is_none() {
            return;
        }
        if items.is_empty() {
            caller.items.remove(&position.key);
        }
        caller.order.take(&position.key, position.cost, served);
        if caller.items.is_empty() {
            queue.callers.remove(&position.caller);
        }
        queue.order.take(&position.caller, position.cost, served);
        queue.len -= 1;
        queue.cost -= u64::from(position.cost);
    }

    fn class_queue(&self, class: Class) -> &ClassQueue<T> {
        match class {
            Class::Live => &self.live,
            Class::Training => &self.training,
        }
    }

    fn class_queue_mut(&mut self, class: Class) -> &mut ClassQueue<T> {
        match class {
            Class::Live => &mut self.live,
            Class::Training => &mut self.training,
        }
    }
}

/// The key by which the requests of one caller are kept apart: the prefix of a live request.
fn flow_key(call: &Call) -> u64 {
    match call.class {
        Class::Live => call.prefix.unwrap_or(0),
        Class::Training => 0,
    }
}
