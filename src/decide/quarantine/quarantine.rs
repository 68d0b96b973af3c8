//! The suspect and quarantined requests that one node knows.
//!
//! Every request in flight at a crashed upstream is a suspect. A suspect runs again (its
//! trial) at an upstream without another suspect. It is cleared once it completes, or once
//! it has run twice as long as it had at the crashed upstream: a request that crashes its
//! upstream after some time does so again after about that time. A second crash quarantines
//! it. Requests are identified by their fingerprint, a hash of the service and the content.
//!
//! Nodes that make no trials use [`QuarantineRule::UnlikelyCoincidence`]: suspects run like all
//! others, and are quarantined once an innocent request would practically never have met the same
//! crashes, see [`super::coincidence`], or once they have used up their runs, see [`super::reruns`].

use std::collections::HashMap;
use std::time::Duration;

use super::coincidence::{self, MIN_CRASHES};
use super::fingerprint_record::{
    FingerprintRecord, QUARANTINE_DURATION, RecordedCrash, crash_notices, record_notices,
};
use super::reruns::{Rerun, RerunDecision};
use super::{CrashId, CrashNotice, CrashReport, RecentCrashes, RunCrash};
use crate::{Moment, Name};

/// Crashes after which a fingerprint is quarantined. One crash may be coincidence and
/// affects all requests that share the engine; in the second one, the suspect was the only
/// suspect at its engine.
const CRASHES_TO_QUARANTINE: usize = 2;
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

/// Bound on the crashes that are remembered of one fingerprint. Evidence that does not suffice
/// after so many crashes never will.
const MAX_CRASHES_PER_FINGERPRINT: usize = 16;

/// When a fingerprint is quarantined.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum QuarantineRule {
    /// At its second crash. Suspects run in trials, apart from each other.
    SecondCrash,
    /// Once its crashes are too unlikely for a coincidence, by [`Quarantine::judge`], or once it has
    /// used up its runs, by [`Quarantine::begin_rerun`]. Suspects run without a trial.
    UnlikelyCoincidence,
}

/// A fingerprint that [`Quarantine::judge`] has quarantined, with the evidence.
#[derive(Debug, Clone, PartialEq)]
pub struct Verdict {
    /// Hash of the service and the content.
    pub fingerprint: u64,
    /// The number of crashes that count against it.
    pub crashes: usize,
    /// The probability that an innocent request meets such crashes by coincidence.
    pub coincidence: f64,
}

/// Whether the runs of a request are limited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitChange {
    /// They are, or it is quarantined.
    Limited,
    /// They are no longer, as one has completed.
    Ended,
}

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

/// The last crash of an upstream that this node saw.
#[derive(Debug, Clone, Copy)]
struct LastCrash {
    number: u64,
    at: Moment,
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
    rule: QuarantineRule,
    /// The number of changes of the records that this node made itself.
    changes: u64,
}

impl Quarantine {
    /// A quarantine without any crashes. `first` is a random number, see [`CrashId::number`].
    pub fn new(node: Name, first: u64) -> Self {
        Self::with_rule(node, first, QuarantineRule::SecondCrash)
    }

    /// A quarantine without any crashes and with this rule.
    pub fn with_rule(node: Name, first: u64, rule: QuarantineRule) -> Self {
        Self {
            node,
            last_number: first,
            last_crashes: HashMap::new(),
            records: HashMap::new(),
            rule,
            changes: 0,
        }
    }

    /// The status of a fingerprint.
    pub fn status(&self, fingerprint: u64, now: Moment) -> FingerprintStatus {
        let Some(record) = self.records.get(&fingerprint) else { return FingerprintStatus::Clear };
        let left = record.retention().saturating_sub(now.saturating_sub(record.updated));
        if left.is_zero() {
            return FingerprintStatus::Clear;
        }
        if record.is_quarantined() {
            return FingerprintStatus::Quarantined(left);
        }
        if record.crashes.is_empty() {
            return FingerprintStatus::Clear;
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
        if self.apply_report(&report, now) {
            self.mark_changed(attempt.fingerprint);
        }
        CrashNotice::Suspect(report)
    }

    /// Records the service of a fingerprint whose crash this node saw itself. Only such a node
    /// judges it: the others know too few of the crashes around it.
    pub fn set_service(&mut self, fingerprint: u64, service: &Name) {
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.service = Some(service.clone());
        }
    }

