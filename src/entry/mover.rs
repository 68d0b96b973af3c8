//! The holder of orders: one node at a time moves replicas to the named versions.
//!
//! The holder's key lies under its node's lease, and the revision that wrote it is the
//! fencing token of its orders. A holder that can't be sure of its lease gives no order.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;

use super::app::App;
use super::follow::{Topic, follow};
use super::keys::{HOLDER, HolderValue};
use super::scale::run_autoscaling;
use super::usage::report_usage;
use crate::Name;
use crate::decide::rank;
use crate::decide::weight_loads::{self, ReplicaWeights, WeightLoad};
use crate::edge::replica::{OrderOutcome, Target, WeightOrder};
use crate::edge::store::{Txn, TxnOutcome};

/// How much longer each next node in rank waits before it tries to be holder.
const STEP: Duration = Duration::from_millis(400);
/// How often a node that is not holder looks, and a holder looks again after a failure.
const LOOK: Duration = Duration::from_millis(500);
/// How long one order or question may take.
const CALL: Duration = Duration::from_millis(800);
/// How long a load takes at least: asking sooner is a question for nothing.
const LOAD: Duration = Duration::from_millis(850);
/// The pause between questions whether a load is done.
const ASK: Duration = Duration::from_millis(120);
/// Questions until a load counts as failed: eight seconds, as many loads at once are slow.
const ASKS: u32 = 60;

/// How a move ended.
enum Moved {
    Done,
    Failed,
    Fenced,
}

/// Holds orders whenever it is this node's turn, until the process stops.
pub(super) async fn give(app: Arc<App>) {
    loop {
        tokio::select! {
            () = app.stop.cancelled() => return,
            fence = acquire(&app) => {
                tracing::info!(event = "orders_held", fence);
                tokio::select! {
                    () = app.stop.cancelled() => {}
                    () = hold(&app, fence) => {}
                    () = app.poll_demand() => {}
                    () = report_usage(&app, fence) => {}
                    () = run_autoscaling(&app, fence) => {}
                    () = follow(app.clone(), Topic::Versions) => {}
                }
                tracing::info!(event = "orders_given_up", fence);
                app.rest_from_orders().await;
                let txn = Txn::when(HOLDER, fence).remove(HOLDER);
                if let Err(e) = app.store.txn(txn).await {
                    tracing::warn!(event = "holder_not_removed", fence, error = %e);
                }
            }
        }
    }
}

/// Waits until this node is holder and returns its fencing token.
async fn acquire(app: &Arc<App>) -> u64 {
    let mut news = app.view_changes.subscribe();
    let mut free = None;
    loop {
        let _ = tokio::time::timeout(LOOK, news.changed()).await;
        let now = app.now();
        let (taken, able) = {
            let live = app.membership.lock();
            (live.holder().cloned(), live.able())
        };
        if let Some(seen) = taken {
            free = None;
            // A key of an earlier term of this very process.
            if seen.value.life == app.incarnation && app.has_lease() {
                return seen.revision;
            }
            continue;
        }
        let since = *free.get_or_insert(now);
        let ranked = rank(HOLDER, able.iter().map(|l| &**l));
        let Some(place) = ranked.iter().position(|l| **l == *app.incarnation) else { continue };
        let lease = app.lease.lock().id;
        if lease == 0 || !app.has_lease() || now < since + STEP * place as u32 {
            continue;
        }
        let Ok(value) = serde_json::to_vec(&HolderValue { life: app.incarnation.clone() }) else {
            continue;
        };
        let txn = Txn::when(HOLDER, 0).put_leased(HOLDER, value, lease);
        match app.store.txn(txn).await {
            Ok(TxnOutcome::Done(fence)) => return fence,
            Ok(TxnOutcome::Conflict(_) | TxnOutcome::NoLease) => {}
            Err(e) => tracing::warn!(event = "holder_not_written", error = %e),
        }
    }
}

