//! Reports usage to the platform window by window while this node is the leader.
//!
//! The report of a window is written to the store before it is sent. The platform may still
//! apply a report that it did not answer, so a leader that repeats the report has to send the
//! same counts.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::meter::Usage;
use crate::decide::usage::{Counts, WindowTotal};
use crate::edge::duty::{DutyOutcome, Term, UsageReport};
use crate::edge::store::StoreError;
use crate::entry::app::App;
use crate::entry::fenced_value::{FencedValue, FencedWrite};
use crate::entry::keys::USAGE_KEY;

/// How long after its end a window is closed at the latest, in tenths of the time until its
/// report is late. The rest of that time is for sending the report.
const CLOSE_DEADLINE_TENTHS: u32 = 6;
/// How often the leader checks whether a window is closed, and whether its lease is renewed.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long the platform may take to answer a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(2_500);
/// The delay after a failed call to the store, and before the first retry of a report; the
/// latter doubles up to [`MAX_RETRY_DELAY`].
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(250);
/// The longest delay between two attempts to send a report.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The report of the last window whose counts are final, as written to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct FixedReport {
    window: u64,
    counts: Counts,
}

/// Reports usage during one term as leader.
struct Reporter {
    app: Arc<App>,
    usage: Arc<Usage>,
    /// The revision of the leader key that began the term.
    fencing_token: u64,
    /// The value in the store, which only the leader of the term may write.
    record: FencedValue,
}

/// Whether this node is still the leader.
enum TermState {
    /// This node is still the leader.
    Current,
    /// Another node is the leader, or no node is.
    Over,
}

/// Reports usage until the term of this node as leader is over.
pub(in crate::entry) async fn report_usage(app: &Arc<App>, fencing_token: u64) {
    let Some(usage) = app.usage.clone() else { return std::future::pending().await };
    let mut reporter = Reporter {
        app: app.clone(),
        usage,
        fencing_token,
        record: FencedValue::new(USAGE_KEY, fencing_token),
    };
    tokio::time::sleep(app.takeover_delay()).await;
    let mut next = None;
    loop {
        match reporter.report_next(&mut next).await {
            Ok(TermState::Current) => {}
            Ok(TermState::Over) => return,
            Err(e) => {
                tracing::warn!(event = "usage_report_not_written", fence = fencing_token, error = %e);
                next = None;
                app.fallback_store.wait_for_recovery(INITIAL_RETRY_DELAY).await;
            }
        }
    }
}

impl Reporter {
    /// Reports the next window. If the next window is not known, repeats the last report that
    /// was written to the store.
    async fn report_next(&mut self, next: &mut Option<u64>) -> Result<TermState, StoreError> {
        let window = match *next {
            Some(window) => window,
            None => {
                let Some(fixed) = self.record.read::<FixedReport>(&self.app).await? else {
                    *next = Some(self.usage.current_window());
                    return Ok(TermState::Current);
                };
                *next = Some(fixed.window + 1);
                return Ok(self.send(fixed).await);
            }
        };
        let Some(total) = self.wait_until_closed(window).await else {
            tracing::warn!(event = "usage_window_missed", window);
            *next = Some(window + 1);
            return Ok(TermState::Current);
        };
        let fixed = FixedReport { window, counts: total.counts };
        match self.record.write(&self.app, &fixed).await? {
            FencedWrite::Done => *next = Some(window + 1),
            FencedWrite::Conflict => {
                *next = None;
                return Ok(TermState::Current);
            }
            FencedWrite::NotLeader => return Ok(TermState::Over),
        }
        let missing = total.unclosed.len();
        let requests: u64 = fixed.counts.values().sum();
        tracing::info!(
            event = "usage_report_written",
            window,
            requests,
            missing,
            fence = self.fencing_token
        );
        Ok(self.send(fixed).await)
    }

    /// Waits until every node has closed a window or the time for that is over, and returns its
    /// total. None if the window is too old to be reported.
    async fn wait_until_closed(&self, window: u64) -> Option<WindowTotal> {
        let windows = self.usage.windows;
        if self.usage.time() > windows.report_deadline(window) {
            return None;
        }
        let latest = windows.end_of(window) + windows.report_grace / 10 * CLOSE_DEADLINE_TENTHS;
        loop {
            let now = self.usage.time();
            let incarnations = self.app.membership.lock().serving_incarnations();
            let total = self.usage.ledger.lock().total(window, &incarnations);
            if now > latest || (now > windows.end_of(window) && total.unclosed.is_empty()) {
                return Some(total);
            }
            let left = windows.end_of(window).saturating_sub(now);
            tokio::time::sleep(left.max(POLL_INTERVAL)).await;
        }
    }

    /// Sends a report until the platform accepts it, or until the report is late.
    async fn send(&self, fixed: FixedReport) -> TermState {
        let window = fixed.window;
        let mut retry_delay = INITIAL_RETRY_DELAY;
        while self.usage.time() <= self.usage.windows.report_deadline(window) {
            if !self.app.holds_term(self.fencing_token) {
                tokio::time::sleep(POLL_INTERVAL).await;
                continue;
            }
            let term =
                Term { leader: self.app.settings.name.clone(), fencing_token: self.fencing_token };
            let report = UsageReport { window, counts: fixed.counts.clone() };
            *self.app.last_duty.lock() = Some(self.app.now());
            let end = self.app.duties.report_usage(term, report, REPORT_TIMEOUT).await;
            self.app.tally.count_usage_report(end);
            let fence = self.fencing_token;
            tracing::info!(event = "usage_reported", window, fence, outcome = ?end);
            match end {
                DutyOutcome::Done => return TermState::Current,
                DutyOutcome::Fenced => return TermState::Over,
                DutyOutcome::Refused | DutyOutcome::Unknown => {}
            }
            tokio::time::sleep(retry_delay).await;
            retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
        }
        tracing::warn!(event = "usage_window_missed", window);
        TermState::Current
    }
}
