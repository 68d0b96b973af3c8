//! Taking over jobs whose owner is gone.
//!
//! Load pattern: many machines fail at once, or all of them, and each open step waits until a
//! node runs it again. If every node scanned for orphaned jobs at every change, the reads would
//! grow with the square of the fleet. Therefore only the first nodes in rank scan, one after
//! the other.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::app::{App, ByName};
use super::keys::{
    JOB_RECORD_PREFIX, JobRecord, failures_key, job_data_prefix, job_record_key, texts_prefix,
};
use super::membership::Stored;
use super::runner::RestoredJob;
use super::submit::unix_millis;
use crate::decide::job::{ItemResult, JobSpec, SampleText, SavedProgress, TextDelta};
use crate::decide::load::MemoryUse;
use crate::decide::rendezvous_rank;
use crate::edge::store::{RangeResult, StoreError, Txn, TxnOutcome};
use crate::metrics::JobEvent;
use crate::{Moment, Name};

/// How much longer each next node in rank waits before it scans: the nodes ahead of it need
/// two store calls for each job.
const RANK_DELAY: Duration = Duration::from_millis(500);
/// Number of nodes, the first in rank, that scan.
const MAX_SCANNERS: usize = 3;
/// The delay after a scan that failed, or that found jobs whose owner may come back.
const RESCAN_DELAY: Duration = Duration::from_millis(300);
/// How often a node scans without any change of the membership, to find jobs that were missed
/// otherwise.
const SCAN_INTERVAL: Duration = Duration::from_secs(10);
/// Keys that one write removes. A transaction takes at most 32 entries.
const MAX_KEYS_PER_DELETE: usize = 30;
/// Number of checks whether a write whose answer was lost has taken effect late. Writes have
/// taken effect six seconds late.
const LATE_WRITE_POLLS: u32 = 8;
/// The delay before each of these checks.
const LATE_WRITE_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Scans for orphaned jobs whenever the live nodes change, until the process stops.
pub(super) async fn run_takeover(app: Arc<App>) {
    let mut view_changes = app.view_changes.subscribe();
    let mut known: BTreeSet<Name> = BTreeSet::new();
    let mut known_set = None;
    let mut position = None;
    let mut successor_count = 0;
    let mut due: Option<Moment> = None;
    loop {
        let now = app.now();
        let until_scan = due.map_or(SCAN_INTERVAL, |at| at.saturating_sub(now));
        tokio::select! {
            () = app.stop.cancelled() => return,
            _ = view_changes.changed() => {}
            () = tokio::time::sleep(until_scan) => {
                due.get_or_insert(now);
            }
        }
        let now = app.now();
        {
            let mut membership = app.membership.lock();
            let store_time = app.store_time();
            membership.forget_departed(store_time);
            app.evict_expired(now);
            let node_set = membership.node_set(store_time);
            if known_set != Some(node_set) {
                known_set = Some(node_set);
                let alive: BTreeSet<Name> =
                    membership.live_incarnations(store_time).into_iter().collect();
                if alive != known {
                    known = alive;
                    due = None;
                }
                let serving = membership.successor_incarnations();
                successor_count = serving.len();
                position = rendezvous_rank(JOB_RECORD_PREFIX, serving.iter().map(|l| &**l))
                    .iter()
                    .position(|l| **l == *app.incarnation);
            }
        }
        let Some(position) = position.filter(|position| *position < MAX_SCANNERS) else {
            due = None;
            continue;
        };
        let at = *due.get_or_insert(now + RANK_DELAY * position as u32);
        if now < at {
            continue;
        }
        if !app.has_lease() {
            due = Some(now + RESCAN_DELAY);
            continue;
        }
        let is_last = position + 1 >= successor_count.min(MAX_SCANNERS);
        due = match scan_jobs(&app, is_last).await {
            Ok(true) => None,
            Ok(false) => Some(app.now() + RESCAN_DELAY),
            Err(e) => {
                tracing::warn!(event = "job_scan_failed", error = %e);
                Some(app.now() + RESCAN_DELAY)
            }
        };
        // Unless something changes, the next scan is the regular one.
        due = due.or(Some(app.now() + SCAN_INTERVAL));
    }
}

