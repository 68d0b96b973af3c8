//! The suspect and quarantined requests that one node knows.
//!
//! Every request in flight at a crashed upstream is a suspect. A suspect runs again (its
//! trial) at an upstream without another suspect. It is cleared once it completes, or once
//! it has run twice as long as it had at the crashed upstream: a request that crashes its
//! upstream after some time does so again after about that time. A second crash quarantines
//! it. Requests are identified by their fingerprint, a hash of the service and the content.

use std::collections::HashMap;
use std::time::Duration;

use super::{CrashId, CrashNotice, CrashReport};
use crate::{Moment, Name};

/// Crashes after which a fingerprint is quarantined. One crash may be coincidence and
/// affects all requests that share the engine; in the second one, the suspect was the only
/// suspect at its engine.
const CRASHES_TO_QUARANTINE: usize = 2;
/// How long a suspect is remembered: client programs retry within minutes.
const SUSPECT_RETENTION: Duration = Duration::from_secs(600);
/// How long a quarantine lasts: long enough to repair an engine or a caller, short enough
/// that a wrong one ends by itself.
const QUARANTINE_DURATION: Duration = Duration::from_secs(3_600);
/// Crashes of the same upstream that two nodes report within this time are one crash; an
/// engine needs longer than that to load its weights and crash again.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(2);
/// Bound on the fingerprints that are remembered: 100 engines with 40 requests each in one
/// rack.
pub const MAX_FINGERPRINTS: usize = 4_096;
/// Shortest trial: a few tokens of a busy engine.
const MIN_TRIAL_DURATION: Duration = Duration::from_millis(500);
/// Longest trial.
const MAX_TRIAL_DURATION: Duration = Duration::from_secs(60);

/// The status of a fingerprint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FingerprintStatus {
    /// The request may run.
    Clear,
    /// The request was in flight at one crash: it may run at an upstream without another
    /// suspect, and is cleared after running for this time.
    Suspect(Duration),
    /// The request is refused for this time from now.
    Quarantined(Duration),
}

/// An attempt in flight at an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct InFlightAttempt {
    /// The upstream.
    pub upstream: Name,
    /// Hash of the service and the content.
    pub fingerprint: u64,
    /// When it was sent.
    pub sent_at: Moment,
}

/// A crash during which a fingerprint was in flight.
#[derive(Debug, Clone)]
struct RecordedCrash {
    crash: CrashId,
    upstream: Name,
    at: Moment,
    /// How long the request had run at the upstream.
    ran: Duration,
}

/// The last crash of an upstream that this node saw.
#[derive(Debug, Clone, Copy)]
struct LastCrash {
    number: u64,
    at: Moment,
}

/// What is known of a fingerprint. It is kept for some time after it was cleared, so that
/// older notices that arrive later are ignored.
#[derive(Debug, Clone, Default)]
struct FingerprintRecord {
    /// How often the fingerprint was cleared.
    epoch: u32,
    /// The crashes of this epoch.
    crashes: Vec<RecordedCrash>,
    updated: Moment,
}

impl FingerprintRecord {
    fn is_quarantined(&self) -> bool {
        self.crashes.len() >= CRASHES_TO_QUARANTINE
    }

    fn retention(&self) -> Duration {
        if self.is_quarantined() { QUARANTINE_DURATION } else { SUSPECT_RETENTION }
    }
}

/// The crashes and fingerprints that one node knows.
#[derive(Debug, Clone)]
pub struct Quarantine {
    node: Name,
    /// The number of the last crash that this node counted.
    last_number: u64,
    /// The last crash of each upstream.
    last_crashes: HashMap<Name, LastCrash>,
    records: HashMap<u64, FingerprintRecord>,
}

impl Quarantine {
    /// A quarantine without any crashes. `first` is a random number, see [`CrashId::number`].
    pub fn new(node: Name, first: u64) -> Self {
        Self { node, last_number: first, last_crashes: HashMap::new(), records: HashMap::new() }
    }

    /// The status of a fingerprint.
    pub fn status(&self, fingerprint: u64, now: Moment) -> FingerprintStatus {
        let Some(record) = self.records.get(&fingerprint) else { return FingerprintStatus::Clear };
        let left = record.retention().saturating_sub(now.saturating_sub(record.updated));
        if record.crashes.is_empty() || left.is_zero() {
            return FingerprintStatus::Clear;
        }
        if record.is_quarantined() {
            return FingerprintStatus::Quarantined(left);
        }
        let ran = record.crashes.iter().map(|c| c.ran).max().unwrap_or_default();
        FingerprintStatus::Suspect((2 * ran + MIN_TRIAL_DURATION).min(MAX_TRIAL_DURATION))
    }

