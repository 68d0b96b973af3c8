//! Slots for requests without weights: the queues of those that wait, one for each service whose
//! replicas report their load.

use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use parking_lot::Mutex;
use tokio::sync::{Notify, oneshot};

use super::app::App;
use super::slots::SlotGuard;
use crate::decide::load::{CallDecision, CallQueue, CallRequest, CallTicket};
use crate::decide::retry_after::DEFAULT_RETRY_AFTER;
use crate::decide::{AttemptRequest, CallChoice, Class, Fleet, ReplicaOutcome};
use crate::error::{Kind, Refusal};
use crate::metrics::EntryMetrics;
use crate::{Moment, Name};

/// How often the queues are processed while they are not empty. Reports of other nodes' requests
/// lose their weight, and exclusions end, without any event. A call takes 20 to 80 ms.
const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The queue of one service. A waiting call gets its decision over the channel.
type Queue = CallQueue<oneshot::Sender<CallDecision>>;

/// The queues of all services.
#[derive(Debug)]
pub(super) struct Calls {
    queues: Mutex<HashMap<Name, Queue>>,
    /// The number of calls that wait, of all services.
    waiting: AtomicUsize,
    /// Notified when a call begins to wait.
    call_added: Notify,
    metrics: Arc<EntryMetrics>,
}

impl Calls {
    /// Empty queues.
    pub(super) fn new(metrics: Arc<EntryMetrics>) -> Self {
        Self {
            queues: Mutex::default(),
            waiting: AtomicUsize::new(0),
            call_added: Notify::new(),
            metrics,
        }
    }

    fn has_waiting(&self) -> bool {
        self.waiting.load(Ordering::Relaxed) > 0
    }

    /// Sends waiting calls after a change at a replica that may have made room there. Does nothing
    /// if none waits for its service.
    pub(super) fn assign_at(&self, replica: &str, fleet: &Mutex<Fleet>, now: Moment) {
        if !self.has_waiting() {
            return;
        }
        let mut queues = self.queues.lock();
        let mut fleet = fleet.lock();
        let Some(service) = fleet.get(replica).map(|listed| listed.service.clone()) else { return };
        let Some(queue) = queues.get_mut(&service).filter(|queue| !queue.is_empty()) else {
            return;
        };
        queue.assign(&mut fleet, now);
        self.deliver(&service, queue, &mut fleet, now);
        self.count_waiting(&queues);
    }

    /// Lets each queue that is not empty make the decisions that are due.
    fn tick(&self, fleet: &Mutex<Fleet>, now: Moment) {
        let mut queues = self.queues.lock();
        let mut fleet = fleet.lock();
        for (service, queue) in queues.iter_mut().filter(|(_, queue)| !queue.is_empty()) {
            queue.tick(&mut fleet, now);
            self.deliver(service, queue, &mut fleet, now);
        }
        self.count_waiting(&queues);
    }

    /// Adds a call to the queue of a service.
    fn add(
        &self,
        service: &Name,
        request: CallRequest,
        fleet: &Mutex<Fleet>,
        now: Moment,
    ) -> (Option<CallTicket>, oneshot::Receiver<CallDecision>) {
        let (decide, decided) = oneshot::channel();
        let mut queues = self.queues.lock();
        let mut fleet = fleet.lock();
        let queue = queues
            .entry(service.clone())
            .or_insert_with(|| Queue::new(service.clone(), rand::random()));
        let ticket = queue.submit(request, decide, &mut fleet, now);
        self.deliver(service, queue, &mut fleet, now);
        self.count_waiting(&queues);
        if ticket.is_some() {
            self.call_added.notify_one();
        }
        (ticket, decided)
    }

    /// Removes a call whose sender has gone.
    fn cancel(&self, service: &Name, ticket: CallTicket) {
        let mut queues = self.queues.lock();
        if let Some(queue) = queues.get_mut(service) {
            queue.cancel(ticket);
            self.metrics.set_waiting_calls(service, queue.len());
        }
        self.count_waiting(&queues);
    }

    /// Hands the decisions of a queue to the calls. A slot whose call has gone is released.
    fn deliver(&self, service: &str, queue: &mut Queue, fleet: &mut Fleet, now: Moment) {
        for (call, decision) in queue.take_decisions() {
            if let Err(CallDecision::Send(target)) = call.send(decision) {
                fleet.end_call(&target.id, ReplicaOutcome::Abandoned, now);
            }
        }
        self.metrics.set_waiting_calls(service, queue.len());
    }

    fn count_waiting(&self, queues: &HashMap<Name, Queue>) {
        self.waiting.store(queues.values().map(CallQueue::len).sum(), Ordering::Relaxed);
    }
}

