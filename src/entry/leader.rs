//! Leader election, and the leader's orders that move replicas to the named weight versions.
//!
//! One node at a time is the leader. Its record is attached to its node's lease, and the
//! revision that wrote the record is the fencing token of its orders. A leader that cannot be
//! sure of its lease gives no order.

use std::collections::BTreeMap;
use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::{JoinError, JoinSet};
use tokio::time::Instant;

use super::app::App;
use super::follow::{Topic, follow};
use super::keys::{LEADER_KEY, LeaderRecord};
use super::scale::run_autoscaling;
use super::usage::report_usage;
use crate::decide::rendezvous_rank;
use crate::decide::weight_loads::{self, LastLoad, LoadState, WeightLoad};
use crate::edge::replica::{OrderOutcome, Target, WeightOrder};
use crate::edge::store::{Txn, TxnOutcome};
use crate::{Moment, Name};

/// How much longer each next node in rank waits before it tries to become the leader.
const RANK_DELAY: Duration = Duration::from_millis(400);
/// How often a node that is not the leader checks for a vacancy, and how often a leader with
/// orders under way plans again.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Timeout of one order to a replica, or of one status request.
const REPLICA_CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Shortest time that a weight load takes; the replica's status is not polled before.
const MIN_LOAD_TIME: Duration = Duration::from_millis(850);
/// The delay between two status requests during a load.
const LOAD_POLL_INTERVAL: Duration = Duration::from_millis(120);
/// Shortest time between two plans: in a large fleet loads end many times a second.
const PLAN_INTERVAL: Duration = Duration::from_millis(20);
/// How long a replica gets no order after a failed load.
const FAILED_LOAD_DELAY: Duration = Duration::from_millis(500);
/// Consecutive failed status requests until a load counts as failed: a response may be lost, but a
/// replica that is gone must not count as loading for long.
const MAX_FAILED_POLLS: u32 = 3;
/// Status requests until a load counts as failed. They come to eight seconds, because many
/// simultaneous loads are slow.
const MAX_LOAD_POLLS: u32 = 60;

/// How a weight load ended.
enum LoadOutcome {
    /// The replica serves the version.
    Done,
    /// It does not, or its state is unknown. The load is planned again.
    Failed,
    /// The replica has accepted an order of a later term.
    Fenced,
}

/// Runs for leader and does the leader's work whenever this node is elected, until the process
/// stops.
pub(super) async fn run_leader(app: Arc<App>) {
    loop {
        tokio::select! {
            () = app.stop.cancelled() => return,
            fence = acquire_leadership(&app) => {
                tracing::info!(event = "leadership_acquired", fence);
                tokio::select! {
                    () = app.stop.cancelled() => {}
                    () = issue_orders(&app, fence) => {}
                    () = app.poll_demand(fence) => {}
                    () = report_usage(&app, fence) => {}
                    () = run_autoscaling(&app, fence) => {}
                    () = follow(app.clone(), Topic::Versions) => {}
                }
                tracing::info!(event = "leadership_released", fence);
                app.wait_out_last_order().await;
                let txn = Txn::when(LEADER_KEY, fence).remove(LEADER_KEY);
                if let Err(e) = app.store.txn(txn).await {
                    tracing::warn!(event = "leader_not_removed", fence, error = %e);
                }
            }
        }
    }
}

