//! The waiting requests of one service.
//!
//! Load pattern: one caller, or one key of a caller, asks for more than the rest together,
//! and rollouts ask for everything that is left. First in, first out would give each
//! what it asks for: the hot one nearly all. Here the live class goes before training,
//! training keeps a floor, callers share by weight and the keys of one live caller
//! equally, all by expected cost. Rollouts of one trainer stay in their order, so that groups
//! get whole one after the other and their prefix stays cached.

use std::collections::{BTreeMap, HashMap};

use super::{Call, Class, FairQueue};
use crate::Name;

/// Where an item waits; it finds the item again.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Place {
    class: Class,
    caller: Name,
    key: u64,
    number: i64,
    cost: u32,
}

#[derive(Debug, Clone)]
struct Caller<T> {
    turns: FairQueue<u64>,
    items: HashMap<u64, BTreeMap<i64, T>>,
}

#[derive(Debug, Clone)]
struct Line<T> {
    turns: FairQueue<Name>,
    callers: HashMap<Name, Caller<T>>,
    len: usize,
    cost: u64,
}

impl<T> Default for Line<T> {
    fn default() -> Self {
        Self { turns: FairQueue::default(), callers: HashMap::new(), len: 0, cost: 0 }
    }
}

/// Live and training requests in fair order.
#[derive(Debug, Clone)]
pub struct Queue<T> {
    live: Line<T>,
    training: Line<T>,
    floor: f64,
    credit: f64,
    back: i64,
    front: i64,
}

impl<T> Default for Queue<T> {
    fn default() -> Self {
        let line = Line::default;
        Self { live: line(), training: line(), floor: 0.0, credit: 0.0, back: 0, front: -1 }
    }
}

impl<T: Copy> Queue<T> {
    /// Sets the part of the work that training keeps, from 0 to below 1.
    pub fn set_floor(&mut self, floor: f64) {
        self.floor = floor.clamp(0.0, 0.99);
    }

    /// Adds a request behind the others of its caller and key.
    pub fn push(&mut self, call: &Call, weight: u32, item: T) -> Place {
        self.back += 1;
        self.insert(call, weight, self.back, item)
    }

    /// Puts a request back in front of the others of its caller and key.
    pub fn push_front(&mut self, call: &Call, weight: u32, item: T) -> Place {
        self.front -= 1;
        self.insert(call, weight, self.front, item)
    }

    /// Whether training is behind its floor while both classes wait.
    pub fn floor_due(&self) -> bool {
        self.live.len > 0 && self.training.len > 0 && self.credit > 0.0
    }

    /// The next request of a class; it stays.
    pub fn peek(&self, class: Class) -> Option<T> {
        let line = self.line(class);
        let caller = line.callers.get(line.turns.next()?)?;
        let items = caller.items.get(caller.turns.next()?)?;
        items.first_key_value().map(|(_, item)| *item)
    }

    /// The newest request of the caller with the largest backlog for its weight.
    pub fn heaviest(&self, class: Class) -> Option<T> {
        let line = self.line(class);
        let caller = line.callers.get(line.turns.heaviest()?)?;
        let items = caller.items.get(caller.turns.heaviest()?)?;
        items.last_key_value().map(|(_, item)| *item)
    }

    /// Takes a request out because it is sent, which counts against its caller.
    pub fn serve(&mut self, place: &Place) {
        let waits = self.training.len > 0;
        self.take(place, true);
        let cost = f64::from(place.cost);
        match place.class {
            Class::Live if waits => self.credit += cost * self.floor / (1.0 - self.floor),
            Class::Live => self.credit = 0.0,
            Class::Training if self.live.len > 0 => self.credit -= cost,
            Class::Training => self.credit = 0.0,
        }
    }

    /// Takes a request out for another reason.
    pub fn remove(&mut self, place: &Place) {
        self.take(place, false);
    }

    /// How many wait in a class.
    pub fn len(&self, class: Class) -> usize {
        self.line(class).len
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.live.len == 0 && self.training.len == 0
    }

    /// The cost that would be served before a new request, by its caller's fair share.
    pub fn ahead(&self, call: &Call, weight: u32) -> f64 {
        let line = self.line(call.class);
        let key = key(call);
        // Of its own caller's requests, those of other keys go before it only in turn.
        let own = line.callers.get(&call.caller).map_or(0.0, |caller| {
            let keys = caller.turns.total_weight_with(&key, 1) as f64;
            let fair = caller.turns.backlog(&key) as f64 * keys;
            fair.min(line.turns.backlog(&call.caller) as f64)
        });
        let weights = line.turns.total_weight_with(&call.caller, weight) as f64;
        (own * weights / f64::from(weight.max(1))).min(line.cost as f64)
    }

    /// The part of the work that a class gets while the other waits too.
    pub fn part(&self, class: Class) -> f64 {
        match class {
            Class::Live if self.training.len == 0 => 1.0,
            Class::Live => 1.0 - self.floor,
            Class::Training if self.live.len == 0 => 1.0,
            Class::Training => self.floor.max(0.01),
        }
    }

    fn insert(&mut self, call: &Call, weight: u32, number: i64, item: T) -> Place {
        let key = key(call);
        let line = self.line_mut(call.class);
        let fresh = || Caller { turns: FairQueue::default(), items: HashMap::new() };
        let caller = line.callers.entry(call.caller.clone()).or_insert_with(fresh);
        caller.turns.add(&key, 1, call.cost);
        caller.items.entry(key).or_default().insert(number, item);
        line.turns.add(&call.caller, weight, call.cost);
        line.len += 1;
        line.cost += u64::from(call.cost);
        let (class, caller, cost) = (call.class, call.caller.clone(), call.cost);
        Place { class, caller, key, number, cost }
    }

    fn take(&mut self, place: &Place, served: bool) {
        let line = self.line_mut(place.class);
        let Some(caller) = line.callers.get_mut(&place.caller) else { return };
        let Some(items) = caller.items.get_mut(&place.key) else { return };
        if items.remove(&place.number).is_none() {
            return;
        }
        if items.is_empty() {
            caller.items.remove(&place.key);
        }
        caller.turns.take(&place.key, place.cost, served);
        if caller.items.is_empty() {
            line.callers.remove(&place.caller);
        }
        line.turns.take(&place.caller, place.cost, served);
        line.len -= 1;
        line.cost -= u64::from(place.cost);
    }

    fn line(&self, class: Class) -> &Line<T> {
        match class {
            Class::Live => &self.live,
            Class::Training => &self.training,
        }
    }

    fn line_mut(&mut self, class: Class) -> &mut Line<T> {
        match class {
            Class::Live => &mut self.live,
            Class::Training => &mut self.training,
        }
    }
}

fn key(call: &Call) -> u64 {
    match call.class {
        Class::Live => call.prefix.unwrap_or(0),
        Class::Training => 0,
    }
}
