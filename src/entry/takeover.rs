//! Taking over jobs whose home is gone.
//!
//! Load pattern: many machines go at once, or all; each open step waits until someone runs
//! it again. If every node looked for orphans at every change, their reads would grow with
//! the square of the fleet: only the nodes first in rank look, one after the other.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use super::app::{App, ByName};
use super::home::Kept;
use super::keys::{HOMES, HomeValue, all_texts, home as home_key, whole_job};
use super::live::Seen;
use super::submit::unix_millis;
use crate::decide::job::{ItemResult, JobSpec, SampleText, SavedProgress, TextDelta};
use crate::decide::rendezvous_rank;
use crate::edge::store::{RangeResult, StoreError, Txn, TxnOutcome};
use crate::metrics::JobStep;
use crate::{Moment, Name};

/// How much longer each next node in rank waits before it looks: the nodes ahead of it need
/// two calls to the store for each job.
const STEP: Duration = Duration::from_millis(500);
/// Nodes that look at all.
const LOOKERS: usize = 3;
/// The pause after a look that failed, or found homes that may come back.
const AGAIN: Duration = Duration::from_millis(300);
/// How often the first in rank looks without a sign: what every other way has missed.
const ROUTINE: Duration = Duration::from_secs(10);
/// Keys that are removed by one write: a transaction takes 32 entries.
const REMOVED: usize = 30;
/// How long a write that was not answered may still take effect: six seconds were seen.
const LATE: u32 = 8;
/// How often it is looked for.
const ASK: Duration = Duration::from_secs(1);

/// Looks for orphans whenever nodes have changed, until the process stops.
pub(super) async fn follow(app: Arc<App>) {
    let mut news = app.view_changes.subscribe();
    let mut known: BTreeSet<Name> = BTreeSet::new();
    let mut due: Option<Moment> = None;
    loop {
        let now = app.now();
        let routine = due.map_or(ROUTINE, |at| at.saturating_sub(now));
        tokio::select! {
            () = app.stop.cancelled() => return,
            _ = news.changed() => {}
            () = tokio::time::sleep(routine) => {
                due.get_or_insert(now);
            }
        }
        let now = app.now();
        let place = {
            let mut live = app.membership.lock();
            let heard = app.store_time();
            live.forget(heard);
            app.tidy(now);
            let lives: BTreeSet<Name> = live.lives(heard).into_iter().collect();
            let able = live.able();
            if lives != known {
                known = lives;
                due = None;
            }
            rendezvous_rank(HOMES, able.iter().map(|l| &**l))
                .iter()
                .position(|l| **l == *app.incarnation)
        };
        let Some(place) = place.filter(|place| *place < LOOKERS) else {
            due = None;
            continue;
        };
        let at = *due.get_or_insert(now + STEP * place as u32);
        if now < at {
            continue;
        }
        if !app.has_lease() {
            due = Some(now + AGAIN);
            continue;
        }
        due = match look(&app).await {
            Ok(true) => None,
            Ok(false) => Some(app.now() + AGAIN),
            Err(e) => {
                tracing::warn!(event = "orphans_not_read", error = %e);
                Some(app.now() + AGAIN)
            }
        };
        // Without a sign the next look is the routine one.
        due = due.or(Some(app.now() + ROUTINE));
    }
}

/// Takes what has no home. False if a home that is gone may still come back.
async fn look(app: &Arc<App>) -> Result<bool, StoreError> {
    let page = app.store.range(HOMES).await?;
    let mut settled = true;
    for item in &page.items {
        let Ok(value) = serde_json::from_slice::<HomeValue>(&item.value) else {
            tracing::error!(event = "value_unreadable", key = %item.key);
            continue;
        };
        let job: Name = item.key.strip_prefix(HOMES).unwrap_or(&item.key).into();
        if value.done {
            if old(app, &value) {
                forget(app, &job, item.revision).await?;
            }
            continue;
        }
        if app.owned_jobs.get(&job).is_some() {
            continue;
        }
        let seen = Seen { value, revision: item.revision };
        if seen.value.life == app.incarnation {
            settled &= begin(app, &job, seen).await;
            continue;
        }
        let (alive, back) = {
            let live = app.membership.lock();
            (live.lives(app.store_time()).contains(&seen.value.life), live.listed(&seen.value.life))
        };
        if !alive {
            settled &= take(app, &job, seen).await;
        } else if !back {
            settled = false;
        }
    }
    Ok(settled)
}

