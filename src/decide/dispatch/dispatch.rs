//! Dispatch of one service: admission, queue, limits, routing and retries together.
//!
//! This is the only interface between the decisions and the I/O around them: every event
//! goes in by a method with the current time, and every consequence comes out as a
//! [`DispatchAction`].

use std::time::Duration;

use rand::{SeedableRng, rngs::SmallRng};
use slotmap::SlotMap;

use super::pending::{PendingRequest, RequestState};
use super::pool::UpstreamPool;
use super::{
    AttemptReport, CallerWeights, DispatchAction, LoadReport, ServiceLimits, Ticket, UpstreamKey,
    UpstreamView,
};
use crate::decide::{
    AttemptOutcome, Call, Class, Deadlines, Repeat, RequestQueue, RetryBudget, RetrySchedule,
    WaitEstimate,
};
use crate::error::{Kind, Refusal};
use crate::{Moment, Name};

/// Most attempts of one request since it last made progress.
const MAX_ATTEMPTS: u32 = 4;
/// How long a live request waits while no upstream accepts work: the list of VMs is read
/// once a second, so an upstream that comes back is known after two readings.
const UNAVAILABLE_WAIT: Duration = Duration::from_secs(2);

/// Dispatch of one service at this node.
#[derive(Debug)]
pub struct Dispatch {
    limits: ServiceLimits,
    weights: CallerWeights,
    pool: UpstreamPool,
    pending: SlotMap<Ticket, PendingRequest>,
    queue: RequestQueue<Ticket>,
    deadlines: Deadlines<Ticket>,
    budget: RetryBudget,
    retries: RetrySchedule,
    running: usize,
    rng: SmallRng,
    actions: Vec<DispatchAction>,
}

impl Dispatch {
    /// A service without upstreams or requests, at a node in the availability zone `zone`.
    /// The seed drives the random choices.
    pub fn new(limits: ServiceLimits, zone: Name, seed: u64) -> Self {
        let mut queue = RequestQueue::default();
        queue.set_training_floor(f64::from(limits.training_percent) / 100.0);
        Self {
            limits,
            weights: CallerWeights::default(),
            pool: UpstreamPool::new(zone, limits.max_concurrency),
            pending: SlotMap::with_key(),
            queue,
            deadlines: Deadlines::default(),
            budget: RetryBudget::default(),
            retries: RetrySchedule::default(),
            running: 0,
            rng: SmallRng::seed_from_u64(seed),
            actions: Vec::new(),
        }
    }

    /// Adds a request. It is queued, sent or refused by actions that follow.
    pub fn submit(&mut self, call: Call, now: Moment) -> Ticket {
        self.budget.add_request();
        let estimate = self.wait_estimate(&call);
        let class = call.class;
        let deadline = call.deadline;
        let state = RequestState::Detached;
        let check_at = if class == Class::Live && self.pool.is_unavailable() {
            deadline.min(now + UNAVAILABLE_WAIT)
        } else {
            deadline
        };
        let pending = PendingRequest {
            call,
            check_at,
            attempts: 0,
            has_progress: false,
            may_have_run: false,
            avoid: None,
            state,
        };
        let ticket = self.pending.insert(pending);
        if deadline <= now {
            self.refuse(ticket, Kind::DeadlineUnreachable, "the deadline has passed", now);
        } else if !estimate.in_time(now, deadline) {
            let detail = "more work is queued than can be done by the deadline";
            self.refuse(ticket, Kind::DeadlineUnreachable, detail, now);
        } else {
            self.enqueue(ticket, false);
            if self.queue.len(class) > self.limits.max_queued {
                self.refuse_over_limit(ticket, class, now);
            }
            self.send_waiting(now);
        }
        ticket
    }

    /// Cancels a request because its caller has gone.
    pub fn cancel(&mut self, ticket: Ticket, now: Moment) {
        self.detach(ticket, None, now);
        self.pending.remove(ticket);
        self.send_waiting(now);
    }

    /// Handles the end of an attempt: the request is done, tried again or refused.
    pub fn attempt_ended(&mut self, ticket: Ticket, report: AttemptReport, now: Moment) {
        let running =
            self.pending.get(ticket).map(|p| matches!(p.state, RequestState::Running { .. }));
        if running != Some(true) {
            return;
        }
        self.detach(ticket, Some(report), now);
        match report.outcome {
            AttemptOutcome::Answered => {
                self.pending.remove(ticket);
            }
            AttemptOutcome::Unsent | AttemptOutcome::Refused | AttemptOutcome::Unknown => {
                self.retry_or_refuse(ticket, report.outcome, now);
            }
        }
        self.send_waiting(now);
    }

