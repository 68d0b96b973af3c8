//! Connects [`Dispatch`] with the tasks of the requests, which wait here for an upstream.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use parking_lot::Mutex;
use slotmap::SecondaryMap;
use tokio::sync::oneshot;

use super::Clock;
use crate::decide::{
    AttemptHistory, AttemptOutcome, AttemptReport, Call, CallerWeights, Dispatch, DispatchAction,
    LoadReport, ServiceLimits, Ticket, UpstreamView,
};
use crate::error::{Kind, Refusal};
use crate::metrics::{Metrics, RetryReason};
use crate::{Moment, Name};

/// Receives the name of the chosen upstream, or the refusal.
type Waiter = oneshot::Sender<Result<Name, Refusal>>;

#[derive(Debug)]
struct Inner {
    dispatch: Dispatch,
    waiters: SecondaryMap<Ticket, Waiter>,
    /// The addresses of the upstreams that accept requests.
    addresses: HashMap<Name, SocketAddr>,
}

/// Assigns the requests of one service to upstreams. Each service has its own lock.
#[derive(Debug)]
pub(super) struct Dispatcher {
    inner: Mutex<Inner>,
    clock: Clock,
    metrics: Arc<Metrics>,
}

/// The permission to send a request to an upstream. Dropping it cancels the request, unless the
/// attempt was reported as ended.
#[derive(Debug)]
pub(super) struct SendPermit {
    dispatcher: Arc<Dispatcher>,
    ticket: Ticket,
    attempt_start: Moment,
    reported: bool,
    history: AttemptHistory,
    /// The name of the upstream.
    pub(super) upstream: Name,
    /// The address of the upstream.
    pub(super) address: SocketAddr,
}

impl Dispatcher {
    /// Creates a dispatcher without upstreams.
    pub(super) fn new(
        limits: ServiceLimits,
        zone: Name,
        clock: Clock,
        metrics: Arc<Metrics>,
    ) -> Self {
        let inner = Inner {
            dispatch: Dispatch::new(limits, zone, rand::random()),
            waiters: SecondaryMap::new(),
            addresses: HashMap::new(),
        };
        Self { inner: Mutex::new(inner), clock, metrics }
    }

    /// Submits a request and waits until it may be sent to an upstream, or is refused.
    pub(super) async fn acquire(self: &Arc<Self>, call: Call) -> Result<SendPermit, Refusal> {
        let (sender, receiver) = oneshot::channel();
        let ticket = {
            let mut inner = self.inner.lock();
            let ticket = inner.dispatch.submit(call, self.clock.now());
            inner.waiters.insert(ticket, sender);
            inner.deliver_actions();
            ticket
        };
        self.wait_for_permit(ticket, receiver).await
    }

    /// Replaces the set of upstreams.
    pub(super) fn set_upstreams(&self, upstreams: &[(UpstreamView, SocketAddr)]) {
        let mut inner = self.inner.lock();
        let accepting = upstreams.iter().filter(|(view, _)| view.accepting);
        inner.addresses = accepting.map(|(v, a)| (v.name.clone(), *a)).collect();
        let views: Vec<UpstreamView> = upstreams.iter().map(|(view, _)| view.clone()).collect();
        inner.dispatch.set_upstreams(&views, self.clock.now());
        inner.deliver_actions();
    }

    /// Changes the limits of the service.
    pub(super) fn set_limits(&self, limits: ServiceLimits) {
        let mut inner = self.inner.lock();
        inner.dispatch.set_limits(limits, self.clock.now());
        inner.deliver_actions();
    }

    /// Changes the weights of callers and trainers.
    pub(super) fn set_weights(&self, weights: CallerWeights) {
        self.inner.lock().dispatch.set_weights(weights);
    }

    /// Records the number of requests that an upstream reports, which come from all nodes.
    pub(super) fn report_load(&self, upstream: &str, total: u32) {
        let report = LoadReport { total, requested_at: self.clock.now() };
        self.inner.lock().dispatch.load_report(upstream, report);
    }

    /// Does what is due at the current time.
    pub(super) fn tick(&self) {
        let mut inner = self.inner.lock();
        inner.dispatch.tick(self.clock.now());
        inner.deliver_actions();
    }

    /// Returns the number of waiting requests and the number of attempts in flight.
    pub(super) fn counts(&self) -> (usize, usize) {
        let inner = self.inner.lock();
        (inner.dispatch.waiting(), inner.dispatch.running())
    }

