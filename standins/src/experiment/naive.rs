//! The naive baseline: round robin without limits, three retries, first in, first out.

use mulberrycourse::decide::{
    AttemptOutcome, AttemptReport, Call, DispatchAction, Ticket, UpstreamView,
};
use mulberrycourse::error::{Kind, Refusal};
use mulberrycourse::{Moment, Name};
use slotmap::SlotMap;

/// Largest number of attempts of one request.
const MAX_ATTEMPTS: u32 = 4;

/// Naive counterpart of `Dispatch`, which results are compared with.
#[derive(Debug, Default)]
pub struct NaiveDispatch {
    /// The upstreams that accept requests.
    upstreams: Vec<Name>,
    /// Requests sent so far, which selects the next upstream.
    sent_count: usize,
    /// The number of attempts of each pending request.
    attempts: SlotMap<Ticket, u32>,
    actions: Vec<DispatchAction>,
}

impl NaiveDispatch {
    /// Submits a request.
    pub fn submit(&mut self, _: Call, _: Moment) -> Ticket {
        let ticket = self.attempts.insert(0);
        self.send(ticket);
        ticket
    }

    /// Cancels a request whose caller no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) {
        self.attempts.remove(ticket);
    }

    /// Records the end of an attempt, and retries unless the request was answered.
    pub fn attempt_ended(&mut self, ticket: Ticket, report: AttemptReport) {
        match report.outcome {
            AttemptOutcome::Answered => self.cancel(ticket),
            AttemptOutcome::Unsent | AttemptOutcome::Refused | AttemptOutcome::Unknown => {
                self.send(ticket)
            }
        }
    }

    /// Sets the upstreams.
    pub fn set_upstreams(&mut self, views: &[UpstreamView]) {
        self.upstreams = views.iter().filter(|v| v.accepting).map(|v| v.name.clone()).collect();
    }

    /// Returns and clears the pending actions.
    pub fn take_actions(&mut self) -> Vec<DispatchAction> {
        std::mem::take(&mut self.actions)
    }

    /// Sends an attempt to the next upstream, or refuses the request after the last attempt.
    fn send(&mut self, ticket: Ticket) {
        let Some(attempts) = self.attempts.get_mut(ticket) else { return };
        if *attempts == MAX_ATTEMPTS || self.upstreams.is_empty() {
            let refusal = Refusal::new(Kind::RetriesSpent, "every attempt failed");
            self.actions.push(DispatchAction::Refuse { ticket, refusal });
            self.attempts.remove(ticket);
            return;
        }
        *attempts += 1;
        self.sent_count += 1;
        let upstream = self.upstreams[self.sent_count % self.upstreams.len()].clone();
        self.actions.push(DispatchAction::Send { ticket, upstream });
    }
}
