//! Taking over jobs whose home is gone.

use std::sync::Arc;
use std::time::Duration;

use super::app::{App, ByName};
use super::keys::{HomeValue, home as home_key};
use super::live::Seen;
use crate::decide::rank;
use crate::edge::store::{StoreError, Txn, TxnEnd};
use crate::{Moment, Name};

/// How much longer each next node in rank waits before it takes a job: the nodes ahead of it
/// need two calls to the store.
const STEP: Duration = Duration::from_millis(600);
/// How often orphans are looked at again.
const LOOK: Duration = Duration::from_millis(100);

/// What the view says is to be done about a job.
enum Duty {
    /// It is this node's, but does not run here.
    Begin(u64),
    /// Its home is gone.
    Take(Seen<HomeValue>),
    /// Its trainer ended it.
    Halt,
    /// Another node is its home now.
    Drop,
}

/// Follows the homes of all jobs until the process stops.
pub(super) async fn follow(app: Arc<App>) {
    let mut news = app.news.subscribe();
    let mut orphans: ByName<Moment> = ByName::new();
    loop {
        let pause = if orphans.is_empty() { Duration::MAX } else { LOOK };
        tokio::select! {
            () = app.stop.cancelled() => return,
            _ = tokio::time::timeout(pause, news.changed()) => {}
        }
        let now = app.now();
        app.live.lock().forget(now);
        for (job, duty) in duties(&app, now, &mut orphans) {
            match duty {
                Duty::Halt => {
                    if let Some(home) = app.homes.get(&job) {
                        app.halt(&home);
                    }
                }
                Duty::Drop => {
                    if let Some(home) = app.homes.remove(&job) {
                        tracing::warn!(event = "job_lost", %job, "another node is home");
                        home.stop.cancel();
                    }
                }
                Duty::Begin(revision) => begin(&app, &job, revision).await,
                Duty::Take(seen) => take(&app, &job, seen).await,
            }
        }
    }
}

fn duties(app: &App, now: Moment, orphans: &mut ByName<Moment>) -> Vec<(Name, Duty)> {
    let live = app.live.lock();
    let lives = live.lives(now);
    let able = live.able();
    let mut duties = Vec::new();
    let mut still: ByName<Moment> = ByName::new();
    for (job, seen) in live.homes() {
        let here = app.homes.get(job);
        let mine = seen.value.life == app.life;
        if let Some(home) = here {
            if seen.value.ended && !home.job.lock().ended() {
                duties.push((job.clone(), Duty::Halt));
            } else if !mine && seen.revision > *home.revision.lock() {
                duties.push((job.clone(), Duty::Drop));
            }
            continue;
        }
        if seen.value.done {
            continue;
        }
        if mine {
            duties.push((job.clone(), Duty::Begin(seen.revision)));
            continue;
        }
        if lives.contains(&seen.value.life) {
            continue;
        }
        let since = *orphans.get(job).unwrap_or(&now);
        still.insert(job.clone(), since);
        let ranked = rank(job, able.iter().map(|l| &**l));
        let Some(place) = ranked.iter().position(|l| **l == *app.life) else { continue };
        if app.leased() && now >= since + STEP * place as u32 {
            duties.push((job.clone(), Duty::Take(seen.clone())));
        }
    }
    *orphans = still;
    duties
}

async fn take(app: &Arc<App>, job: &Name, seen: Seen<HomeValue>) {
    let value = HomeValue { life: app.life.clone(), ..seen.value.clone() };
    let Ok(value) = serde_json::to_vec(&value) else { return };
    let key = home_key(job);
    let txn = Txn::when(key.clone(), seen.revision).put(key, value);
    match app.store.txn(txn).await {
        Ok(TxnEnd::Done(revision)) => {
            tracing::info!(event = "job_taken", %job, from = %seen.value.life, revision);
            begin(app, job, revision).await;
        }
        // The view brings what the store says now.
        Ok(TxnEnd::Conflict(_) | TxnEnd::NoLease) => {}
        Err(e) => tracing::warn!(event = "job_not_taken", %job, error = %e),
    }
}

/// Runs a job that is this node's from what the store has of it.
async fn begin(app: &Arc<App>, job: &Name, revision: u64) {
    match load(app, job).await {
        Ok((spec, listed)) => app.run(spec, listed, revision),
        Err(e) => tracing::warn!(event = "job_not_read", %job, error = %e),
    }
}

type Loaded = (Arc<crate::decide::job::Spec>, Vec<Arc<crate::decide::job::Listing>>);

async fn load(app: &App, job: &str) -> Result<Loaded, StoreError> {
    let spec = app.load_spec(job).await?;
    let listed = app.load_results(job).await?;
    Ok((spec, listed))
}
