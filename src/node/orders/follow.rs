//! Looks and orders, each in a task of its own: a frozen engine holds up nobody.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;

use super::orders::{Fleet, fleets, wanted};
use crate::Name;
use crate::decide::{EngineObservation, OrderDecision, Rollout, RolloutStage};
use crate::edge::http::JsonClientError;
use crate::edge::upstream::{EngineOrder, EngineOrderReply, EngineStatus};
use crate::metrics::{OrderCause, Task};
use crate::node::app::App;

/// Time between two looks at what is due.
const PERIOD: Duration = Duration::from_millis(50);
/// How long an engine may take to answer.
const LIMIT: Duration = Duration::from_secs(1);
/// Calls to engines at the same time: an owner has a handful of engines and their chains.
const CALLS: usize = 64;

/// What a call to an engine brought.
enum Ended {
    Look { service: Name, engine: Name, result: Result<EngineStatus, JsonClientError> },
    Order { engine: Name, result: Result<EngineOrderReply, JsonClientError> },
}

/// Brings the engines that this node owns to the wanted version, until it stops.
pub(in crate::node) async fn follow(app: Arc<App>) {
    let mut calls = JoinSet::new();
    let mut looking = HashSet::new();
    let mut timer = tokio::time::interval(PERIOD);
    loop {
        tokio::select! {
            () = app.cancel.cancelled() => return,
            _ = timer.tick() => round(&app, &mut calls, &mut looking),
            Some(Ok(ended)) = calls.join_next() => note(&app, ended, &mut looking),
        }
    }
}

fn round(app: &Arc<App>, calls: &mut JoinSet<Ended>, looking: &mut HashSet<Name>) {
    let Some(adopted) = app.bundles.current() else { return };
    let now = app.clock.now();
    for fleet in fleets(app, &adopted.bundle).iter() {
        let wanted = wanted(&adopted.bundle, &fleet.engine);
        let (due, orders) = {
            let mut rollouts = app.orders.rollouts.lock();
            let rollout =
                rollouts.entry(fleet.service.clone()).or_insert_with(|| Rollout::new(wanted, now));
            rollout.set_target(wanted, fleet.engine.fenced, now);
            rollout.retain(&fleet.names);
            let owned = fleet.owned(&app.settings.node.name).count();
            rollout.set_load_budget(fleet.engine.loads, owned, fleet.names.len(), now);
            (due(app, fleet, rollout), turns(app, fleet, rollout))
        };
        for engine in due {
            look(app, &fleet.service, engine, calls, looking);
        }
        let order = EngineOrder { generation: wanted.generation, version: wanted.version };
        for engine in orders {
            give(app, engine, order, calls);
        }
    }
}

/// The engines to look at: its own, and the chains of those that wait.
fn due(app: &App, fleet: &Fleet, rollout: &Rollout) -> Vec<Name> {
    let now = app.clock.now();
    let mut names: Vec<&Name> = fleet.owned(&app.settings.node.name).collect();
    let behind: Vec<&Name> =
        names.iter().copied().filter(|e| rollout.stage(e) == RolloutStage::Behind).collect();
    names.extend(behind.into_iter().flat_map(|e| fleet.chains.of(e)));
    names.sort_unstable();
    names.dedup();
    names.into_iter().filter(|e| rollout.poll_due(e, now)).cloned().collect()
}

fn turns(app: &App, fleet: &Fleet, rollout: &mut Rollout) -> Vec<Name> {
    let now = app.clock.now();
    let mut orders = Vec::new();
    for engine in fleet.owned(&app.settings.node.name) {
        match rollout.next_order(engine, fleet.chains.of(engine), now) {
            OrderDecision::None | OrderDecision::Wait => {}
            OrderDecision::Order(cause) => {
                app.metrics.ordered(OrderCause::from(cause));
                tracing::info!(event = "order", upstream = %engine, ?cause);
                orders.push(engine.clone());
            }
        }
    }
    orders
}

fn look(
    app: &Arc<App>,
    service: &Name,
    engine: Name,
    calls: &mut JoinSet<Ended>,
    looking: &mut HashSet<Name>,
) {
    let Some(address) = address(app, &engine) else { return };
    if calls.len() >= CALLS || !looking.insert(engine.clone()) {
        return;
    }
    let (engines, service) = (app.engines.clone(), service.clone());
    calls.spawn(app.metrics.timed(Task::Orders, async move {
        let result = engines.status(address, LIMIT).await;
        Ended::Look { service, engine, result }
    }));
}

fn give(app: &Arc<App>, engine: Name, order: EngineOrder, calls: &mut JoinSet<Ended>) {
    let Some(address) = address(app, &engine) else { return };
    let engines = app.engines.clone();
    calls.spawn(app.metrics.timed(Task::Orders, async move {
        let result = engines.order(address, order, LIMIT).await;
        Ended::Order { engine, result }
    }));
}

fn address(app: &App, engine: &str) -> Option<SocketAddr> {
    let list = app.upstreams.list();
    list.iter().find(|vm| &*vm.name == engine).map(|vm| vm.address)
}

fn note(app: &App, ended: Ended, looking: &mut HashSet<Name>) {
    let now = app.clock.now();
    match ended {
        Ended::Look { service, engine, result } => {
            looking.remove(&engine);
            if let (Ok(load), Ok(dispatcher)) = (&result, app.dispatcher(&service)) {
                dispatcher.load_report(&engine, load.running.saturating_add(load.waiting));
            }
            let sight = sight(app, &engine, result);
            if let Some(rollout) = app.orders.rollouts.lock().get_mut(&service) {
                rollout.observe(&engine, sight, now);
            }
        }
        Ended::Order { engine, result } => match result {
            Ok(EngineOrderReply { taken: true }) => {}
            // Another node has a later bundle: this one will have it soon.
            Ok(EngineOrderReply { taken: false }) => {
                app.metrics.ordered(OrderCause::Fenced);
                tracing::warn!(event = "order_fenced", upstream = %engine);
            }
            Err(e) => tracing::warn!(event = "order_failed", upstream = %engine, error = %e),
        },
    }
}

fn sight(
    app: &App,
    engine: &Name,
    result: Result<EngineStatus, JsonClientError>,
) -> EngineObservation {
    match result {
        Ok(load) => {
            if let Some(version) = load.version.filter(|_| !load.swapping) {
                app.served.lock().record(engine, version, app.clock.now());
            }
            EngineObservation::Report { version: load.version, swapping: load.swapping }
        }
        Err(e) => {
            tracing::debug!(event = "load_unread", upstream = %engine, error = %e);
            EngineObservation::Silent
        }
    }
}
