//! The naive version: round robin, no limits, three retries, first in, first out.

use mulberrycourse::decide::{
    AttemptOutcome, AttemptReport, Call, DispatchAction, Ticket, UpstreamView,
};
use mulberrycourse::error::{Kind, Refusal};
use mulberrycourse::{Moment, Name};
use slotmap::SlotMap;

/// Attempts of one request.
const ATTEMPTS: u32 = 4;

/// Its state.
#[derive(Debug, Default)]
pub struct Naive {
    upstreams: Vec<Name>,
    turn: usize,
    attempts: SlotMap<Ticket, u32>,
    actions: Vec<DispatchAction>,
}

impl Naive {
    /// Takes in a request.
    pub fn offer(&mut self, _: Call, _: Moment) -> Ticket {
        let ticket = self.attempts.insert(0);
        self.send(ticket);
        ticket
    }

    /// The one who asked has gone.
    pub fn withdraw(&mut self, ticket: Ticket) {
        self.attempts.remove(ticket);
    }

    /// An attempt ended.
    pub fn ended(&mut self, ticket: Ticket, report: AttemptReport) {
        match report.outcome {
            AttemptOutcome::Answered => self.withdraw(ticket),
            AttemptOutcome::Unsent | AttemptOutcome::Refused | AttemptOutcome::Unknown => {
                self.send(ticket)
            }
        }
    }

    /// The set of upstreams changed.
    pub fn set_upstreams(&mut self, views: &[UpstreamView]) {
        self.upstreams = views.iter().filter(|v| v.accepting).map(|v| v.name.clone()).collect();
    }

    /// Takes the actions that have come up.
    pub fn actions(&mut self) -> Vec<DispatchAction> {
        std::mem::take(&mut self.actions)
    }

    fn send(&mut self, ticket: Ticket) {
        let Some(attempts) = self.attempts.get_mut(ticket) else { return };
        if *attempts == ATTEMPTS || self.upstreams.is_empty() {
            let refusal = Refusal::new(Kind::RetriesSpent, "every attempt failed");
            self.actions.push(DispatchAction::Refuse { ticket, refusal });
            self.attempts.remove(ticket);
            return;
        }
        *attempts += 1;
        self.turn += 1;
        let upstream = self.upstreams[self.turn % self.upstreams.len()].clone();
        self.actions.push(DispatchAction::Send { ticket, upstream });
    }
}
