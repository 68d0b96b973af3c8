//! The shell around [`Dispatch`]: tasks wait here for their turn at an upstream.

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

type Waiter = oneshot::Sender<Result<Name, Refusal>>;

#[derive(Debug)]
struct Inner {
    dispatch: Dispatch,
    waiters: SecondaryMap<Ticket, Waiter>,
    addresses: HashMap<Name, SocketAddr>,
}

/// One service's dispatch, behind its own lock.
#[derive(Debug)]
pub(super) struct Dispatcher {
    inner: Mutex<Inner>,
    clock: Clock,
    metrics: Arc<Metrics>,
}

/// A request's turn at an upstream. Dropping it withdraws the request.
#[derive(Debug)]
pub(super) struct Turn {
    dispatcher: Arc<Dispatcher>,
    ticket: Ticket,
    started: Moment,
    ended: bool,
    history: AttemptHistory,
    /// The upstream's name.
    pub(super) upstream: Name,
    /// The upstream's address.
    pub(super) address: SocketAddr,
}

impl Dispatcher {
    /// A dispatcher without upstreams.
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

    /// Waits for a turn, or for the refusal.
    pub(super) async fn acquire(self: &Arc<Self>, call: Call) -> Result<Turn, Refusal> {
        let (sender, receiver) = oneshot::channel();
        let ticket = {
            let mut inner = self.inner.lock();
            let ticket = inner.dispatch.submit(call, self.clock.now());
            inner.waiters.insert(ticket, sender);
            inner.deliver();
            ticket
        };
        self.turn(ticket, receiver).await
    }

    /// The set of upstreams changed.
    pub(super) fn set_upstreams(&self, upstreams: &[(UpstreamView, SocketAddr)]) {
        let mut inner = self.inner.lock();
        let open = upstreams.iter().filter(|(view, _)| view.accepting);
        inner.addresses = open.map(|(v, a)| (v.name.clone(), *a)).collect();
        let views: Vec<UpstreamView> = upstreams.iter().map(|(view, _)| view.clone()).collect();
        inner.dispatch.set_upstreams(&views, self.clock.now());
        inner.deliver();
    }

    /// The bundle changed the limits.
    pub(super) fn set_limits(&self, limits: ServiceLimits) {
        let mut inner = self.inner.lock();
        inner.dispatch.set_limits(limits, self.clock.now());
        inner.deliver();
    }

    /// The bundle changed the weights of callers and trainers.
    pub(super) fn set_shares(&self, shares: CallerWeights) {
        self.inner.lock().dispatch.set_weights(shares);
    }

    /// An upstream said how many requests it has, all nodes together.
    pub(super) fn load_report(&self, upstream: &str, total: u32) {
        let report = LoadReport { total, requested_at: self.clock.now() };
        self.inner.lock().dispatch.load_report(upstream, report);
    }

    /// Time passed.
    pub(super) fn tick(&self) {
        let mut inner = self.inner.lock();
        inner.dispatch.tick(self.clock.now());
        inner.deliver();
    }

    /// Requests that wait, and attempts in flight.
    pub(super) fn held(&self) -> (usize, usize) {
        let inner = self.inner.lock();
        (inner.dispatch.waiting(), inner.dispatch.running())
    }

    /// Waits for a turn. The last look before dispatch is here: an upstream that left
    /// since it was chosen gets nothing, and the request waits for another.
    async fn turn(
        self: &Arc<Self>,
        ticket: Ticket,
        mut receiver: oneshot::Receiver<Result<Name, Refusal>>,
    ) -> Result<Turn, Refusal> {
        loop {
            let mut waiting = Waiting { dispatcher: self, ticket, over: false };
            let told = receiver.await;
            waiting.over = true;
            let gone = || Refusal::new(Kind::Internal, "the request was lost in the queue");
            let upstream = told.map_err(|_| gone())??;
            let address = self.inner.lock().addresses.get(&upstream).copied();
            if let Some(address) = address {
                let dispatcher = self.clone();
                let started = self.clock.now();
                let history = AttemptHistory::new();
                let ended = false;
                return Ok(Turn { dispatcher, ticket, started, ended, history, upstream, address });
            }
            receiver = self.returned(ticket);
        }
    }