    /// Marks a fingerprint to be reported to the other nodes, as when the caller of a request that
    /// has failed may send it to any of them. From its second crash on that is so without this.
    pub fn share(&mut self, fingerprint: u64) {
        if self.records.get(&fingerprint).is_some_and(|r| !r.shared) {
            self.mark_changed(fingerprint);
            if let Some(record) = self.records.get_mut(&fingerprint) {
                record.shared = true;
            }
        }
    }

    /// Returns the number of crashes that are known of a fingerprint.
    pub fn crash_count(&self, fingerprint: u64) -> usize {
        self.records.get(&fingerprint).map_or(0, |r| r.crashes.len())
    }

    /// Decides whether a request may run, and records a rerun if that is limited.
    pub fn begin_rerun(&mut self, fingerprint: u64, now: Moment) -> RerunDecision {
        let Some(record) = self.records.get_mut(&fingerprint) else {
            return RerunDecision::Unlimited;
        };
        if record.quarantined {
            return RerunDecision::UsedUp;
        }
        let crashes = record.crash_times();
        let Some(third) = crashes.get(MIN_CRASHES - 1).map(|crash| crash.at) else {
            return RerunDecision::Unlimited;
        };
        let wait = record.reruns.wait(&crashes, now);
        if !wait.is_zero() {
            return RerunDecision::Wait(wait);
        }
        let used_up = record.reruns.are_used_up(&crashes, third, None, now);
        record.updated = now;
        if used_up {
            record.quarantined = true;
        } else {
            self.last_number = self.last_number.wrapping_add(1);
            let id = CrashId { node: self.node.clone(), number: self.last_number };
            record.reruns.record(Rerun { id, at: now, withdrawn: false });
        }
        self.mark_changed(fingerprint);
        if used_up {
            return RerunDecision::UsedUp;
        }
        RerunDecision::Granted(CrashId { node: self.node.clone(), number: self.last_number })
    }

    /// Whether a rerun that other nodes know by now may be sent. Of two that began at the same time,
    /// the one that is asked for later is refused. A rerun that may not be sent is withdrawn.
    pub fn confirm_rerun(&mut self, fingerprint: u64, id: &CrashId, now: Moment) -> bool {
        let Some(record) = self.records.get(&fingerprint).filter(|r| !r.quarantined) else {
            return false;
        };
        let crashes = record.crash_times();
        let Some(third) = crashes.get(MIN_CRASHES - 1).map(|crash| crash.at) else { return true };
        record.reruns.is_first(id, &crashes, now)
            && !record.reruns.are_used_up(&crashes, third, Some(id), now)
    }

    /// Records that a rerun was not sent.
    pub fn withdraw_rerun(&mut self, fingerprint: u64, id: &CrashId, now: Moment) {
        if let Some(record) = self.records.get_mut(&fingerprint)
            && record.reruns.record(Rerun { id: id.clone(), at: now, withdrawn: true })
        {
            self.mark_changed(fingerprint);
        }
    }

    /// Returns the requests with limited runs that this node changed after the change with this number,
    /// and those whose limit it has ended by then.
    pub fn limited_after(&self, change: u64) -> Vec<(u64, LimitChange)> {
        let changed = self.records.iter().filter(|(_, record)| record.local_change > change);
        let limits = changed.filter_map(|(fingerprint, record)| {
            if record.quarantined || record.is_limited() {
                Some((*fingerprint, LimitChange::Limited))
            } else {
                record.was_limited.then_some((*fingerprint, LimitChange::Ended))
            }
        });
        limits.collect()
    }

    /// Returns the notices of what is known of one request.
    pub fn notices_of(&self, fingerprint: u64, now: Moment) -> Vec<CrashNotice> {
        let record = self.records.get(&fingerprint);
        record.map(|r| record_notices(fingerprint, r, now)).unwrap_or_default()
    }

    /// Records that a run ended without a crash and without a complete response. A suspect that
    /// ran for as long as a trial takes is cleared.
    pub fn record_survival(&mut self, fingerprint: u64, ran: Duration, now: Moment) {
        if let FingerprintStatus::Suspect(trial) = self.status(fingerprint, now)
            && ran >= trial
        {
            self.record_success(fingerprint, now);
        }
    }

