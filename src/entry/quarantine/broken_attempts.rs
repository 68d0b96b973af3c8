//! Attempts that ended without a response, and whether their replicas crashed meanwhile.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use super::entry_quarantine::EntryQuarantine;
use super::replica_checks::CheckResult;
use crate::decide::quarantine::InFlightAttempt;
use crate::edge::replica::Target;
use crate::{Moment, Name};

/// When a replica is checked that did not respond to a suspect in time. It may go on with the request,
/// and crash after its sender has left.
const SUSPECT_CHECK_DELAYS: [Duration; 3] =
    [Duration::from_millis(300), Duration::from_millis(700), Duration::from_millis(1_000)];

/// When it is looked for signs that a replica has crashed. Its entry ends some seconds after it.
const WATCH_DELAYS: [Duration; 3] =
    [Duration::from_millis(500), Duration::from_millis(1_500), Duration::from_millis(4_000)];

/// An attempt that ended without a response.
#[derive(Debug, Clone)]
pub(super) struct BrokenAttempt {
    pub service: Name,
    pub target: Target,
    /// The hash of the request. None for an item of a job, whose crashes count against nobody.
    pub fingerprint: Option<u64>,
    pub sent_at: Moment,
    pub broke_at: Moment,
    /// Whether its replica was listed then, and did not drain.
    pub listed: bool,
}

impl EntryQuarantine {
    /// Describes an attempt that has ended now without a response, after this time.
    pub(super) fn broken_attempt(
        &self,
        service: &Name,
        target: &Target,
        fingerprint: Option<u64>,
        ran: Duration,
    ) -> BrokenAttempt {
        let broke_at = self.now();
        BrokenAttempt {
            service: service.clone(),
            target: target.clone(),
            fingerprint,
            sent_at: broke_at.saturating_sub(ran),
            broke_at,
            listed: self.checks.is_listed(target),
        }
    }

    /// Checks the replica of an attempt whose connection broke, and records the crash if there was
    /// one. `excused` is set once the request completes elsewhere.
    pub(super) async fn check_broken(
        &self,
        broken: &BrokenAttempt,
        excused: &Arc<AtomicBool>,
    ) -> bool {
        let result = if broken.listed {
            self.checks.check(&broken.target).await
        } else {
            CheckResult::Draining
        };
        if result == CheckResult::Crashed {
            self.record_crash(broken, excused);
            return true;
        }
        tracing::info!(
            event = "no_crash_found",
            replica = %broken.target.id,
            fingerprint = broken.fingerprint.map(|f| format!("{f:016x}")),
            listed = broken.listed,
            result = result.as_str()
        );
        false
    }

    /// Checks the replica of an attempt that got no response in time, several times. The request has
    /// met a crash before.
    pub(super) async fn check_suspect(&self, broken: BrokenAttempt, excused: &Arc<AtomicBool>) {
        for delay in SUSPECT_CHECK_DELAYS {
            tokio::time::sleep(delay).await;
            match self.checks.check(&broken.target).await {
                CheckResult::Crashed => {
                    let broken = BrokenAttempt { broke_at: self.now(), ..broken };
                    return self.record_crash(&broken, excused);
                }
                CheckResult::Draining => return,
                CheckResult::Runs | CheckResult::Silent => {}
            }
        }
    }

    /// Looks for a crash of the replica of an attempt that was given up while it ran, without a
    /// connection unless there is another sign of one.
    ///
    /// Load pattern: callers leave and attempts time out on every day, and each new connection may
    /// hold a slot of a replica.
    pub(super) async fn watch_replica(&self, broken: BrokenAttempt, excused: &Arc<AtomicBool>) {
        for delay in WATCH_DELAYS {
            tokio::time::sleep(delay).await;
            let broke_off = self.recent.lock().has_crashed(&broken.target.id, broken.sent_at);
            let gone = broken.listed && !self.checks.is_listed(&broken.target);
            if broke_off
                || (gone && self.checks.check(&broken.target).await == CheckResult::Crashed)
            {
                return self.record_crash(&broken, excused);
            }
        }
    }

    /// Records the crash of a replica, against the request unless that has completed elsewhere.
    fn record_crash(&self, broken: &BrokenAttempt, excused: &Arc<AtomicBool>) {
        let BrokenAttempt { service, target, fingerprint, sent_at, broke_at, .. } = broken;
        if self.recent.lock().record(service, &target.id, *broke_at) {
            self.tally.replica_crashes.inc();
        }
        let innocent = excused.load(Ordering::Relaxed);
        let replica = target.id.clone();
        let mut crashes = 0;
        if let Some(fingerprint) = fingerprint.filter(|_| !innocent) {
            let upstream = replica.clone();
            let attempt = InFlightAttempt { upstream, fingerprint, sent_at: *sent_at };
            let mut state = self.state.lock();
            state.record_crash(&attempt, *broke_at, self.now());
            state.set_service(fingerprint, service);
            if Arc::strong_count(excused) == 1 {
                // Nobody waits for the response any more, so the caller may send the request again.
                state.share(fingerprint);
            }
            crashes = state.crash_count(fingerprint);
        }
        tracing::warn!(
            event = "replica_crashed",
            %replica,
            %service,
            fingerprint = fingerprint.map(|f| format!("{f:016x}")),
            ran_ms = broke_at.saturating_sub(*sent_at).as_millis() as u64,
            completed_elsewhere = innocent,
            crashes
        );
        self.activate();
    }
}