/// Waits until this node is the leader and returns the fencing token of its term.
async fn acquire_leadership(app: &Arc<App>) -> u64 {
    let mut view_changes = app.view_changes.subscribe();
    let mut vacant_since = None;
    loop {
        let _ = tokio::time::timeout(CHECK_INTERVAL, view_changes.changed()).await;
        let now = app.now();
        let leader = app.membership.lock().leader().cloned();
        if let Some(seen) = leader {
            vacant_since = None;
            // The record is from an earlier term of this same process.
            if seen.value.incarnation == app.incarnation && app.has_lease() {
                return seen.revision;
            }
            continue;
        }
        let since = *vacant_since.get_or_insert(now);
        let serving = app.membership.lock().serving_incarnations();
        let ranked = rendezvous_rank(LEADER_KEY, serving.iter().map(|l| &**l));
        let Some(position) = ranked.iter().position(|l| **l == *app.incarnation) else { continue };
        let lease = app.lease.lock().id;
        if lease == 0 || !app.has_lease() || now < since + RANK_DELAY * position as u32 {
            continue;
        }
        let Ok(value) = serde_json::to_vec(&LeaderRecord { incarnation: app.incarnation.clone() })
        else {
            continue;
        };
        let txn = Txn::when(LEADER_KEY, 0).put_leased(LEADER_KEY, value, lease);
        match app.store.txn(txn).await {
            Ok(TxnOutcome::Done(fence)) => return fence,
            Ok(TxnOutcome::Conflict(_) | TxnOutcome::NoLease) => {}
            Err(e) => tracing::warn!(event = "leader_not_written", error = %e),
        }
    }
}

/// Orders weight loads until the term is over.
async fn issue_orders(app: &Arc<App>, fence: u64) {
    tokio::time::sleep(app.takeover_delay()).await;
    let mut view_changes = app.view_changes.subscribe();
    let mut busy: BTreeMap<Name, Name> = BTreeMap::new();
    let mut failed: BTreeMap<Name, Moment> = BTreeMap::new();
    let mut running: JoinSet<(Name, LoadOutcome)> = JoinSet::new();
    loop {
        if !app.holds_term(fence) {
            return;
        }
        let planned = Instant::now();
        for load in plan_loads(app, &busy, &mut failed) {
            let Some(target) = target(app, &load.id) else { continue };
            busy.insert(load.id.clone(), load.model.clone());
            let (app, id) = (app.clone(), load.id.clone());
            running.spawn(async move { (id, execute_load(&app, target, load, fence).await) });
        }
        tokio::select! {
            _ = view_changes.changed() => {}
            Some(ended) = running.join_next() => {
                if handle_end(app, ended, fence, &mut busy, &mut failed).is_break() {
                    return;
                }
            }
            () = tokio::time::sleep(CHECK_INTERVAL), if !busy.is_empty() || !failed.is_empty() => {}
        }
        tokio::time::sleep_until(planned + PLAN_INTERVAL).await;
        while let Some(ended) = running.try_join_next() {
            if handle_end(app, ended, fence, &mut busy, &mut failed).is_break() {
                return;
            }
        }
    }
}

/// Records the end of a load. Breaks if the term is over.
fn handle_end(
    app: &App,
    ended: Result<(Name, LoadOutcome), JoinError>,
    fence: u64,
    busy: &mut BTreeMap<Name, Name>,
    failed: &mut BTreeMap<Name, Moment>,
) -> ControlFlow<()> {
    match ended {
        Ok((id, LoadOutcome::Done)) => {
            busy.remove(&id);
            failed.remove(&id);
        }
        Ok((id, LoadOutcome::Failed)) => {
            busy.remove(&id);
            tracing::info!(event = "load_not_done", replica = %id, fence);
            failed.insert(id, app.now());
        }
        Ok((_, LoadOutcome::Fenced)) => return ControlFlow::Break(()),
        Err(e) => {
            tracing::error!(event = "weight_load_failed", error = %e);
            return ControlFlow::Break(());
        }
    }
    ControlFlow::Continue(())
}

/// The loads to order now, given the replicas with a load under way and the models they load, and
/// the replicas whose last load failed, with the time of that. Replicas that are gone are removed
/// from the latter.
fn plan_loads(
    app: &App,
    busy: &BTreeMap<Name, Name>,
    failed: &mut BTreeMap<Name, Moment>,
) -> Vec<WeightLoad> {
    let announced = app.versions.lock().clone();
    let now = app.now();
    let demand = app.demand.lock().by_model(now);
    let fleet = app.slots.fleet.lock();
    failed.retain(|id, _| fleet.get(id).is_some());
    let last_load = |at: &Moment| match now.saturating_sub(*at) < FAILED_LOAD_DELAY {
        true => LastLoad::JustFailed,
        false => LastLoad::Failed,
    };
    let failed = failed.iter().map(|(id, at)| (id.clone(), last_load(at))).collect();
    let state =
        LoadState { announced: &announced, demand: &demand, loading: busy, failed: &failed };
    weight_loads::next_loads(&state, &fleet)
}