    /// Quarantines the fingerprints whose crashes are no coincidence. `recent` has the crashes that
    /// this node saw, and `replica_count` returns the number of replicas of a service.
    pub fn judge(
        &mut self,
        recent: &RecentCrashes,
        replica_count: impl Fn(&Name) -> usize,
        now: Moment,
    ) -> Vec<Verdict> {
        let judged = self.records.iter().filter_map(|(fingerprint, record)| {
            let service = record.service.as_ref().filter(|_| !record.quarantined)?;
            if record.crashes.len() < MIN_CRASHES {
                return None;
            }
            let crashes = self.unexplained_crashes(*fingerprint, record);
            let others = |at| {
                recent.count_others(service, at, |upstream| {
                    record.crashes.iter().any(|c| c.upstream == *upstream)
                })
            };
            let coincidence =
                coincidence::conclusive(&crashes, replica_count(service), others, now)?;
            Some(Verdict { fingerprint: *fingerprint, crashes: crashes.len(), coincidence })
        });
        let verdicts: Vec<Verdict> = judged.collect();
        for verdict in &verdicts {
            self.mark_changed(verdict.fingerprint);
            if let Some(record) = self.records.get_mut(&verdict.fingerprint) {
                (record.quarantined, record.shared, record.updated) = (true, true, now);
            }
        }
        verdicts
    }

    /// Returns the crashes of a fingerprint that no other one explains. Whatever runs beside the
    /// cause of a crash meets the same crash, so a crash during which a quarantined fingerprint, or
    /// one with at least as many crashes, was at the upstream is no evidence.
    fn unexplained_crashes(&self, fingerprint: u64, record: &FingerprintRecord) -> Vec<RunCrash> {
        let rivals: Vec<&FingerprintRecord> = self
            .records
            .iter()
            .filter(|(other, r)| {
                **other != fingerprint && (r.quarantined || r.crashes.len() >= record.crashes.len())
            })
            .map(|(_, rival)| rival)
            .collect();
        let is_explained = |crash: &RecordedCrash| {
            rivals.iter().flat_map(|r| &r.crashes).any(|c| {
                c.upstream == crash.upstream && c.at.abs_diff(crash.at) < SAME_CRASH_WINDOW
            })
        };
        let own = record.crashes.iter().filter(|c| !is_explained(c));
        own.map(|c| RunCrash { upstream: c.upstream.clone(), at: c.at, ran: c.ran }).collect()
    }

    /// Returns the number of the last change that this node made itself.
    pub fn last_change(&self) -> u64 {
        self.changes
    }

    /// Returns the notices of the changes that this node made after the change with this number,
    /// and that other nodes are to know.
    pub fn changes_after(&self, change: u64, now: Moment) -> Vec<CrashNotice> {
        let changed = self.records.iter().filter(|(_, r)| r.shared && r.local_change > change);
        changed.flat_map(|(fingerprint, r)| record_notices(*fingerprint, r, now)).collect()
    }

    /// Returns the notices of everything that other nodes are to know, whoever found it out.
    pub fn shared_notices(&self, now: Moment) -> Vec<CrashNotice> {
        let shared = self.records.iter().filter(|(_, r)| r.shared);
        shared.flat_map(|(fingerprint, r)| record_notices(*fingerprint, r, now)).collect()
    }

    /// Whether nothing is known of any fingerprint.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Numbers a change that this node made.
    fn mark_changed(&mut self, fingerprint: u64) {
        self.changes += 1;
        if let Some(record) = self.records.get_mut(&fingerprint) {
            record.local_change = self.changes;
            record.shared |= record.crashes.len() > 1;
        }
    }

    /// Records that a request ran without a crash. Returns the notice for the other nodes, if
    /// the fingerprint was a suspect. A quarantined fingerprint stays quarantined.
    pub fn record_success(&mut self, fingerprint: u64, now: Moment) -> Option<CrashNotice> {
        let record = self.records.get_mut(&fingerprint)?;
        if record.is_quarantined() || record.crashes.is_empty() {
            return None;
        }
        if !record.shared && self.rule == QuarantineRule::UnlikelyCoincidence {
            // No other node knows of it.
            self.records.remove(&fingerprint);
            return None;
        }
        let (epoch, shared) = (record.epoch + 1, record.shared);
        let was_limited = record.was_limited || record.is_limited();
        let cleared = FingerprintRecord { epoch, shared, was_limited, ..Default::default() };
        *record = FingerprintRecord { updated: now, ..cleared };
        self.mark_changed(fingerprint);
        Some(CrashNotice::Clear { fingerprint, epoch })
    }