impl App {
    /// Takes a slot for a request without weights. On services whose replicas report their load, it
    /// waits while all are full, and is refused if it can't be answered in time; elsewhere, it is
    /// sent even to a full replica. `call` is only used if it waits.
    pub(super) async fn wait_for_call_slot(
        &self,
        request: &AttemptRequest<'_>,
        call: impl FnOnce() -> CallRequest,
    ) -> Result<SlotGuard<'_>, Refusal> {
        let service = request.service;
        let Some(choice) = self.choose_call_slot(request) else {
            return self.take_slot(request).ok_or_else(no_upstream);
        };
        self.tally.count_call_received(service);
        let outcome = match choice {
            CallChoice::Send(target) => Ok(SlotGuard::started_call(self, target)),
            CallChoice::NoReplica => Err(no_upstream()),
            CallChoice::Full => {
                let began = self.now();
                let outcome = self.queue_call(&service.into(), call()).await;
                let waited = self.now().saturating_sub(began);
                self.tally.observe_call_wait(service, waited);
                outcome
            }
        };
        match &outcome {
            Ok(_) => self.tally.count_call_sent(service),
            Err(refusal) => self.tally.count_call_refused(service, refusal.kind),
        }
        outcome
    }

    /// Takes a slot at once if no call waits for one. None if calls to the service don't wait: they
    /// do where organisations share it, or its replicas report the speed of their machines.
    fn choose_call_slot(&self, request: &AttemptRequest<'_>) -> Option<CallChoice> {
        let shared = self.routes().is_some_and(|routes| routes.has_organisations());
        let mut fleet = self.slots.fleet.lock();
        let service = request.service;
        if !fleet.queues_calls(service) || !(shared || fleet.reports_speed(service)) {
            return None;
        }
        if self.calls.has_waiting() {
            return Some(CallChoice::Full);
        }
        let now = self.now();
        let choice = fleet.choose_for_call(request, now);
        if let CallChoice::Send(target) = &choice {
            fleet.start_call(&target.id, now);
        }
        Some(choice)
    }

    async fn queue_call(
        &self,
        service: &Name,
        call: CallRequest,
    ) -> Result<SlotGuard<'_>, Refusal> {
        let began = self.now();
        let (class, deadline) = (call.class, call.deadline);
        let (ticket, decided) = self.calls.add(service, call, &self.slots.fleet, began);
        let mut waiting = WaitingCall { app: self, service, ticket, decided };
        let decision = (&mut waiting.decided).await;
        let waited_ms = self.now().saturating_sub(began).as_millis() as u64;
        match decision {
            Ok(CallDecision::Send(target)) => {
                tracing::debug!(event = "call_sent", %service, replica = %target.id, class = class_name(class), waited_ms);
                Ok(SlotGuard::started_call(self, target))
            }
            Ok(CallDecision::Refuse(refusal)) => {
                tracing::info!(
                    event = "call_refused",
                    %service,
                    class = class_name(class),
                    kind = %refusal.kind,
                    waited_ms,
                    left_ms = deadline.saturating_sub(self.now()).as_millis() as u64,
                    waiting = self.calls.waiting.load(Ordering::Relaxed),
                    retry_after_ms = refusal.retry_after.map(|d| d.as_millis() as u64)
                );
                Err(refusal)
            }
            Err(_) => Err(no_upstream()),
        }
    }

    /// Processes the queues at intervals while any call waits. Runs for as long as the process.
    pub(super) async fn run_call_queues(&self) {
        loop {
            self.calls.call_added.notified().await;
            while self.calls.has_waiting() {
                tokio::time::sleep(TICK_INTERVAL).await;
                self.calls.tick(&self.slots.fleet, self.now());
            }
        }
    }
}

/// The name of a class in log lines.
fn class_name(class: Class) -> &'static str {
    match class {
        Class::Live => "live",
        Class::Training => "reward",
    }
}

fn no_upstream() -> Refusal {
    Refusal::new(Kind::NoUpstream, "no replica accepts work").with_retry_after(DEFAULT_RETRY_AFTER)
}

/// Removes a call from its queue when it is dropped, as when its client disconnects.
struct WaitingCall<'a> {
    app: &'a App,
    service: &'a Name,
    /// None if it was decided at once.
    ticket: Option<CallTicket>,
    decided: oneshot::Receiver<CallDecision>,
}

impl Drop for WaitingCall<'_> {
    fn drop(&mut self) {
        if let Some(ticket) = self.ticket {
            self.app.calls.cancel(self.service, ticket);
        }
        // A slot that was assigned but never used is released, also one that was assigned at once.
        self.decided.close();
        if let Ok(CallDecision::Send(target)) = self.decided.try_recv() {
            let now = self.app.now();
            self.app.slots.fleet.lock().end_call(&target.id, ReplicaOutcome::Abandoned, now);
            self.app.calls.assign_at(&target.id, &self.app.slots.fleet, now);
        }
    }
}