/// Makes this node home to a job. False if that is to be looked at again.
async fn take(app: &Arc<App>, job: &Name, seen: Seen<HomeValue>) -> bool {
    let value = HomeValue { life: app.incarnation.clone(), ..seen.value.clone() };
    let Ok(written) = serde_json::to_vec(&value) else { return true };
    let key = home_key(job);
    let txn = Txn::when(key.clone(), seen.revision).put(key, written);
    match app.store.txn(txn).await {
        Ok(TxnOutcome::Done(revision)) => {
            app.tally.job(JobStep::Taken);
            tracing::info!(event = "job_taken", %job, from = %seen.value.life, revision);
            begin(app, job, Seen { value, revision }).await
        }
        // Another node has taken it, or its trainer ended it.
        Ok(TxnOutcome::Conflict(_) | TxnOutcome::NoLease) => true,
        Err(e) => {
            tracing::warn!(event = "job_not_taken", %job, error = %e);
            app.expect(job.clone());
            false
        }
    }
}

/// Runs a job that is this node's from what the store has of it. False if that can't be read.
pub(super) async fn begin(app: &Arc<App>, job: &Name, key: Seen<HomeValue>) -> bool {
    match load(app, job).await {
        Ok((spec, kept)) => {
            app.run(spec, kept, key);
            true
        }
        Err(e) => {
            tracing::warn!(event = "job_not_read", %job, error = %e);
            false
        }
    }
}

async fn load(app: &App, job: &str) -> Result<(Arc<JobSpec>, Kept), StoreError> {
    let spec = app.load_spec(job).await?;
    let listed = app.load_results(job).await?;
    let page = app.store.range(&all_texts(job)).await?;
    let (texts, saves) = unfinished(&page, &listed);
    Ok((spec, Kept { listed, texts, saves }))
}

/// The unfinished texts, from all writes of them in turn, and the number for the next write.
fn unfinished(
    page: &RangeResult,
    listed: &[Arc<ItemResult>],
) -> (ByName<(SampleText, SavedProgress)>, usize) {
    let mut texts: ByName<(SampleText, SavedProgress)> = ByName::new();
    for item in &page.items {
        let config = bincode::config::standard();
        let decoded =
            bincode::serde::decode_from_slice::<Vec<(Name, TextDelta)>, _>(&item.value, config);
        let growths = match decoded {
            Ok((growths, _)) => growths,
            Err(e) => {
                tracing::error!(event = "texts_unreadable", key = %item.key, error = %e);
                continue;
            }
        };
        for (name, growth) in &growths {
            texts.entry(name.clone()).or_default().0.apply_delta(growth);
        }
    }
    for listing in listed {
        texts.remove(&listing.id);
    }
    for (text, saved) in texts.values_mut() {
        *saved = text.progress();
    }
    (texts, page.items.len())
}

/// Whether nobody may ask for a job that is done any more. Twice the time it can be read:
/// the times of day of two machines differ, and a client may have kept on asking.
fn old(app: &App, value: &HomeValue) -> bool {
    let age = Duration::from_millis(unix_millis().saturating_sub(value.since));
    value.since > 0 && age >= app.settings.job_retention * 2
}

/// Removes a job that is done: what it is made of first, its home's key last, so that what
/// a crash leaves behind is found again.
async fn forget(app: &Arc<App>, job: &Name, revision: u64) -> Result<(), StoreError> {
    let page = app.store.range(&whole_job(job)).await?;
    let keys: Vec<Name> = page.items.into_iter().map(|item| item.key).collect();
    let key = home_key(job);
    for keys in keys.chunks(REMOVED) {
        let txn = Txn::when(key.clone(), revision);
        let txn = keys.iter().fold(txn, |txn, key| txn.remove(key.clone()));
        app.store.txn(txn).await?;
    }
    app.store.txn(Txn::when(key.clone(), revision).remove(key)).await?;
    app.owned_jobs.remove(job);
    app.ended_jobs.remove(job);
    app.remote_jobs.remove(job);
    tracing::info!(event = "job_forgotten", %job, keys = keys.len());
    Ok(())
}

impl App {
    /// Forgets views and finished homes that nobody may ask for any more.
    fn tidy(&self, now: Moment) {
        self.remote_jobs.drop_idle(now, self.settings.job_retention * 2);
        for (job, home) in self.owned_jobs.all() {
            let over = home.job.lock().all_written();
            if over && old(self, &home.key.lock().value) {
                self.owned_jobs.remove(&job);
            }
        }
    }

    /// A write that makes this node home to a job was not answered: it may yet take effect.
    pub(super) fn expect(self: &Arc<Self>, job: Name) {
        let app = self.clone();
        self.spawn(async move {
            for _ in 0..LATE {
                tokio::time::sleep(ASK).await;
                if app.draining() || app.owned_jobs.get(&job).is_some() {
                    return;
                }
                let Ok(Some(seen)) = app.home_of(&job).await else { continue };
                if seen.value.life == app.incarnation && !seen.value.done {
                    begin(&app, &job, seen).await;
                }
                return;
            }
        });
    }
}
