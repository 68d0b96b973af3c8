//! The platform as far as it takes duties.

use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;
use mulberrycourse::edge::duty::{Duties, DutyOutcome, ScaleOrder, Term, UsageReport};
use parking_lot::Mutex;
use tokio::time::Instant;

/// How long an answer takes.
const ANSWER: Duration = Duration::from_millis(10);

/// A report as the platform saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Reported {
    /// Who sent it, with which fencing token.
    pub term: Term,
    /// What it said.
    pub report: UsageReport,
    /// When it came.
    pub at: Instant,
    /// Whether it was taken.
    pub taken: bool,
}

#[derive(Debug, Default)]
struct State {
    fence: u64,
    reported: Vec<Reported>,
    ordered: Vec<(u64, ScaleOrder)>,
    /// So many calls to come are carried out and not answered.
    lost: u32,
    /// So many calls to come are refused.
    refused: u32,
}

/// The platform. Cloning it shares what it took.
#[derive(Debug, Clone, Default)]
pub struct DutyLedger {
    state: Arc<Mutex<State>>,
}

impl DutyLedger {
    /// So many calls are carried out and not answered.
    pub fn lose(&self, calls: u32) {
        self.state.lock().lost = calls;
    }

    /// So many calls are refused.
    pub fn refuse(&self, calls: u32) {
        self.state.lock().refused = calls;
    }

    /// All reports that came.
    pub fn reported(&self) -> Vec<Reported> {
        self.state.lock().reported.clone()
    }

    /// All orders of replicas that came, with the fencing tokens.
    pub fn ordered(&self) -> Vec<(u64, ScaleOrder)> {
        self.state.lock().ordered.clone()
    }

    fn take(&self, term: Term, report: UsageReport) -> Option<DutyOutcome> {
        let mut state = self.state.lock();
        if state.refused > 0 {
            state.refused -= 1;
            return Some(DutyOutcome::Refused);
        }
        let taken = term.fencing_token >= state.fence;
        state.fence = state.fence.max(term.fencing_token);
        state.reported.push(Reported { term, report, at: Instant::now(), taken });
        if state.lost > 0 {
            state.lost -= 1;
            return None;
        }
        Some(if taken { DutyOutcome::Done } else { DutyOutcome::Fenced })
    }
}

impl Duties for DutyLedger {
    fn report_usage(
        &self,
        term: Term,
        report: UsageReport,
        limit: Duration,
    ) -> BoxFuture<'static, DutyOutcome> {
        let platform = self.clone();
        Box::pin(async move {
            tokio::time::sleep(ANSWER).await;
            match platform.take(term, report) {
                Some(end) => end,
                None => {
                    tokio::time::sleep(limit).await;
                    DutyOutcome::Unknown
                }
            }
        })
    }

    fn order_scale(
        &self,
        term: Term,
        order: ScaleOrder,
        _: Duration,
    ) -> BoxFuture<'static, DutyOutcome> {
        let platform = self.clone();
        Box::pin(async move {
            tokio::time::sleep(ANSWER).await;
            let mut state = platform.state.lock();
            if state.refused > 0 {
                state.refused -= 1;
                return DutyOutcome::Refused;
            }
            state.ordered.push((term.fencing_token, order));
            DutyOutcome::Done
        })
    }
}
