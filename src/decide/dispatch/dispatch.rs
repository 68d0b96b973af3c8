//! Dispatch of one service: admission, queue, limits, routing and retries together.
//!
//! The one seam between decisions and shell: every change goes in by a method
//! with the present moment, and every consequence comes out as an [`Action`].

use std::time::Duration;

use rand::{SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

use super::pending::{Pending, State};
use super::pool::Pool;
use super::{Action, Limits, LoadReport, Report, Shares, Ticket, UpstreamKey, UpstreamView};
use crate::decide::{Budget, Call, Class, Deadlines, Outcome, Outlook, Queue, Repeat, Returns};
use crate::error::{Kind, Refusal};
use crate::{Moment, Name};

/// Most attempts of one request.
const ATTEMPTS: u32 = 4;
/// How long a live request waits while no upstream takes work: the list of VMs is read
/// once a second, so what comes back is known after two readings.
const SHUT: Duration = Duration::from_secs(2);

/// The state of one service at this node.
#[derive(Debug)]
pub struct Dispatch {
    limits: Limits,
    shares: Shares,
    pool: Pool,
    pending: SlotMap<Ticket, Pending>,
    queue: Queue<Ticket>,
    deadlines: Deadlines<Ticket>,
    budget: Budget,
    returns: Returns,
    running: usize,
    rng: SmallRng,
    actions: Vec<Action>,
}

impl Dispatch {
    /// An empty service, seen from a node in `zone`. The seed drives the random choices.
    pub fn new(limits: Limits, zone: Name, seed: u64) -> Self {
        let mut queue = Queue::default();
        queue.set_floor(f64::from(limits.floor) / 100.0);
        Self {
            limits,
            shares: Shares::default(),
            pool: Pool::new(zone, limits.concurrency),
            pending: SlotMap::with_key(),
            queue,
            deadlines: Deadlines::default(),
            budget: Budget::default(),
            returns: Returns::default(),
            running: 0,
            rng: SmallRng::seed_from_u64(seed),
            actions: Vec::new(),
        }
    }

    /// Takes in a request.
    pub fn offer(&mut self, call: Call, now: Moment) -> Ticket {
        self.budget.earn();
        let outlook = self.outlook(&call);
        let class = call.class;
        let deadline = call.deadline;
        let state = State::Between;
        let due = if class == Class::Live && self.pool.is_shut() {
            deadline.min(now + SHUT)
        } else {
            deadline
        };
        let pending =
            Pending { call, due, attempts: 0, begun: false, unsure: false, avoid: None, state };
        let ticket = self.pending.insert(pending);
        if deadline <= now {
            self.refuse(ticket, Kind::DeadlineUnreachable, "the deadline has passed", now);
        } else if !outlook.in_time(now, deadline) {
            let detail = "more is waiting than can be done by the deadline";
            self.refuse(ticket, Kind::DeadlineUnreachable, detail, now);
        } else {
            self.enqueue(ticket, false);
            if self.queue.len(class) > self.limits.queue {
                self.push_out(ticket, class, now);
            }
            self.pump(now);
        }
        ticket
    }

    /// The one who asked has gone.
    pub fn withdraw(&mut self, ticket: Ticket, now: Moment) {
        self.leave(ticket, None, now);
        self.pending.remove(ticket);
        self.pump(now);
    }

    /// An attempt ended.
    pub fn ended(&mut self, ticket: Ticket, report: Report, now: Moment) {
        let running = self.pending.get(ticket).map(|p| matches!(p.state, State::Running { .. }));
        if running != Some(true) {
            return;
        }
        self.leave(ticket, Some(report), now);
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
        self.pool.set(views);
        self.pump(now);
    }

    /// An upstream said how loaded it is.
    pub fn load_report(&mut self, upstream: &str, report: LoadReport) {
        self.pool.report(upstream, report);
    }

    /// The bundle changed the limits.
    pub fn set_limits(&mut self, limits: Limits, now: Moment) {
        self.limits = limits;
        self.queue.set_floor(f64::from(limits.floor) / 100.0);
        self.pool.set_ceiling(limits.concurrency);
        self.pump(now);
    }

    /// The bundle changed the weights of callers and trainers.
    pub fn set_shares(&mut self, shares: Shares) {
        self.shares = shares;
    }

    /// Time passed: gives up on what waited past its deadline.
    pub fn tick(&mut self, now: Moment) {
        self.pool.tick(now);
        while let Some(ticket) = self.deadlines.due(now) {
            self.overdue(ticket, now);
        }
        self.pump(now);
    }

    /// Takes the actions that have come up.
    pub fn actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// The attempt under way brought a part of the answer that the next goes on from. A
    /// request that gets on repeats no work: it spends no retry, and is not refused for
    /// want of time or of an upstream before its deadline.
    pub fn progressed(&mut self, ticket: Ticket) {
        if let Some(pending) = self.pending.get_mut(ticket) {
            pending.begun = true;
            pending.attempts = 0;
        }
    }

    /// Requests that wait.
    pub fn waiting(&self) -> usize {
        self.deadlines.len()
    }

    /// Attempts in flight.
    pub fn running(&self) -> usize {
        self.running
    }

    fn overdue(&mut self, ticket: Ticket, now: Moment) {
        let Some(pending) = self.pending.get_mut(ticket) else { return };
        if self.pool.is_shut() && !pending.begun {
            self.refuse(ticket, Kind::NoUpstream, "no upstream takes work", now);
        } else if pending.call.deadline > now {
            pending.due = pending.call.deadline;
            self.deadlines.insert(pending.due, ticket);
        } else {
            self.refuse(ticket, Kind::DeadlinePassed, "it waited until its deadline", now);
        }
    }

    fn again(&mut self, ticket: Ticket, outcome: Outcome, now: Moment) {
        let pending = &mut self.pending[ticket];
        pending.unsure |= outcome == Outcome::Unknown;
        if pending.unsure && pending.call.repeat == Repeat::Once {
            let detail = "the attempt broke off after it was sent";
            self.refuse(ticket, Kind::OutcomeUnknown, detail, now);
            return;
        }
        let spent = pending.attempts >= ATTEMPTS || pending.call.deadline <= now;
        let goes_on = pending.begun && pending.attempts == 0;
        if spent || !(goes_on || self.budget.spend()) {
            self.refuse(ticket, Kind::RetriesSpent, "every attempt failed", now);
            return;
        }
        self.enqueue(ticket, true);
    }

    fn pump(&mut self, now: Moment) {
        while let Some((ticket, room)) = self.next() {
            let pending = &self.pending[ticket];
            let deadline = pending.call.deadline;
            if deadline <= now {
                self.refuse(ticket, Kind::DeadlinePassed, "it waited until its deadline", now);
                continue;
            }
            if !pending.begun && !self.outlook(&pending.call).in_time_now(now, deadline) {
                let detail = "less time is left than it takes";
                self.refuse(ticket, Kind::DeadlineUnreachable, detail, now);
                continue;
            }
            let chosen = self.pool.choose(&pending.call, room, pending.avoid, now, &mut self.rng);
            let Some(key) = chosen else { return };
            self.send(ticket, key, now);
        }
    }

    /// The next request that an upstream has room for, and the class whose room it uses.
    fn next(&self) -> Option<(Ticket, Class)> {
        // Training takes a live place for its floor, or live requests would fill
        // each place as it comes free.
        if self.queue.floor_due() && self.pool.has_room(Class::Live) {
            return Some((self.queue.peek(Class::Training)?, Class::Live));
        }
        [Class::Live, Class::Training].into_iter().find_map(|class| {
            let ticket = self.queue.peek(class)?;
            self.pool.has_room(class).then_some((ticket, class))
        })
    }

    fn send(&mut self, ticket: Ticket, key: UpstreamKey, now: Moment) {
        let pending = &mut self.pending[ticket];
        let running = State::Running { at: key, since: now };
        if let State::Waiting(place) = std::mem::replace(&mut pending.state, running) {
            self.queue.serve(&place);
        }
        self.deadlines.remove(pending.due, ticket);
        pending.attempts += 1;
        self.running += 1;
        let upstream = self.pool.start(key);
        self.actions.push(Action::Send { ticket, upstream });
    }

    fn enqueue(&mut self, ticket: Ticket, front: bool) {
        let pending = &mut self.pending[ticket];
        let weight = self.shares.of(&pending.call.caller);
        let place = if front {
            self.queue.push_front(&pending.call, weight, ticket)
        } else {
            self.queue.push(&pending.call, weight, ticket)
        };
        pending.state = State::Waiting(place);
        self.deadlines.insert(pending.due, ticket);
    }

    /// Takes a request out of the queue or off its upstream.
    fn leave(&mut self, ticket: Ticket, report: Option<Report>, now: Moment) {
        let Some(pending) = self.pending.get_mut(ticket) else { return };
        let cost = pending.call.cost;
        match std::mem::replace(&mut pending.state, State::Between) {
            State::Waiting(place) => {
                self.queue.remove(&place);
                self.deadlines.remove(pending.due, ticket);
            }
            State::Running { at, since } => {
                pending.avoid = Some(at);
                self.running -= 1;
                self.pool.end(at, cost, since, report, now);
            }
            State::Between => {}
        }
    }

    /// The queue is over its length: the caller with the largest backlog for its
    /// share gives way, not the one who came last.
    fn push_out(&mut self, offered: Ticket, class: Class, now: Moment) {
        let ticket = self.queue.heaviest(class).unwrap_or(offered);
        let own = self.pending[ticket].call.caller == self.pending[offered].call.caller;
        let kind = if ticket == offered || own { Kind::QueueFull } else { Kind::OverShare };
        self.refuse(ticket, kind, "the queue of this class is full", now);
    }

    /// Seconds that a request is expected to take at an upstream.
    fn service(&self, call: &Call) -> f64 {
        self.pool.typical().unwrap_or_default() * f64::from(call.cost.max(1))
    }

    fn outlook(&self, call: &Call) -> Outlook {
        let weight = self.shares.of(&call.caller);
        Outlook {
            ahead: self.queue.ahead(call, weight),
            rate: self.pool.rate() * self.queue.part(call.class),
            service: self.service(call),
        }
    }

    fn refuse(&mut self, ticket: Ticket, kind: Kind, detail: &str, now: Moment) {
        self.leave(ticket, None, now);
        let Some(pending) = self.pending.remove(ticket) else { return };
        let outlook = self.outlook(&pending.call);
        let after = self.returns.after(pending.call.cost, &outlook, now, &mut self.rng);
        // An earlier attempt may have run, whatever became of the last one.
        let kind = if pending.unsure { Kind::OutcomeUnknown } else { kind };
        let refusal = Refusal::new(kind, detail).after(after);
        self.actions.push(Action::Refuse { ticket, refusal });
    }
}