    /// Replaces the set of upstreams.
    pub fn set_upstreams(&mut self, views: &[UpstreamView], now: Moment) {
        self.pool.set_upstreams(views);
        self.send_waiting(now);
    }

    /// Handles a load report of an upstream.
    pub fn load_report(&mut self, upstream: &str, report: LoadReport) {
        self.pool.report(upstream, report);
    }

    /// Changes the limits.
    pub fn set_limits(&mut self, limits: ServiceLimits, now: Moment) {
        self.limits = limits;
        self.queue.set_training_floor(f64::from(limits.training_percent) / 100.0);
        self.pool.set_ceiling(limits.max_concurrency);
        self.send_waiting(now);
    }

    /// Changes the weights of callers and trainers.
    pub fn set_weights(&mut self, weights: CallerWeights) {
        self.weights = weights;
    }

    /// Does what is due at `now`: ends ejections, refuses requests past their deadline, and
    /// sends requests.
    pub fn tick(&mut self, now: Moment) {
        self.pool.tick(now);
        while let Some(ticket) = self.deadlines.pop_due(now) {
            self.check_waiting(ticket, now);
        }
        self.send_waiting(now);
    }

    /// Takes the actions that have become necessary.
    pub fn take_actions(&mut self) -> Vec<DispatchAction> {
        std::mem::take(&mut self.actions)
    }

    /// Records that the running attempt produced a part of the answer, from which the next
    /// attempt continues. A request that makes progress repeats no work: it takes no retry
    /// from the budget, and is not refused for lack of time or of an upstream before its
    /// deadline.
    pub fn progressed(&mut self, ticket: Ticket) {
        if let Some(pending) = self.pending.get_mut(ticket) {
            pending.has_progress = true;
            pending.attempts = 0;
        }
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.deadlines.len()
    }

    /// Number of attempts in flight.
    pub fn running(&self) -> usize {
        self.running
    }

    /// Refuses a waiting request at its deadline, or earlier if no upstream accepts work.
    fn check_waiting(&mut self, ticket: Ticket, now: Moment) {
        let Some(pending) = self.pending.get_mut(ticket) else { return };
        if self.pool.is_unavailable() && !pending.has_progress {
            self.refuse(ticket, Kind::NoUpstream, "no upstream accepts work", now);
        } else if pending.call.deadline > now {
            pending.check_at = pending.call.deadline;
            self.deadlines.insert(pending.check_at, ticket);
        } else {
            self.refuse(ticket, Kind::DeadlinePassed, "the request waited until its deadline", now);
        }
    }

    /// Queues a request again after a failed attempt, or refuses it.
    fn retry_or_refuse(&mut self, ticket: Ticket, outcome: AttemptOutcome, now: Moment) {
        let pending = &mut self.pending[ticket];
        pending.may_have_run |= outcome == AttemptOutcome::Unknown;
        if pending.may_have_run && pending.call.repeat == Repeat::Once {
            let detail = "the attempt broke off after the request was sent";
            self.refuse(ticket, Kind::OutcomeUnknown, detail, now);
            return;
        }
        let spent = pending.attempts >= MAX_ATTEMPTS || pending.call.deadline <= now;
        let progressed = pending.has_progress && pending.attempts == 0;
        if spent || !(progressed || self.budget.take_retry()) {
            self.refuse(ticket, Kind::RetriesSpent, "every attempt failed", now);
            return;
        }
        self.enqueue(ticket, true);
    }

    /// Sends waiting requests while an upstream has room.
    fn send_waiting(&mut self, now: Moment) {
        while let Some((ticket, room)) = self.next_sendable() {
            let pending = &self.pending[ticket];
            let deadline = pending.call.deadline;
            if deadline <= now {
                self.refuse(
                    ticket,
                    Kind::DeadlinePassed,
                    "the request waited until its deadline",
                    now,
                );
                continue;
            }
            if !pending.has_progress
                && !self.wait_estimate(&pending.call).in_time_now(now, deadline)
            {
                let detail = "less time is left than the request takes";
                self.refuse(ticket, Kind::DeadlineUnreachable, detail, now);
                continue;
            }
            let chosen = self.pool.choose(&pending.call, room, pending.avoid, now, &mut self.rng);
            let Some(key) = chosen else { return };
            self.send(ticket, key, now);
        }
    }