    /// The upstream left as the turn came: nothing was sent.
    fn returned(&self, ticket: Ticket) -> oneshot::Receiver<Result<Name, Refusal>> {
        let (sender, receiver) = oneshot::channel();
        let report = AttemptReport {
            outcome: AttemptOutcome::Unsent,
            took: Duration::ZERO,
            actual_cost: None,
        };
        let mut inner = self.inner.lock();
        inner.waiters.insert(ticket, sender);
        inner.dispatch.attempt_ended(ticket, report, self.clock.now());
        inner.deliver();
        receiver
    }

    fn withdraw(&self, ticket: Ticket) {
        let mut inner = self.inner.lock();
        inner.waiters.remove(ticket);
        inner.dispatch.cancel(ticket, self.clock.now());
        inner.deliver();
    }
}

impl Inner {
    /// Hands each action to the task that waits for it.
    fn deliver(&mut self) {
        for action in self.dispatch.take_actions() {
            let (ticket, told) = match action {
                DispatchAction::Send { ticket, upstream } => (ticket, Ok(upstream)),
                DispatchAction::Refuse { ticket, refusal } => (ticket, Err(refusal)),
            };
            if let Some(waiter) = self.waiters.remove(ticket) {
                let _ = waiter.send(told);
            }
        }
    }
}

/// Withdraws a request whose task goes away while it waits.
struct Waiting<'a> {
    dispatcher: &'a Dispatcher,
    ticket: Ticket,
    over: bool,
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        if !self.over {
            self.dispatcher.withdraw(self.ticket);
        }
    }
}

impl Turn {
    /// The attempt is sent now: what it waited before is not the upstream's time.
    pub(super) fn begin(&mut self) {
        self.started = self.dispatcher.clock.now();
    }

    /// A refusal as it may be told after the attempts so far.
    pub(super) fn judge(&self, refusal: Refusal) -> Refusal {
        self.history.adjust(refusal)
    }

    /// The whole answer came. `done` is what it came to at this upstream, if that is known.
    pub(super) fn done(mut self, done: Option<u32>) {
        self.report(AttemptOutcome::Answered, done, None);
    }

    /// The attempt brought a part of the answer that the next goes on from.
    pub(super) fn progressed(&self) {
        self.dispatcher.inner.lock().dispatch.progressed(self.ticket);
    }

    /// The attempt failed: waits for another turn, or for the refusal.
    pub(super) async fn again(mut self, outcome: AttemptOutcome) -> Result<Turn, Refusal> {
        let reason = match outcome {
            AttemptOutcome::Unsent => RetryReason::Unsent,
            AttemptOutcome::Refused => RetryReason::Refused,
            AttemptOutcome::Unknown | AttemptOutcome::Answered => RetryReason::Unknown,
        };
        let (sender, receiver) = oneshot::channel();
        self.report(outcome, None, Some(sender));
        let mut history = self.history;
        history.record(outcome);
        let turn = self.dispatcher.turn(self.ticket, receiver).await;
        let mut turn = turn.map_err(|refusal| history.adjust(refusal))?;
        turn.history = history;
        self.dispatcher.metrics.retried(reason);
        Ok(turn)
    }

    fn report(&mut self, outcome: AttemptOutcome, done: Option<u32>, waiter: Option<Waiter>) {
        self.ended = true;
        let now = self.dispatcher.clock.now();
        let report =
            AttemptReport { outcome, took: now.saturating_sub(self.started), actual_cost: done };
        let mut inner = self.dispatcher.inner.lock();
        if let Some(waiter) = waiter {
            inner.waiters.insert(self.ticket, waiter);
        }
        inner.dispatch.attempt_ended(self.ticket, report, now);
        inner.deliver();
    }
}

impl Drop for Turn {
    fn drop(&mut self) {
        if !self.ended {
            self.dispatcher.withdraw(self.ticket);
        }
    }
}
