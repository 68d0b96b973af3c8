//! The queue of the calls to one service that have no slot yet: live requests and reward calls.
//!
//! Load pattern: a training step ends, and its reward calls arrive a hundred at a time at a few
//! replicas that live requests use as well; or dozens of replicas are lost at once. Without a
//! queue here, all calls wait in the replicas' own queues, first in, first out: a lookup that
//! takes 21 ms waits behind a hundred reward calls of 80 ms, every answer is late, and callers that
//! could have retried later learn of it at their deadline.
//!
//! A call that finds a replica with room never waits. Of those that wait, live requests are first,
//! reward calls keep a minimum share, and organisations share equally within a priority. A live
//! request that can't be answered in time is refused, on arrival or when that becomes clear.
//! Reward calls are not refused: the wait of one ends only when an answer would be too late, and
//! its sender asks again at the same place in the order.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use slotmap::{SlotMap, new_key_type};

use super::TextLength;
use super::grant_rate::GrantRate;
use crate::decide::retry_after::DEFAULT_RETRY_AFTER;
use crate::decide::{
    AttemptRequest, Call, CallChoice, Class, Deadlines, Fleet, QueuePosition, Repeat, RequestQueue,
    RetrySchedule, WaitEstimate,
};
use crate::edge::replica::Target;
use crate::error::{Kind, Refusal};
use crate::{Moment, Name};

/// Number of waiting live requests of a service. At 40 grants per second, the rate of one small
/// node, the last one would wait for longer than any client's deadline.
const MAX_WAITING_LIVE: usize = 512;
/// Minimum part of the slots that reward calls get while live requests wait as well: the reward
/// calls of three trainers, about 94 per second of 80 ms, need a fifth of 42 slots.
const REWARD_SHARE: f64 = 0.25;
/// Shortest time between two checks whether a waiting request can still be answered in time:
/// about the time of one call.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The lowest priority of a route.
const LOWEST_PRIORITY: u8 = 9;

new_key_type! {
    /// Identifies a waiting call.
    pub struct CallTicket;
}

/// A call as the queue sees it.
#[derive(Debug, Clone, PartialEq)]
pub struct CallRequest {
    /// The organisation; empty if there is none.
    pub organisation: Name,
    /// [`Class::Live`] for a client's request, [`Class::Training`] for a reward call.
    pub class: Class,
    /// The priority of its route; 0 is highest. Each level has twice the share of the next one.
    pub priority: u8,
    /// Its place among the calls of its organisation, class and priority: the deadline of a live
    /// request, and the time at which a reward call was first made.
    pub order: Moment,
    /// When the answer is due.
    pub deadline: Moment,
    /// Replicas that are chosen last.
    pub avoid: Vec<Name>,
    /// Whether the replica with the fewest requests is chosen, as the call may crash it.
    pub apart: bool,
}

/// What becomes of a call.
#[derive(Debug, Clone, PartialEq)]
pub enum CallDecision {
    /// It is sent to this replica, where it is already counted.
    Send(Target),
    /// It is refused. It did not run.
    Refuse(Refusal),
}

/// A waiting call.
#[derive(Debug, Clone)]
struct WaitingCall<T> {
    request: CallRequest,
    call: Call,
    position: QueuePosition,
    /// Calls of its class that were served before it, by the estimate on arrival.
    ahead: f64,
    /// Calls of its class that had been served on arrival.
    served: u64,
    check_at: Moment,
    item: T,
}

/// The calls to one service that wait for a slot. `T` is the caller's handle of a call.
#[derive(Debug)]
pub struct CallQueue<T> {
    service: Name,
    queue: RequestQueue<CallTicket>,
    waiting: SlotMap<CallTicket, WaitingCall<T>>,
    checks: Deadlines<CallTicket>,
    rate: GrantRate,
    /// Waiting calls that were sent, live and reward calls.
    served: [u64; 2],
    retries: RetrySchedule,
    rng: SmallRng,
    decisions: Vec<(T, CallDecision)>,
}

impl<T> CallQueue<T> {
    /// An empty queue. The seed drives the spread of retries.
    pub fn new(service: Name, seed: u64) -> Self {
        let mut queue = RequestQueue::default();
        queue.set_training_floor(REWARD_SHARE);
        Self {
            service,
            queue,
            waiting: SlotMap::with_key(),
            checks: Deadlines::default(),
            rate: GrantRate::default(),
            served: [0; 2],
            retries: RetrySchedule::default(),
            rng: SmallRng::seed_from_u64(seed),
            decisions: Vec::new(),
        }
    }

    /// Number of waiting calls.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Takes the decisions that have been made.
    pub fn take_decisions(&mut self) -> Vec<(T, CallDecision)> {
        std::mem::take(&mut self.decisions)
    }