/// Gives orders until the term is over.
async fn hold(app: &Arc<App>, fence: u64) {
    tokio::time::sleep(app.takeover_delay()).await;
    let mut news = app.view_changes.subscribe();
    let mut busy: BTreeMap<Name, Name> = BTreeMap::new();
    let mut running: JoinSet<(Name, Moved)> = JoinSet::new();
    loop {
        if !app.holds_term(fence) {
            return;
        }
        for wanted in wanted(app, &busy) {
            let Some(target) = target(app, &wanted.id) else { continue };
            busy.insert(wanted.id.clone(), wanted.model.clone());
            let (app, id) = (app.clone(), wanted.id.clone());
            running.spawn(async move { (id, carry_out(&app, target, wanted, fence).await) });
        }
        tokio::select! {
            _ = news.changed() => {}
            Some(ended) = running.join_next() => match ended {
                Ok((id, Moved::Done)) => drop(busy.remove(&id)),
                Ok((id, Moved::Failed)) => {
                    busy.remove(&id);
                    tokio::time::sleep(ASK).await;
                }
                Ok((_, Moved::Fenced)) => return,
                Err(e) => {
                    tracing::error!(event = "move_failed", error = %e);
                    return;
                }
            },
            () = tokio::time::sleep(LOOK), if !busy.is_empty() => {}
        }
    }
}

fn wanted(app: &App, busy: &BTreeMap<Name, Name>) -> Vec<WeightLoad> {
    let named = app.versions.lock().clone();
    let demand = app.demand.lock().by_model(app.now());
    let models: BTreeSet<&Name> = named.keys().chain(demand.keys()).collect();
    let mut standings: Vec<ReplicaWeights> = Vec::new();
    let fleet = app.slots.fleet.lock();
    for model in models {
        for (target, version) in fleet.serving(model) {
            let found = standings.iter().position(|s| s.id == target.id);
            let index = found.unwrap_or_else(|| {
                let loading = busy.get(&target.id).cloned();
                standings.push(ReplicaWeights {
                    id: target.id,
                    versions: Default::default(),
                    loading,
                });
                standings.len() - 1
            });
            standings[index].versions.insert(model.clone(), version);
        }
    }
    weight_loads::next_loads(&named, &demand, &standings)
}

fn target(app: &App, id: &str) -> Option<Target> {
    app.slots.fleet.lock().get(id).map(|l| l.target.clone())
}

async fn carry_out(app: &Arc<App>, target: Target, wanted: WeightLoad, fence: u64) -> Moved {
    let Ok(stance) = app.replicas.status(&target, CALL).await else { return Moved::Failed };
    if stance.is_other_incarnation(&target) {
        // It started again; its entry will say so.
        return Moved::Failed;
    }
    let has = stance.versions.iter().find(|(m, _)| *m == wanted.model).map(|(_, v)| *v);
    if let Some(has) = has
        && has >= wanted.version
    {
        app.slots.fleet.lock().raise_version(&target, &wanted.model, has);
        return Moved::Done;
    }
    if stance.busy || !app.holds_term(fence) {
        return Moved::Failed;
    }
    let one_version = app.routes().is_some_and(|r| r.any_single_version());
    let order = WeightOrder {
        model: wanted.model.clone(),
        version: wanted.version,
        keep_runs: !one_version,
        holder: app.settings.name.clone(),
        fencing_token: fence,
        accepted_orders: stance.accepted_orders,
    };
    *app.last_duty.lock() = Some(app.now());
    let end = app.replicas.order(&target, order, CALL).await;
    tracing::info!(
        event = "order_given",
        replica = %target.id,
        model = %wanted.model,
        version = wanted.version,
        fence,
        sequence = stance.accepted_orders,
        outcome = ?end
    );
    app.tally.order(end);
    match end {
        OrderOutcome::Accepted | OrderOutcome::Unknown => wait(app, &target, &wanted).await,
        OrderOutcome::Holds => {
            app.slots.fleet.lock().raise_version(&target, &wanted.model, wanted.version);
            Moved::Done
        }
        OrderOutcome::Busy | OrderOutcome::Refused => Moved::Failed,
        OrderOutcome::Fenced => Moved::Fenced,
    }
}

/// Waits until a replica has loaded what it was ordered to.
async fn wait(app: &App, target: &Target, wanted: &WeightLoad) -> Moved {
    tokio::time::sleep(LOAD).await;
    for _ in 0..ASKS {
        let Ok(stance) = app.replicas.status(target, CALL).await else { return Moved::Failed };
        if stance.is_other_incarnation(target) {
            return Moved::Failed;
        }
        let has = stance.versions.iter().find(|(m, _)| *m == wanted.model).map(|(_, v)| *v);
        if has.is_some_and(|has| has >= wanted.version) {
            app.slots.fleet.lock().raise_version(target, &wanted.model, wanted.version);
            app.slots.pump(app.now());
            return Moved::Done;
        }
        if !stance.busy {
            return Moved::Failed;
        }
        tokio::time::sleep(ASK).await;
    }
    Moved::Failed
}