    /// Records that the upstream of an attempt crashed during it; the attempt broke off at
    /// `broke_at`. Returns the notice for the other nodes.
    pub fn record_crash(
        &mut self,
        attempt: &InFlightAttempt,
        broke_at: Moment,
        now: Moment,
    ) -> CrashNotice {
        let number = match self.last_crashes.get(&attempt.upstream) {
            // The attempt was in flight already when the upstream was first seen to crash.
            Some(crash) if attempt.sent_at <= crash.at => crash.number,
            Some(_) | None => {
                self.last_number = self.last_number.wrapping_add(1);
                let crash = LastCrash { number: self.last_number, at: broke_at };
                self.last_crashes.insert(attempt.upstream.clone(), crash);
                self.last_number
            }
        };
        let report = CrashReport {
            fingerprint: attempt.fingerprint,
            epoch: self.records.get(&attempt.fingerprint).map_or(0, |r| r.epoch),
            crash: CrashId { node: self.node.clone(), number },
            upstream: attempt.upstream.clone(),
            ran_ms: broke_at.saturating_sub(attempt.sent_at).as_millis() as u64,
            age_ms: now.saturating_sub(broke_at).as_millis() as u64,
        };
        self.apply_report(&report, now);
        CrashNotice::Suspect(report)
    }

    /// Records that a request ran without a crash. Returns the notice for the other nodes, if
    /// the fingerprint was a suspect. A quarantined fingerprint stays quarantined.
    pub fn record_success(&mut self, fingerprint: u64, now: Moment) -> Option<CrashNotice> {
        let record = self.records.get_mut(&fingerprint)?;
        if record.is_quarantined() || record.crashes.is_empty() {
            return None;
        }
        let epoch = record.epoch + 1;
        *record = FingerprintRecord { epoch, crashes: Vec::new(), updated: now };
        Some(CrashNotice::Clear { fingerprint, epoch })
    }

    /// Applies a notice of another node. Returns whether it was new.
    pub fn apply_notice(&mut self, notice: &CrashNotice, now: Moment) -> bool {
        match notice {
            CrashNotice::Suspect(report) => self.apply_report(report, now),
            CrashNotice::Clear { fingerprint, epoch } => {
                self.apply_clear(*fingerprint, *epoch, now)
            }
        }
    }

    /// The notices from which a starting node learns all that this node knows.
    pub fn notices(&self, now: Moment) -> Vec<CrashNotice> {
        let each = self.records.iter().flat_map(|(fingerprint, record)| {
            record.crashes.iter().map(|c| {
                CrashNotice::Suspect(CrashReport {
                    fingerprint: *fingerprint,
                    epoch: record.epoch,
                    crash: c.crash.clone(),
                    upstream: c.upstream.clone(),
                    ran_ms: c.ran.as_millis() as u64,
                    age_ms: now.saturating_sub(c.at).as_millis() as u64,
                })
            })
        });
        each.collect()
    }

    /// Removes expired fingerprints and crashes.
    pub fn tick(&mut self, now: Moment) {
        self.records.retain(|_, r| now.saturating_sub(r.updated) < r.retention());
        self.last_crashes.retain(|_, crash| now.saturating_sub(crash.at) < QUARANTINE_DURATION);
    }

    /// The number of suspects, and the number of quarantined fingerprints.
    pub fn counts(&self) -> (usize, usize) {
        let suspects =
            self.records.values().filter(|r| !r.crashes.is_empty() && !r.is_quarantined());
        let quarantined = self.records.values().filter(|r| r.is_quarantined());
        (suspects.count(), quarantined.count())
    }

    fn apply_report(&mut self, report: &CrashReport, now: Moment) -> bool {
        if !self.records.contains_key(&report.fingerprint) && self.records.len() >= MAX_FINGERPRINTS
        {
            self.evict();
        }
        let at = now.saturating_sub(Duration::from_millis(report.age_ms));
        let record = self.records.entry(report.fingerprint).or_default();
        if report.epoch < record.epoch || record.is_quarantined() {
            return false;
        }
        if report.epoch > record.epoch {
            *record = FingerprintRecord { epoch: report.epoch, ..FingerprintRecord::default() };
        }
        let is_same_crash = record.crashes.iter().any(|c| {
            let same_upstream = c.upstream == report.upstream && c.crash.node != report.crash.node;
            c.crash == report.crash || (same_upstream && at.abs_diff(c.at) < SAME_CRASH_WINDOW)
        });
        if is_same_crash {
            return false;
        }
        record.updated = record.updated.max(at);
        record.crashes.push(RecordedCrash {
            crash: report.crash.clone(),
            upstream: report.upstream.clone(),
            at,
            ran: Duration::from_millis(report.ran_ms),
        });
        true
    }

    fn apply_clear(&mut self, fingerprint: u64, epoch: u32, now: Moment) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else { return false };
        if record.is_quarantined() || epoch <= record.epoch {
            return false;
        }
        *record = FingerprintRecord { epoch, crashes: Vec::new(), updated: now };
        true
    }

    /// Removes one fingerprint to make room: cleared ones first, then suspects, then
    /// quarantined ones, and of these the oldest.
    fn evict(&mut self) {
        let age = |record: &FingerprintRecord| (record.crashes.len(), record.updated);
        let oldest = self.records.iter().min_by_key(|(_, record)| age(record)).map(|(f, _)| *f);
        if let Some(oldest) = oldest {
            self.records.remove(&oldest);
        }
    }
}
