//! Dispatch of one service: admission, queue, limits, routing and retries together.
//!
//! The one seam between decisions and shell: every change goes in by a method
//! with the present moment, and every consequence comes out as an [`Action`].

use std::time::Duration;

use rand::{SeedableRng, rngs::SmallRng};
use slotmap::{SlotMap, new_key_type};

use super::{Budget, Call, Candidate, Limit, Outcome, Queue, Repeat, pick};
use crate::error::{Kind, Refusal};
use crate::{Moment, Name};

new_key_type! {
    /// A request that this node has taken in.
    pub struct Ticket;
    /// An upstream of the service.
    pub struct UpstreamKey;
}

/// Most attempts of one request.
const ATTEMPTS: u32 = 4;
/// Shortest time to come back that a refusal names.
const COME_BACK: Duration = Duration::from_millis(250);

/// The limits of a service, from the bundle.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Requests that may wait, of one class.
    pub queue: usize,
    /// Attempts in flight at one upstream.
    pub concurrency: u32,
}

/// An upstream as the node sees it now.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamView {
    /// Its name in the list of VMs.
    pub name: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Whether it may get new work.
    pub open: bool,
}

/// What the shell says of an ended attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub took: Duration,
}

/// What the shell is to do.
#[derive(Debug, Clone, PartialEq)]
pub enum Action {
    /// Make an attempt at this upstream.
    Send {
        /// The request.
        ticket: Ticket,
        /// The upstream.
        upstream: Name,
    },
    /// Give the request its final answer.
    Refuse {
        /// The request.
        ticket: Ticket,
        /// The answer.
        refusal: Refusal,
    },
}

#[derive(Debug)]
struct Upstream {
    view: UpstreamView,
    limit: Limit,
}

#[derive(Debug)]
struct Pending {
    call: Call,
    attempts: u32,
    at: Option<UpstreamKey>,
    /// Where the last attempt failed: the next goes elsewhere if it can.
    failed: Option<UpstreamKey>,
}

/// The state of one service at this node.
#[derive(Debug)]
pub struct Dispatch {
    limits: Limits,
    upstreams: SlotMap<UpstreamKey, Upstream>,
    pending: SlotMap<Ticket, Pending>,
    queue: Queue<Ticket>,
    budget: Budget,
    rng: SmallRng,
    actions: Vec<Action>,
}

impl Dispatch {
    /// An empty service. The seed drives the random choices.
    pub fn new(limits: Limits, seed: u64) -> Self {
        Self {
            limits,
            upstreams: SlotMap::with_key(),
            pending: SlotMap::with_key(),
            queue: Queue::default(),
            budget: Budget::default(),
            rng: SmallRng::seed_from_u64(seed),
            actions: Vec::new(),
        }
    }

    /// Takes in a request.
    pub fn offer(&mut self, call: Call, now: Moment) -> Ticket {
        self.budget.earn();
        let class = call.class;
        let late = call.deadline <= now;
        let ticket = self.pending.insert(Pending { call, attempts: 0, at: None, failed: None });
        if late {
            self.refuse(ticket, Kind::DeadlineUnreachable, "the deadline has passed");
        } else if self.queue.len(class) >= self.limits.queue {
            self.refuse(ticket, Kind::QueueFull, "the queue of this class is full");
        } else {
            self.queue.push(class, ticket);
            self.pump(now);
        }
        ticket
    }

    /// The one who asked has gone.
    pub fn withdraw(&mut self, ticket: Ticket, now: Moment) {
        let Some(pending) = self.pending.remove(ticket) else { return };
        match pending.at {
            Some(key) => self.release(key),
            None => self.queue.remove(ticket),
        }
        self.pump(now);
    }

    /// An attempt ended.
    pub fn ended(&mut self, ticket: Ticket, report: Report, now: Moment) {
        let Some(pending) = self.pending.get_mut(ticket) else { return };
        if let Some(key) = pending.at.take() {
            pending.failed = Some(key);
            self.release(key);
        }
        match report.outcome {
            Outcome::Answered => {
                self.pending.remove(ticket);
            }
            Outcome::Unsent | Outcome::Refused | Outcome::Unknown => {
                self.again(ticket, report.outcome, now);
            }
        }
        self.pump(now);
    }