    /// Applies a notice of another node. Returns whether it was new.
    pub fn apply_notice(&mut self, notice: &CrashNotice, now: Moment) -> bool {
        match notice {
            CrashNotice::Suspect(report) => self.apply_report(report, now),
            CrashNotice::Clear { fingerprint, epoch } => {
                self.apply_clear(*fingerprint, *epoch, now)
            }
            CrashNotice::Quarantine { fingerprint, epoch, age_ms } => {
                let at = now.saturating_sub(Duration::from_millis(*age_ms));
                self.apply_verdict(*fingerprint, *epoch, at)
            }
            CrashNotice::Rerun { fingerprint, epoch, run, age_ms, withdrawn } => {
                let at = now.saturating_sub(Duration::from_millis(*age_ms));
                let rerun = Rerun { id: run.clone(), at, withdrawn: *withdrawn };
                self.apply_rerun(*fingerprint, *epoch, rerun)
            }
        }
    }

    /// The notices from which a starting node learns all that this node knows.
    pub fn notices(&self, now: Moment) -> Vec<CrashNotice> {
        let each = self.records.iter().flat_map(|(f, record)| crash_notices(*f, record, now));
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
        self.make_room(report.fingerprint);
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
        record.shared |= report.crash.node != self.node;
        if record.crashes.len() >= MAX_CRASHES_PER_FINGERPRINT {
            // The third crash is when the further runs began to be limited.
            record.crashes.remove(MIN_CRASHES);
        }
        record.crashes.push(RecordedCrash {
            crash: report.crash.clone(),
            upstream: report.upstream.clone(),
            at,
            ran: Duration::from_millis(report.ran_ms),
        });
        record.quarantined = match self.rule {
            QuarantineRule::SecondCrash => record.crashes.len() >= CRASHES_TO_QUARANTINE,
            QuarantineRule::UnlikelyCoincidence => false,
        };
        true
    }

    fn apply_rerun(&mut self, fingerprint: u64, epoch: u32, rerun: Rerun) -> bool {
        self.make_room(fingerprint);
        let record = self.records.entry(fingerprint).or_default();
        if epoch < record.epoch || record.is_quarantined() {
            return false;
        }
        if epoch > record.epoch {
            *record = FingerprintRecord { epoch, ..FingerprintRecord::default() };
        }
        record.shared = true;
        record.updated = record.updated.max(rerun.at);
        record.reruns.record(rerun)
    }

    fn apply_verdict(&mut self, fingerprint: u64, epoch: u32, at: Moment) -> bool {
        self.make_room(fingerprint);
        let record = self.records.entry(fingerprint).or_default();
        if epoch < record.epoch || record.is_quarantined() {
            return false;
        }
        record.epoch = epoch;
        record.quarantined = true;
        record.shared = true;
        record.updated = at;
        true
    }

    /// Makes room for a fingerprint if it is a new one and the bound is reached.
    fn make_room(&mut self, fingerprint: u64) {
        if !self.records.contains_key(&fingerprint) && self.records.len() >= MAX_FINGERPRINTS {
            self.evict();
        }
    }

    fn apply_clear(&mut self, fingerprint: u64, epoch: u32, now: Moment) -> bool {
        let Some(record) = self.records.get_mut(&fingerprint) else { return false };
        if record.is_quarantined() || epoch <= record.epoch {
            return false;
        }
        *record =
            FingerprintRecord { epoch, shared: true, updated: now, ..FingerprintRecord::default() };
        true
    }

    /// Removes one fingerprint to make room: cleared ones first, then suspects, then
    /// quarantined ones, and of these the oldest.
    fn evict(&mut self) {
        let age = |r: &FingerprintRecord| (r.quarantined, r.crashes.len(), r.updated);
        let oldest = self.records.iter().min_by_key(|(_, record)| age(record)).map(|(f, _)| *f);
        if let Some(oldest) = oldest {
            self.records.remove(&oldest);
        }
    }
}