    /// Sends, refuses or queues a call. Returns its ticket if it waits.
    pub fn submit(
        &mut self,
        request: CallRequest,
        item: T,
        fleet: &mut Fleet,
        now: Moment,
    ) -> Option<CallTicket> {
        self.assign(fleet, now);
        if self.is_empty() {
            match self.choose(&request, fleet, now) {
                CallChoice::Send(target) => {
                    fleet.start_call(&target.id, now);
                    self.decisions.push((item, CallDecision::Send(target)));
                    return None;
                }
                CallChoice::NoReplica => {
                    self.decisions.push((item, CallDecision::Refuse(no_upstream())));
                    return None;
                }
                CallChoice::Full => self.rate.wait_started(now),
            }
        }
        let call = new_call(&request);
        let estimate = self.estimate(&call, request.priority, fleet, now);
        if request.class == Class::Live && !estimate.in_time(now, request.deadline) {
            let detail = "more work is queued than can be done by the deadline";
            let refusal = self.refusal(Kind::DeadlineUnreachable, detail, &estimate, now);
            self.decisions.push((item, CallDecision::Refuse(refusal)));
            return None;
        }
        let ticket = self.enqueue(request, call, &estimate, item, now);
        if self.queue.len(Class::Live) > MAX_WAITING_LIVE {
            self.refuse_over_limit(ticket, fleet, now);
        }
        self.waiting.contains_key(ticket).then_some(ticket)
    }

    /// Removes a call whose sender has gone. Returns true if it waited.
    pub fn cancel(&mut self, ticket: CallTicket) -> bool {
        self.remove(ticket).is_some()
    }

    /// Sends waiting calls while a replica has room.
    pub fn assign(&mut self, fleet: &mut Fleet, now: Moment) {
        while let Some(ticket) = self.next() {
            let request = self.waiting[ticket].request.clone();
            if request.deadline <= now {
                let call = &self.waiting[ticket].call;
                let estimate = self.estimate(call, request.priority, fleet, now);
                self.refuse(ticket, "the deadline passed while the request waited", &estimate, now);
                continue;
            }
            match self.choose(&request, fleet, now) {
                CallChoice::Send(target) => self.send(ticket, target, fleet, now),
                CallChoice::Full => return,
                CallChoice::NoReplica => return self.refuse_all(),
            }
        }
    }

    /// Does what is due: sends calls, and refuses those that can't be answered in time any more.
    pub fn tick(&mut self, fleet: &mut Fleet, now: Moment) {
        if !fleet.accepts_calls(&self.service) {
            return self.refuse_all();
        }
        self.assign(fleet, now);
        while let Some(ticket) = self.checks.pop_due(now) {
            self.check(ticket, fleet, now);
        }
    }

    /// Checks whether a waiting call can still be answered in time.
    fn check(&mut self, ticket: CallTicket, fleet: &Fleet, now: Moment) {
        let Some(waiting) = self.waiting.get(ticket) else { return };
        let (class, deadline) = (waiting.call.class, waiting.request.deadline);
        let served = self.served[index(class)] - waiting.served;
        let ahead = (waiting.ahead - served as f64).max(0.0);
        let estimate = self.estimate(&waiting.call, waiting.request.priority, fleet, now);
        // Calls ahead of it may have left the queue without being served.
        let still_ahead = (estimate.cost_ahead - f64::from(waiting.call.cost)).max(0.0);
        let estimate = WaitEstimate { cost_ahead: ahead.min(still_ahead), ..estimate };
        let latest = estimate.latest_start(deadline);
        let in_time = class == Class::Training || estimate.in_time(now, deadline);
        if latest <= now || !in_time {
            let detail = "the wait is longer than was expected on arrival";
            self.refuse(ticket, detail, &estimate, now);
            return;
        }
        if let Some(waiting) = self.waiting.get_mut(ticket) {
            waiting.check_at = next_check(class, latest, now);
            self.checks.insert(waiting.check_at, ticket);
        }
    }

    /// The call that is sent next.
    fn next(&self) -> Option<CallTicket> {
        let reward = || self.queue.peek(Class::Training);
        if self.queue.training_due() {
            return reward();
        }
        self.queue.peek(Class::Live).or_else(reward)
    }

    fn choose(&self, request: &CallRequest, fleet: &mut Fleet, now: Moment) -> CallChoice {
        let wish = AttemptRequest {
            service: &self.service,
            weights: None,
            avoid: &request.avoid,
            length: TextLength::default(),
            allow_full: true,
            apart: request.apart,
        };
        fleet.choose_for_call(&wish, now)
    }

    fn send(&mut self, ticket: CallTicket, target: Target, fleet: &mut Fleet, now: Moment) {
        let Some(waiting) = self.waiting.remove(ticket) else { return };
        self.queue.remove_served(&waiting.position);
        self.checks.remove(waiting.check_at, ticket);
        self.rate.granted(usual_interval(fleet, &self.service), now);
        self.served[index(waiting.call.class)] += 1;
        fleet.start_call(&target.id, now);
        self.decisions.push((waiting.item, CallDecision::Send(target)));
    }