/// Takes over jobs without a live owner, resumes this node's own, and deletes old ones. False if
/// another scan is needed soon: an owner may still come back, or a call failed. Jobs for which this
/// node has no memory are left to the nodes that scan after it, unless it is the last one.
async fn scan_jobs(app: &Arc<App>, is_last: bool) -> Result<bool, StoreError> {
    let page = app.store.range(JOB_RECORD_PREFIX).await?;
    let mut settled = true;
    for item in &page.items {
        let Ok(value) = serde_json::from_slice::<JobRecord>(&item.value) else {
            tracing::error!(event = "value_unreadable", key = %item.key);
            continue;
        };
        let job: Name = item.key.strip_prefix(JOB_RECORD_PREFIX).unwrap_or(&item.key).into();
        if value.done {
            if past_retention(app, &value) {
                delete_job(app, &job, item.revision).await?;
            }
            continue;
        }
        if app.owned_jobs.get(&job).is_some() {
            continue;
        }
        let seen = Stored { value, revision: item.revision };
        if seen.value.incarnation == app.incarnation {
            settled &= resume_job(app, &job, seen).await;
            continue;
        }
        let (alive, back) = {
            let membership = app.membership.lock();
            (
                membership.live_incarnations(app.store_time()).contains(&seen.value.incarnation),
                membership.is_registered(&seen.value.incarnation),
            )
        };
        let bytes = MemoryUse::of_job(0, seen.value.sample_count);
        if !alive && !is_last && !app.job_memory.could_reserve(bytes) {
            tracing::info!(event = "job_left_to_others", %job, held = app.job_memory.held());
        } else if !alive {
            settled &= take_over(app, &job, seen).await;
        } else if !back {
            settled = false;
        }
    }
    Ok(settled)
}

/// Makes this node the owner of a job and runs it. False if that must be tried again.
async fn take_over(app: &Arc<App>, job: &Name, seen: Stored<JobRecord>) -> bool {
    let value = JobRecord {
        incarnation: app.incarnation.clone(),
        takeovers: seen.value.takeovers + 1,
        ..seen.value.clone()
    };
    let Ok(written) = serde_json::to_vec(&value) else { return true };
    let key = job_record_key(job);
    let txn = Txn::when(key.clone(), seen.revision).put(key, written);
    match app.store.txn(txn).await {
        Ok(TxnOutcome::Done(revision)) => {
            app.tally.count_job_event(JobEvent::Taken);
            tracing::info!(event = "job_taken_over", %job, from = %seen.value.incarnation, revision);
            resume_job(app, job, Stored { value, revision }).await
        }
        // Another node has taken the job over, or its trainer has ended it.
        Ok(TxnOutcome::Conflict(_) | TxnOutcome::NoLease) => true,
        Err(e) => {
            tracing::warn!(event = "takeover_failed", %job, error = %e);
            app.watch_for_late_write(job.clone());
            false
        }
    }
}

/// Runs a job of this node from what the store has of it. False if that can't be read.
pub(super) async fn resume_job(app: &Arc<App>, job: &Name, record: Stored<JobRecord>) -> bool {
    match load_job(app, job, record.value.takeovers).await {
        Ok((spec, restored)) => {
            app.run_job(spec, restored, record);
            true
        }
        Err(e) => {
            tracing::warn!(event = "job_not_read", %job, error = %e);
            false
        }
    }
}

/// Reads a job's submission, results and unfinished texts from the store.
async fn load_job(
    app: &App,
    job: &str,
    owners: u32,
) -> Result<(Arc<JobSpec>, RestoredJob), StoreError> {
    let spec = app.load_spec(job).await?;
    let results = app.load_results(job).await?;
    let page = app.store.range(&texts_prefix(job)).await?;
    let (texts, text_writes) = decode_texts(&page, &results);
    let failures = Some(app.load_failures(&spec, owners).await?);
    Ok((spec, RestoredJob { results, texts, failures, text_writes, held: None }))
}

