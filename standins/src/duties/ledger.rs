//! The platform's side of the leader's duties: usage reports and orders of replicas.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use mulberrycourse::Name;
use mulberrycourse::edge::duty::{Duties, DutyOutcome, ScaleOrder, Term, UsageReport};
use parking_lot::Mutex;
use tokio::time::Instant;

/// How long the platform takes to respond.
const RESPONSE_DELAY: Duration = Duration::from_millis(10);

/// A usage report as the platform received it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReceivedReport {
    /// The leader that sent it and its fencing token.
    pub term: Term,
    /// The report.
    pub report: UsageReport,
    /// When it was received.
    pub received_at: Instant,
    /// Whether it was accepted: false if its fencing token was older than a previous one.
    pub accepted: bool,
}

/// What the platform recorded, and its faults.
#[derive(Debug, Default)]
struct State {
    /// The highest fencing token received with a report.
    fencing_token: u64,
    /// The highest fencing token received with an order for a service and an availability zone.
    order_tokens: BTreeMap<(Name, Name), u64>,
    reports: Vec<ReceivedReport>,
    /// The orders, each with the fencing token of its sender.
    orders: Vec<(u64, ScaleOrder)>,
    /// How many of the next calls are recorded without a response.
    lost_responses: u32,
    /// How many of the next calls are refused.
    refused_calls: u32,
}

/// The platform, which records the reports and orders that it receives. Clones share the records.
#[derive(Debug, Clone, Default)]
pub struct DutyLedger {
    state: Arc<Mutex<State>>,
}

impl DutyLedger {
    /// Records the next `calls` calls without a response.
    pub fn lose_responses(&self, calls: u32) {
        self.state.lock().lost_responses = calls;
    }

    /// Refuses the next `calls` calls.
    pub fn refuse_calls(&self, calls: u32) {
        self.state.lock().refused_calls = calls;
    }

    /// All reports received, in order.
    pub fn reports(&self) -> Vec<ReceivedReport> {
        self.state.lock().reports.clone()
    }

    /// All orders of replicas received, each with its fencing token.
    pub fn orders(&self) -> Vec<(u64, ScaleOrder)> {
        self.state.lock().orders.clone()
    }

    /// Records a report; none if its response is lost.
    fn record_report(&self, term: Term, report: UsageReport) -> Option<DutyOutcome> {
        let mut state = self.state.lock();
        state.call(|state| {
            let accepted = term.fencing_token >= state.fencing_token;
            state.fencing_token = state.fencing_token.max(term.fencing_token);
            let received_at = Instant::now();
            state.reports.push(ReceivedReport { term, report, received_at, accepted });
            accepted
        })
    }

    /// Records an order; none if its response is lost.
    fn record_order(&self, term: Term, order: ScaleOrder) -> Option<DutyOutcome> {
        let mut state = self.state.lock();
        state.call(|state| {
            let subject = (order.service.clone(), order.zone.clone());
            let highest = state.order_tokens.entry(subject).or_default();
            let accepted = term.fencing_token >= *highest;
            *highest = term.fencing_token.max(*highest);
            if accepted {
                state.orders.push((term.fencing_token, order));
            }
            accepted
        })
    }
}

impl DutyLedger {
    /// Returns the outcome of a call, or that it is unknown once the timeout of a call without a
    /// response is over.
    async fn respond(&self, outcome: Option<DutyOutcome>, timeout: Duration) -> DutyOutcome {
        if let Some(outcome) = outcome {
            return outcome;
        }
        tokio::time::sleep(timeout).await;
        DutyOutcome::Unknown
    }
}

impl State {
    /// Makes a call, which returns whether its fencing token is accepted, unless the next calls are
    /// refused. None if the response is lost.
    fn call(&mut self, call: impl FnOnce(&mut Self) -> bool) -> Option<DutyOutcome> {
        if self.refused_calls > 0 {
            self.refused_calls -= 1;
            return Some(DutyOutcome::Refused);
        }
        let accepted = call(self);
        if self.lost_responses > 0 {
            self.lost_responses -= 1;
            return None;
        }
        Some(if accepted { DutyOutcome::Done } else { DutyOutcome::Fenced })
    }
}

impl Duties for DutyLedger {
    fn report_usage(
        &self,
        term: Term,
        report: UsageReport,
        timeout: Duration,
    ) -> BoxFuture<'static, DutyOutcome> {
        let platform = self.clone();
        Box::pin(async move {
            tokio::time::sleep(RESPONSE_DELAY).await;
            platform.respond(platform.record_report(term, report), timeout).await
        })
    }

    fn order_scale(
        &self,
        term: Term,
        order: ScaleOrder,
        timeout: Duration,
    ) -> BoxFuture<'static, DutyOutcome> {
        let platform = self.clone();
        Box::pin(async move {
            tokio::time::sleep(RESPONSE_DELAY).await;
            platform.respond(platform.record_order(term, order), timeout).await
        })
    }
}
