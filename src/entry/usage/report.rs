//! Reporting usage, one window after the other, while this node is the holder of duties.
//!
//! What is reported of a window is written to the store first: a report that was not answered
//! may be carried out later, and whoever repeats it sends just the same.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::meter::Usage;
use crate::decide::usage::{Counts, Total};
use crate::edge::duty::{DutyEnd, Term, UsageReport};
use crate::edge::store::StoreError;
use crate::entry::app::App;
use crate::entry::fenced_value::{FencedValue, FencedWrite};
use crate::entry::keys::USAGE_KEY;

/// How long after its end a window is closed at the latest, in tenths of the time until its
/// report is late: the rest is for the report.
const CLOSING: u32 = 6;
/// How often a window that is not closed is looked at.
const LOOK: Duration = Duration::from_millis(100);
/// How long a call may take.
const CALL: Duration = Duration::from_millis(2_500);
/// The first pause after a call that was not taken; it doubles up to [`LONGEST`].
const PAUSE: Duration = Duration::from_millis(250);
/// The longest pause between calls.
const LONGEST: Duration = Duration::from_secs(1);

/// The last window whose report is fixed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Fixed {
    window: u64,
    counts: Counts,
}

/// The reports of one term.
struct Reporter {
    app: Arc<App>,
    usage: Arc<Usage>,
    fence: u64,
    record: FencedValue,
}

/// How a term goes on.
enum Course {
    On,
    /// Another node is holder, or nobody.
    Over,
}

/// Reports until the term is over.
pub(in crate::entry) async fn report_usage(app: &Arc<App>, fence: u64) {
    let Some(usage) = app.usage.clone() else { return std::future::pending().await };
    let mut reporter =
        Reporter { app: app.clone(), usage, fence, record: FencedValue::new(USAGE_KEY, fence) };
    tokio::time::sleep(app.takeover_delay()).await;
    let mut next = None;
    loop {
        match reporter.step(&mut next).await {
            Ok(Course::On) => {}
            Ok(Course::Over) => return,
            Err(e) => {
                tracing::warn!(event = "usage_not_fixed", fence, error = %e);
                next = None;
                app.fallback_store.wait_for_recovery(PAUSE).await;
            }
        }
    }
}

impl Reporter {
    /// Reports the next window. Without one it first repeats what was fixed last.
    async fn step(&mut self, next: &mut Option<u64>) -> Result<Course, StoreError> {
        let window = match *next {
            Some(window) => window,
            None => {
                let Some(fixed) = self.record.read::<Fixed>(&self.app).await? else {
                    *next = Some(self.usage.current_window());
                    return Ok(Course::On);
                };
                *next = Some(fixed.window + 1);
                return Ok(self.send(fixed).await);
            }
        };
        let Some(total) = self.closed(window).await else {
            tracing::warn!(event = "usage_window_missed", window);
            *next = Some(window + 1);
            return Ok(Course::On);
        };
        let fixed = Fixed { window, counts: total.counts };
        match self.record.write(&self.app, &fixed).await? {
            FencedWrite::Done => *next = Some(window + 1),
            FencedWrite::Conflict => {
                *next = None;
                return Ok(Course::On);
            }
            FencedWrite::NotLeader => return Ok(Course::Over),
        }
        let missing = total.missing.len();
        let requests: u64 = fixed.counts.values().sum();
        tracing::info!(event = "usage_fixed", window, requests, missing, fence = self.fence);
        Ok(self.send(fixed).await)
    }

    /// Waits until every node has closed a window, or has had the time to; none for one that
    /// is too old to be reported.
    async fn closed(&self, window: u64) -> Option<Total> {
        let windows = self.usage.windows;
        if self.usage.time() > windows.due(window) {
            return None;
        }
        let latest = windows.end(window) + windows.late / 10 * CLOSING;
        loop {
            let now = self.usage.time();
            let lives = self.app.membership.lock().serving_incarnations();
            let total = self.usage.ledger.lock().total(window, &lives);
            if now > latest || (now > windows.end(window) && total.missing.is_empty()) {
                return Some(total);
            }
            let left = windows.end(window).saturating_sub(now);
            tokio::time::sleep(left.max(LOOK)).await;
        }
    }

    /// Sends a fixed report until it is taken, or too late.
    async fn send(&self, fixed: Fixed) -> Course {
        let window = fixed.window;
        let mut pause = PAUSE;
        while self.usage.time() <= self.usage.windows.due(window) {
            if !self.app.holds_term(self.fence) {
                tokio::time::sleep(LOOK).await;
                continue;
            }
            let term = Term { holder: self.app.settings.name.clone(), fence: self.fence };
            let report = UsageReport { window, counts: fixed.counts.clone() };
            *self.app.last_duty.lock() = Some(self.app.now());
            let end = self.app.duties.report(term, report, CALL).await;
            self.app.tally.usage(end);
            tracing::info!(event = "usage_reported", window, fence = self.fence, outcome = ?end);
            match end {
                DutyEnd::Done => return Course::On,
                DutyEnd::Fenced => return Course::Over,
                DutyEnd::Refused | DutyEnd::Unknown => {}
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(LONGEST);
        }
        tracing::warn!(event = "usage_window_missed", window);
        Course::On
    }
}