/// Rebuilds the unfinished texts from all their saves in order, and returns them with the index
/// for the next save.
fn decode_texts(
    page: &RangeResult,
    results: &[Arc<ItemResult>],
) -> (ByName<(SampleText, SavedProgress)>, usize) {
    let mut texts: ByName<(SampleText, SavedProgress)> = ByName::new();
    for item in &page.items {
        let config = bincode::config::standard();
        let decoded =
            bincode::serde::decode_from_slice::<Vec<(Name, TextDelta)>, _>(&item.value, config);
        let deltas = match decoded {
            Ok((deltas, _)) => deltas,
            Err(e) => {
                tracing::error!(event = "texts_not_decoded", key = %item.key, error = %e);
                continue;
            }
        };
        for (name, delta) in &deltas {
            texts.entry(name.clone()).or_default().0.apply_delta(delta);
        }
    }
    for result in results {
        texts.remove(&result.id);
    }
    for (text, saved) in texts.values_mut() {
        *saved = text.progress();
    }
    (texts, page.items.len())
}

/// Whether a finished job may be deleted: after twice the time for which it can be read,
/// because the clocks of two machines differ and a client may have kept asking.
fn past_retention(app: &App, value: &JobRecord) -> bool {
    let age = Duration::from_millis(unix_millis().saturating_sub(value.accepted_ms));
    value.accepted_ms > 0 && age >= app.settings.job_retention * 2
}

/// Deletes a finished job from the store: its data first and its record last, so that a scan
/// finds what a crash leaves behind.
async fn delete_job(app: &Arc<App>, job: &Name, revision: u64) -> Result<(), StoreError> {
    let page = app.store.range(&job_data_prefix(job)).await?;
    let failures = app.store.get(&failures_key(job)).await?;
    let keys: Vec<Name> = page.items.into_iter().chain(failures).map(|item| item.key).collect();
    let key = job_record_key(job);
    for keys in keys.chunks(MAX_KEYS_PER_DELETE) {
        let txn = Txn::when(key.clone(), revision);
        let txn = keys.iter().fold(txn, |txn, key| txn.remove(key.clone()));
        app.store.txn(txn).await?;
    }
    app.store.txn(Txn::when(key.clone(), revision).remove(key)).await?;
    app.owned_jobs.remove(job);
    app.ended_jobs.remove(job);
    app.remote_jobs.remove(job);
    tracing::info!(event = "job_deleted", %job, keys = keys.len());
    Ok(())
}

impl App {
    /// Drops cached remote jobs and finished owned jobs that are past their retention.
    fn evict_expired(&self, now: Moment) {
        self.remote_jobs.drop_idle(now, self.settings.job_retention * 2);
        for (job, owned) in self.owned_jobs.all() {
            let finished = owned.job.lock().all_written();
            if finished && past_retention(self, &owned.record.lock().value) {
                self.owned_jobs.remove(&job);
            }
        }
    }

    /// Watches for a write that makes this node the owner of a job and whose answer was lost.
    /// If it takes effect late, the job is run.
    pub(super) fn watch_for_late_write(self: &Arc<Self>, job: Name) {
        let app = self.clone();
        self.spawn(async move {
            for _ in 0..LATE_WRITE_POLLS {
                tokio::time::sleep(LATE_WRITE_POLL_INTERVAL).await;
                if app.draining() || app.owned_jobs.get(&job).is_some() {
                    return;
                }
                let Ok(Some(seen)) = app.job_record(&job).await else { continue };
                if seen.value.incarnation == app.incarnation && !seen.value.done {
                    resume_job(&app, &job, seen).await;
                }
                return;
            }
        });
    }
}