    /// The set of upstreams changed.
    pub fn set_upstreams(&mut self, views: &[UpstreamView], now: Moment) {
        self.upstreams.retain(|_, u| views.iter().any(|v| v.name == u.view.name));
        for view in views {
            let known = self.upstreams.values_mut().find(|u| u.view.name == view.name);
            match known {
                Some(known) => known.view = view.clone(),
                None => {
                    let limit = Limit::new(self.limits.concurrency);
                    self.upstreams.insert(Upstream { view: view.clone(), limit });
                }
            }
        }
        self.pump(now);
    }

    /// The bundle changed the limits.
    pub fn set_limits(&mut self, limits: Limits, now: Moment) {
        self.limits = limits;
        for upstream in self.upstreams.values_mut() {
            upstream.limit.set_ceiling(limits.concurrency);
        }
        self.pump(now);
    }

    /// Time passed: gives up on what waited past its deadline.
    pub fn tick(&mut self, now: Moment) {
        let late: Vec<Ticket> = self
            .pending
            .iter()
            .filter(|(_, p)| p.at.is_none() && p.call.deadline <= now)
            .map(|(ticket, _)| ticket)
            .collect();
        for ticket in late {
            self.queue.remove(ticket);
            self.refuse(ticket, Kind::DeadlinePassed, "it waited until its deadline");
        }
        self.pump(now);
    }

    /// Takes the actions that have come up.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.pending.values().filter(|p| p.at.is_none()).count()
    }

    /// Attempts in flight.
    pub fn running(&self) -> usize {
        self.pending.values().filter(|p| p.at.is_some()).count()
    }

    fn again(&mut self, ticket: Ticket, outcome: Outcome, now: Moment) {
        let pending = &mut self.pending[ticket];
        let unsure = outcome == Outcome::Unknown;
        if unsure && pending.call.repeat == Repeat::Once {
            self.refuse(ticket, Kind::OutcomeUnknown, "the attempt broke off after it was sent");
            return;
        }
        let spent = pending.attempts >= ATTEMPTS || pending.call.deadline <= now;
        if spent || !self.budget.spend() {
            let kind = if unsure { Kind::OutcomeUnknown } else { Kind::RetriesSpent };
            self.refuse(ticket, kind, "every attempt failed");
            return;
        }
        let class = pending.call.class;
        self.queue.push_front(class, ticket);
    }

    fn pump(&mut self, now: Moment) {
        while !self.queue.is_empty() {
            let Some(ticket) = self.queue.pop() else { return };
            let class = self.pending.get(ticket).map(|p| p.call.class);
            let Some(key) = self.choose(self.pending.get(ticket).and_then(|p| p.failed)) else {
                if let Some(class) = class {
                    self.queue.push_front(class, ticket);
                }
                return;
            };
            let Some(pending) = self.pending.get_mut(ticket) else { continue };
            if pending.call.deadline <= now {
                self.refuse(ticket, Kind::DeadlinePassed, "it waited until its deadline");
                continue;
            }
            pending.attempts += 1;
            pending.at = Some(key);
            let upstream = &mut self.upstreams[key];
            upstream.limit.start();
            let upstream = upstream.view.name.clone();
            self.actions.push(Action::Send { ticket, upstream });
        }
    }

    fn choose(&mut self, avoid: Option<UpstreamKey>) -> Option<UpstreamKey> {
        let candidates: Vec<Candidate<UpstreamKey>> = self
            .upstreams
            .iter()
            .filter(|(_, u)| u.view.open && u.limit.open())
            .map(|(key, u)| Candidate { key, load: f64::from(u.limit.running()) })
            .collect();
        let others: Vec<_> = candidates.iter().filter(|c| Some(c.key) != avoid).copied().collect();
        pick(&others, &mut self.rng).or_else(|| pick(&candidates, &mut self.rng))
    }

    fn release(&mut self, key: UpstreamKey) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.limit.end();
        }
    }

    fn refuse(&mut self, ticket: Ticket, kind: Kind, detail: &str) {
        self.pending.remove(ticket);
        let refusal = Refusal::new(kind, detail).after(COME_BACK);
        self.actions.push(Action::Refuse { ticket, refusal });
    }
}
