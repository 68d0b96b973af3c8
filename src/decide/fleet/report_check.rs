//! Checks a replica's reports of its load against the time that this node's calls take there.
//!
//! Load pattern: a replica reports a few requests per slot with every response, although its slots
//! are free. Each response would renew the weight of the report, and a node would send a few
//! requests per [`REPORT_LIFETIME`](super::calls::REPORT_LIFETIME): with 2 replicas of 8 slots that
//! report 16 requests each, 499 of 800 were refused at a third of the service's capacity.

use std::time::Duration;

use crate::Moment;

/// Requests per slot from which a report says that calls wait for noticeably longer than usual.
const FULL_PER_SLOT: f64 = 1.5;
/// A call that takes at most this multiple of the usual time did not wait.
const USUAL_TIME_FACTOR: f64 = 1.25;
/// Number of calls that contradict the reports until they no longer count.
const MAX_CONTRADICTIONS: u32 = 4;
/// Shortest time between two calls that are counted: when a burst of other nodes arrives, all calls
/// that run by then end in the usual time, and each reports the burst.
const CONTRADICTION_INTERVAL: Duration = Duration::from_millis(50);
/// How long the most of this node's requests explain that calls take longer: a few calls.
const PEAK_LIFETIME: Duration = Duration::from_millis(200);
/// Time in which the usual time of a call can double at most. While other nodes fill a service,
/// its calls take longer without being longer.
const USUAL_TIME_DOUBLING: Duration = Duration::from_secs(600);

/// A call that ended, and the load of its replica at that time.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndedCall {
    /// How long it took, in seconds.
    pub seconds: f64,
    /// Requests at the replica, by its report.
    pub reported: u32,
    /// This node's requests there.
    pub own: u32,
    /// The slots of the replica.
    pub slots: u32,
}

/// Whether the calls to a replica contradict its reports.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct ReportCheck {
    contradictions: u32,
    /// When the last contradiction was counted.
    counted_at: Moment,
    /// The most of this node's requests that were there recently.
    own_peak: u32,
    /// When there were so many.
    peak_at: Moment,
}

impl ReportCheck {
    /// Records that this many requests of this node are there after a call began.
    pub(super) fn call_began(&mut self, own: u32, now: Moment) {
        if own >= self.own_peak || now.saturating_sub(self.peak_at) > PEAK_LIFETIME {
            self.own_peak = own;
            self.peak_at = now;
        }
    }

    /// Records a call that ended. `usual` is the usual time of a call in seconds.
    pub(super) fn record(&mut self, call: EndedCall, usual: f64, now: Moment) {
        let slots = call.slots.max(1);
        let own = (f64::from(call.own) / f64::from(slots)).max(1.0);
        if f64::from(call.reported) < FULL_PER_SLOT * own * f64::from(slots) {
            return;
        }
        // This node's own requests may have had the call wait for this many others at its slot.
        let explained = f64::from(self.own_peak.max(1).div_ceil(slots));
        if call.seconds > USUAL_TIME_FACTOR * explained * usual {
            self.contradictions = 0;
        } else if call.seconds <= USUAL_TIME_FACTOR * usual
            && now.saturating_sub(self.counted_at) >= CONTRADICTION_INTERVAL
        {
            self.contradictions = self.contradictions.saturating_add(1);
            self.counted_at = now;
        }
    }

    /// Whether the reports count.
    pub(super) fn believes_reports(&self) -> bool {
        self.contradictions < MAX_CONTRADICTIONS
    }
}

/// The shortest time that calls to a service took for a while, in seconds.
#[derive(Debug, Clone, Copy)]
pub(super) struct UsualTime {
    seconds: f64,
    updated: Moment,
}

impl UsualTime {
    /// The usual time after the first call.
    pub(super) fn new(seconds: f64, now: Moment) -> Self {
        Self { seconds, updated: now }
    }

    /// Records the mean time of the recent calls to one replica. Returns the usual time.
    pub(super) fn record(&mut self, mean: f64, now: Moment) -> f64 {
        let elapsed = now.saturating_sub(self.updated).as_secs_f64();
        let highest = self.seconds * (elapsed / USUAL_TIME_DOUBLING.as_secs_f64()).exp2();
        *self = Self::new(mean.min(highest), now);
        self.seconds
    }
}