    /// The next request that an upstream has room for, and the class whose room it takes.
    fn next_sendable(&self) -> Option<(Ticket, Class)> {
        // To get its minimum share, training takes room of the live class; otherwise live
        // requests would take all room as it becomes free.
        if self.queue.training_due() && self.pool.has_room(Class::Live) {
            return Some((self.queue.peek(Class::Training)?, Class::Live));
        }
        [Class::Live, Class::Training].into_iter().find_map(|class| {
            let ticket = self.queue.peek(class)?;
            self.pool.has_room(class).then_some((ticket, class))
        })
    }

    fn send(&mut self, ticket: Ticket, key: UpstreamKey, now: Moment) {
        let pending = &mut self.pending[ticket];
        let running = RequestState::Running { at: key, since: now };
        if let RequestState::Waiting(position) = std::mem::replace(&mut pending.state, running) {
            self.queue.remove_served(&position);
        }
        self.deadlines.remove(pending.check_at, ticket);
        pending.attempts += 1;
        self.running += 1;
        let upstream = self.pool.start(key);
        self.actions.push(DispatchAction::Send { ticket, upstream });
    }

    fn enqueue(&mut self, ticket: Ticket, front: bool) {
        let pending = &mut self.pending[ticket];
        let weight = self.weights.of(&pending.call.caller);
        let position = if front {
            self.queue.push_front(&pending.call, weight, ticket)
        } else {
            self.queue.push(&pending.call, weight, ticket)
        };
        pending.state = RequestState::Waiting(position);
        self.deadlines.insert(pending.check_at, ticket);
    }

    /// Removes a request from the queue or from its upstream.
    fn detach(&mut self, ticket: Ticket, report: Option<AttemptReport>, now: Moment) {
        let Some(pending) = self.pending.get_mut(ticket) else { return };
        let cost = pending.call.cost;
        match std::mem::replace(&mut pending.state, RequestState::Detached) {
            RequestState::Waiting(position) => {
                self.queue.remove(&position);
                self.deadlines.remove(pending.check_at, ticket);
            }
            RequestState::Running { at, since } => {
                pending.avoid = Some(at);
                self.running -= 1;
                self.pool.end(at, cost, since, report, now);
            }
            RequestState::Detached => {}
        }
    }

    /// Refuses one request because the queue is too long: one of the caller with the largest
    /// backlog for its weight, not the last one that arrived.
    fn refuse_over_limit(&mut self, offered: Ticket, class: Class, now: Moment) {
        let ticket = self.queue.newest_of_largest(class).unwrap_or(offered);
        let own = self.pending[ticket].call.caller == self.pending[offered].call.caller;
        let kind = if ticket == offered || own { Kind::QueueFull } else { Kind::OverShare };
        self.refuse(ticket, kind, "the queue of this priority class is full", now);
    }

    /// Seconds that a request is expected to take at an upstream.
    fn service_time(&self, call: &Call) -> f64 {
        self.pool.typical_latency().unwrap_or_default() * f64::from(call.cost.max(1))
    }

    fn wait_estimate(&self, call: &Call) -> WaitEstimate {
        let weight = self.weights.of(&call.caller);
        WaitEstimate {
            cost_ahead: self.queue.cost_ahead(call, weight),
            cost_rate: self.pool.cost_rate() * self.queue.capacity_share(call.class),
            service_time: self.service_time(call),
        }
    }

    fn refuse(&mut self, ticket: Ticket, kind: Kind, detail: &str, now: Moment) {
        self.detach(ticket, None, now);
        let Some(pending) = self.pending.remove(ticket) else { return };
        let estimate = self.wait_estimate(&pending.call);
        let after = self.retries.schedule(pending.call.cost, &estimate, now, &mut self.rng);
        // An earlier attempt may have run, whatever the outcome of the last one.
        let kind = if pending.may_have_run { Kind::OutcomeUnknown } else { kind };
        let refusal = Refusal::new(kind, detail).with_retry_after(after);
        self.actions.push(DispatchAction::Refuse { ticket, refusal });
    }
}