fn target(app: &App, id: &str) -> Option<Target> {
    app.slots.fleet.lock().get(id).map(|l| l.target.clone())
}

/// Orders one weight load and waits for its end. Gives no order if the replica already has the
/// version, is busy, or the term may be over.
async fn execute_load(app: &Arc<App>, target: Target, load: WeightLoad, fence: u64) -> LoadOutcome {
    let Ok(status) = app.replicas.status(&target, REPLICA_CALL_TIMEOUT).await else {
        return LoadOutcome::Failed;
    };
    if status.is_other_incarnation(&target) {
        // The replica has restarted; its next entry in the store will show that.
        return LoadOutcome::Failed;
    }
    let has = status.versions.iter().find(|(m, _)| *m == load.model).map(|(_, v)| *v);
    if let Some(has) = has
        && has >= load.version
    {
        app.slots.fleet.lock().raise_version(&target, &load.model, has);
        return LoadOutcome::Done;
    }
    if status.busy || !app.holds_term(fence) {
        return LoadOutcome::Failed;
    }
    let one_version = app.routes().is_some_and(|r| r.any_single_version());
    let order = WeightOrder {
        model: load.model.clone(),
        version: load.version,
        keep_runs: !one_version,
        leader: app.settings.name.clone(),
        fencing_token: fence,
        accepted_orders: status.accepted_orders,
    };
    *app.last_duty.lock() = Some(app.now());
    let end = app.replicas.order(&target, order, REPLICA_CALL_TIMEOUT).await;
    tracing::info!(
        event = "order_given",
        replica = %target.id,
        model = %load.model,
        version = load.version,
        fence,
        sequence = status.accepted_orders,
        outcome = ?end
    );
    app.tally.count_order(end);
    match end {
        OrderOutcome::Accepted | OrderOutcome::Unknown => await_load(app, &target, &load).await,
        OrderOutcome::Holds => {
            app.slots.fleet.lock().raise_version(&target, &load.model, load.version);
            LoadOutcome::Done
        }
        OrderOutcome::Busy | OrderOutcome::Refused => LoadOutcome::Failed,
        OrderOutcome::Fenced => LoadOutcome::Fenced,
    }
}

/// Polls a replica until it has loaded the ordered version.
async fn await_load(app: &App, target: &Target, load: &WeightLoad) -> LoadOutcome {
    tokio::time::sleep(MIN_LOAD_TIME).await;
    let mut failed_polls = 0;
    for _ in 0..MAX_LOAD_POLLS {
        let status = match app.replicas.status(target, REPLICA_CALL_TIMEOUT).await {
            Ok(status) => status,
            Err(failure) => {
                failed_polls += 1;
                tracing::info!(event = "status_not_read", replica = %target.id, failed_polls, %failure);
                if failed_polls >= MAX_FAILED_POLLS {
                    return LoadOutcome::Failed;
                }
                tokio::time::sleep(LOAD_POLL_INTERVAL).await;
                continue;
            }
        };
        failed_polls = 0;
        if status.is_other_incarnation(target) {
            return LoadOutcome::Failed;
        }
        let has = status.versions.iter().find(|(m, _)| *m == load.model).map(|(_, v)| *v);
        if has.is_some_and(|has| has >= load.version) {
            app.slots.fleet.lock().raise_version(target, &load.model, load.version);
            app.slots.assign_free(app.now());
            return LoadOutcome::Done;
        }
        if !status.busy {
            return LoadOutcome::Failed;
        }
        tokio::time::sleep(LOAD_POLL_INTERVAL).await;
    }
    LoadOutcome::Failed
}