    /// Waits for a permit. The final check before a request is sent is here: if the upstream has
    /// left since it was chosen, nothing is sent and the request waits for another one.
    async fn wait_for_permit(
        self: &Arc<Self>,
        ticket: Ticket,
        mut receiver: oneshot::Receiver<Result<Name, Refusal>>,
    ) -> Result<SendPermit, Refusal> {
        loop {
            let mut guard = CancelOnDrop { dispatcher: self, ticket, disarmed: false };
            let received = receiver.await;
            guard.disarmed = true;
            let lost =
                || Refusal::new(Kind::Internal, "the dispatcher dropped the request unanswered");
            let upstream = received.map_err(|_| lost())??;
            let address = self.inner.lock().addresses.get(&upstream).copied();
            if let Some(address) = address {
                let dispatcher = self.clone();
                let attempt_start = self.clock.now();
                let history = AttemptHistory::new();
                let reported = false;
                return Ok(SendPermit {
                    dispatcher,
                    ticket,
                    attempt_start,
                    reported,
                    history,
                    upstream,
                    address,
                });
            }
            receiver = self.requeue(ticket);
        }
    }

    /// Queues a request again whose upstream left before anything was sent.
    fn requeue(&self, ticket: Ticket) -> oneshot::Receiver<Result<Name, Refusal>> {
        let (sender, receiver) = oneshot::channel();
        let report = AttemptReport {
            outcome: AttemptOutcome::Unsent,
            took: Duration::ZERO,
            actual_cost: None,
        };
        let mut inner = self.inner.lock();
        inner.waiters.insert(ticket, sender);
        inner.dispatch.attempt_ended(ticket, report, self.clock.now());
        inner.deliver_actions();
        receiver
    }

    fn cancel(&self, ticket: Ticket) {
        let mut inner = self.inner.lock();
        inner.waiters.remove(ticket);
        inner.dispatch.cancel(ticket, self.clock.now());
        inner.deliver_actions();
    }
}

impl Inner {
    /// Passes each action to the task that waits for it.
    fn deliver_actions(&mut self) {
        for action in self.dispatch.take_actions() {
            let (ticket, result) = match action {
                DispatchAction::Send { ticket, upstream } => (ticket, Ok(upstream)),
                DispatchAction::Refuse { ticket, refusal } => (ticket, Err(refusal)),
            };
            if let Some(waiter) = self.waiters.remove(ticket) {
                let _ = waiter.send(result);
            }
        }
    }
}

/// Cancels a request if its task is dropped while it waits.
struct CancelOnDrop<'a> {
    dispatcher: &'a Dispatcher,
    ticket: Ticket,
    disarmed: bool,
}

impl Drop for CancelOnDrop<'_> {
    fn drop(&mut self) {
        if !self.disarmed {
            self.dispatcher.cancel(self.ticket);
        }
    }
}

impl SendPermit {
    /// Marks the attempt as sent now. The time that it waited before does not count for the
    /// upstream.
    pub(super) fn mark_sent(&mut self) {
        self.attempt_start = self.dispatcher.clock.now();
    }

    /// Adjusts a refusal to what the attempts so far say about whether the request ran.
    pub(super) fn adjust_refusal(&self, refusal: Refusal) -> Refusal {
        self.history.adjust(refusal)
    }

    /// Reports that the complete answer was received. `actual_cost` is its cost at this upstream,
    /// if known.
    pub(super) fn finish(mut self, actual_cost: Option<u32>) {
        self.report(AttemptOutcome::Answered, actual_cost, None);
    }

    /// Reports that the attempt produced a part of the answer, from which the next attempt
    /// continues.
    pub(super) fn report_progress(&self) {
        self.dispatcher.inner.lock().dispatch.progressed(self.ticket);
    }

    /// Reports that the attempt failed, and waits until the request may be sent again or is
    /// refused.
    pub(super) async fn retry(mut self, outcome: AttemptOutcome) -> Result<SendPermit, Refusal> {
        let reason = match outcome {
            AttemptOutcome::Unsent => RetryReason::Unsent,
            AttemptOutcome::Refused => RetryReason::Refused,
            AttemptOutcome::Unknown | AttemptOutcome::Answered => RetryReason::Unknown,
        };
        let (sender, receiver) = oneshot::channel();
        self.report(outcome, None, Some(sender));
        let mut history = self.history;
        history.record(outcome);
        let permit = self.dispatcher.wait_for_permit(self.ticket, receiver).await;
        let mut permit = permit.map_err(|refusal| history.adjust(refusal))?;
        permit.history = history;
        self.dispatcher.metrics.count_retry(reason);
        Ok(permit)
    }

    fn report(
        &mut self,
        outcome: AttemptOutcome,
        actual_cost: Option<u32>,
        waiter: Option<Waiter>,
    ) {
        self.reported = true;
        let now = self.dispatcher.clock.now();
        let took = now.saturating_sub(self.attempt_start);
        let report = AttemptReport { outcome, took, actual_cost };
        let mut inner = self.dispatcher.inner.lock();
        if let Some(waiter) = waiter {
            inner.waiters.insert(self.ticket, waiter);
        }
        inner.dispatch.attempt_ended(self.ticket, report, now);
        inner.deliver_actions();
    }
}

impl Drop for SendPermit {
    fn drop(&mut self) {
        if !self.reported {
            self.dispatcher.cancel(self.ticket);
        }
    }
}
