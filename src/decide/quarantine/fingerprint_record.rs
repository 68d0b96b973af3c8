//! What one node knows of one request that ran at replicas when they crashed.

use std::time::Duration;

use super::coincidence::MIN_CRASHES;
use super::reruns::{CrashTime, Reruns};
use super::{CrashId, CrashNotice, CrashReport};
use crate::{Moment, Name};

/// How long a suspect is remembered: client programs retry within minutes.
const SUSPECT_RETENTION: Duration = Duration::from_secs(600);
/// How long a quarantine lasts: long enough to repair an engine or a caller, short enough
/// that a wrong one ends by itself.
pub(super) const QUARANTINE_DURATION: Duration = Duration::from_secs(3_600);
/// Crashes within this time are of the same moment: times of crashes are known that exactly.
const SAME_MOMENT: Duration = Duration::from_millis(20);

/// A crash during which a fingerprint was in flight.
#[derive(Debug, Clone)]
pub(super) struct RecordedCrash {
    pub crash: CrashId,
    pub upstream: Name,
    pub at: Moment,
    /// How long the request had run at the upstream.
    pub ran: Duration,
}

/// What is known of a fingerprint. It is kept for some time after it was cleared, so that
/// older notices that arrive later are ignored.
#[derive(Debug, Clone, Default)]
pub(super) struct FingerprintRecord {
    /// How often the fingerprint was cleared.
    pub epoch: u32,
    /// The crashes of this epoch.
    pub crashes: Vec<RecordedCrash>,
    /// The runs after the third crash of this epoch.
    pub reruns: Reruns,
    pub quarantined: bool,
    /// The service of the last crash that this node saw itself.
    pub service: Option<Name>,
    /// Whether other nodes know or are to know this record.
    pub shared: bool,
    /// Whether its runs were limited before it was cleared.
    pub was_limited: bool,
    /// The number of the last change that this node made itself; 0 if none.
    pub local_change: u64,
    pub updated: Moment,
}

impl FingerprintRecord {
    pub(super) fn is_quarantined(&self) -> bool {
        self.quarantined
    }

    pub(super) fn retention(&self) -> Duration {
        if self.is_quarantined() || self.is_limited() {
            QUARANTINE_DURATION
        } else {
            SUSPECT_RETENTION
        }
    }

    /// Whether its further runs are limited.
    pub(super) fn is_limited(&self) -> bool {
        self.crash_times().len() >= MIN_CRASHES
    }

    /// When its crashes were, the earliest first. Copies that were lost at the same moment, as with a
    /// zone, count once.
    pub(super) fn crash_times(&self) -> Vec<CrashTime> {
        let time = |c: &RecordedCrash| CrashTime { at: c.at, began_at: c.at.saturating_sub(c.ran) };
        let mut crashes: Vec<CrashTime> = self.crashes.iter().map(time).collect();
        crashes.sort_by_key(|crash| crash.at);
        let mut times: Vec<CrashTime> = Vec::new();
        for crash in crashes {
            let is_same = |last: &CrashTime| {
                crash.at.saturating_sub(last.at) <= SAME_MOMENT && crash.began_at < last.at
            };
            if !times.last().is_some_and(is_same) {
                times.push(crash);
            }
        }
        times
    }
}

/// The notices of the crashes of a record.
pub(super) fn crash_notices(
    fingerprint: u64,
    record: &FingerprintRecord,
    now: Moment,
) -> impl Iterator<Item = CrashNotice> {
    record.crashes.iter().map(move |c| {
        CrashNotice::Suspect(CrashReport {
            fingerprint,
            epoch: record.epoch,
            crash: c.crash.clone(),
            upstream: c.upstream.clone(),
            ran_ms: c.ran.as_millis() as u64,
            age_ms: now.saturating_sub(c.at).as_millis() as u64,
        })
    })
}

/// The notices that carry a whole record to a node that may have an older one.
pub(super) fn record_notices(
    fingerprint: u64,
    record: &FingerprintRecord,
    now: Moment,
) -> Vec<CrashNotice> {
    let epoch = record.epoch;
    let mut notices = Vec::new();
    if epoch > 0 {
        notices.push(CrashNotice::Clear { fingerprint, epoch });
    }
    notices.extend(crash_notices(fingerprint, record, now));
    notices.extend(record.reruns.iter().map(|rerun| CrashNotice::Rerun {
        fingerprint,
        epoch,
        run: rerun.id.clone(),
        age_ms: now.saturating_sub(rerun.at).as_millis() as u64,
        withdrawn: rerun.withdrawn,
    }));
    if record.quarantined {
        let age_ms = now.saturating_sub(record.updated).as_millis() as u64;
        notices.push(CrashNotice::Quarantine { fingerprint, epoch, age_ms });
    }
    notices
}