    fn enqueue(
        &mut self,
        request: CallRequest,
        call: Call,
        estimate: &WaitEstimate,
        item: T,
        now: Moment,
    ) -> CallTicket {
        let latest = estimate.latest_start(request.deadline);
        let check_at = next_check(request.class, latest, now);
        let (queue, served) = (&mut self.queue, self.served[index(request.class)]);
        let ticket = self.waiting.insert_with_key(|ticket| {
            let weight = weight(request.priority);
            let position = queue.push_by_time(&call, weight, request.order, ticket);
            let ahead = estimate.cost_ahead;
            WaitingCall { request, call, position, ahead, served, check_at, item }
        });
        self.checks.insert(check_at, ticket);
        ticket
    }

    /// Removes a call without sending it.
    fn remove(&mut self, ticket: CallTicket) -> Option<WaitingCall<T>> {
        let waiting = self.waiting.remove(ticket)?;
        self.queue.remove(&waiting.position);
        self.checks.remove(waiting.check_at, ticket);
        Some(waiting)
    }

    /// Refuses a call that can't be answered in time.
    fn refuse(&mut self, ticket: CallTicket, detail: &str, estimate: &WaitEstimate, now: Moment) {
        let Some(waiting) = self.remove(ticket) else { return };
        let refusal = match waiting.request.class {
            Class::Live => self.refusal(Kind::DeadlineUnreachable, detail, estimate, now),
            // Its sender asks again soon whatever the refusal says, and must not take a place in
            // the schedule of the live requests' retries.
            Class::Training => Refusal::new(Kind::DeadlineUnreachable, detail)
                .with_retry_after(DEFAULT_RETRY_AFTER),
        };
        self.decisions.push((waiting.item, CallDecision::Refuse(refusal)));
    }

    /// Refuses one live request because too many wait: the newest of the organisation with the
    /// most of them, which may not be the last that arrived.
    fn refuse_over_limit(&mut self, offered: CallTicket, fleet: &Fleet, now: Moment) {
        let ticket = self.queue.newest_of_largest(Class::Live).unwrap_or(offered);
        let kind = if ticket == offered { Kind::QueueFull } else { Kind::OverShare };
        let Some(waiting) = self.remove(ticket) else { return };
        let estimate = self.estimate(&waiting.call, waiting.request.priority, fleet, now);
        let refusal = self.refusal(kind, "too many requests wait", &estimate, now);
        self.decisions.push((waiting.item, CallDecision::Refuse(refusal)));
    }

    /// Refuses all waiting calls because no replica accepts work.
    fn refuse_all(&mut self) {
        let tickets: Vec<CallTicket> = self.waiting.keys().collect();
        for ticket in tickets {
            if let Some(waiting) = self.remove(ticket) {
                self.decisions.push((waiting.item, CallDecision::Refuse(no_upstream())));
            }
        }
    }

    fn refusal(
        &mut self,
        kind: Kind,
        detail: &str,
        estimate: &WaitEstimate,
        now: Moment,
    ) -> Refusal {
        let after = self.retries.schedule(1, estimate, now, &mut self.rng);
        Refusal::new(kind, detail).with_retry_after(after)
    }

    fn estimate(&self, call: &Call, priority: u8, fleet: &Fleet, now: Moment) -> WaitEstimate {
        let rate = self.rate.per_second(usual_interval(fleet, &self.service), now);
        WaitEstimate {
            cost_ahead: self.queue.cost_ahead(call, weight(priority)),
            cost_rate: rate * self.queue.capacity_share(call.class),
            service_time: fleet.call_capacity(&self.service).0,
        }
    }
}

/// When a waiting call is checked next: a live request after half of the time that is left, so
/// that there is time for a retry elsewhere if its wait turns out to be too long.
fn next_check(class: Class, latest_start: Moment, now: Moment) -> Moment {
    let left = latest_start.saturating_sub(now);
    match class {
        Class::Live if left > MIN_CHECK_INTERVAL => now + left / 2,
        Class::Live | Class::Training => latest_start,
    }
}

/// The interval between two grants in seconds if this node had the whole service for itself.
fn usual_interval(fleet: &Fleet, service: &str) -> f64 {
    let (time, slots) = fleet.call_capacity(service);
    if slots > 0.0 { time / slots } else { 0.0 }
}

fn new_call(request: &CallRequest) -> Call {
    Call {
        // The weight of a flow is that of its priority, so that each priority of an organisation
        // is a flow of its own.
        caller: format!("{}/{}", request.priority, request.organisation).into(),
        class: request.class,
        repeat: Repeat::Once,
        cost: 1,
        deadline: request.deadline,
        fingerprint: 0,
        prefix: None,
    }
}

/// The weight of a priority: twice that of the next lower one.
fn weight(priority: u8) -> u32 {
    1 << (LOWEST_PRIORITY - priority.min(LOWEST_PRIORITY))
}

fn index(class: Class) -> usize {
    match class {
        Class::Live => 0,
        Class::Training => 1,
    }
}

fn no_upstream() -> Refusal {
    Refusal::new(Kind::NoUpstream, "no replica accepts work").with_retry_after(DEFAULT_RETRY_AFTER)
}
