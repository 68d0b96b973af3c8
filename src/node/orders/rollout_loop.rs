//! Polls the engines and sends them orders. Each call to an engine runs in a task of its own, so
//! that an engine that does not respond delays no other.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::task::JoinSet;

use super::rollouts::{EngineFleet, engine_fleets, target_weights};
use crate::Name;
use crate::decide::{EngineObservation, OrderDecision, Rollout, RolloutStage};
use crate::edge::http::JsonClientError;
use crate::edge::upstream::{EngineOrder, EngineOrderReply, EngineStatus};
use crate::metrics::{ControlTask, OrderCause};
use crate::node::app::App;

/// The time between two rounds, which start the polls and orders that are due.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);
/// The timeout of a call to an engine.
const ENGINE_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of concurrent calls to engines. A node owns only a handful of engines, and
/// also polls their swap chains. No poll starts above this number; orders are not limited.
const MAX_CONCURRENT_CALLS: usize = 64;

/// The result of a call to an engine.
enum CallResult {
    Status { service: Name, engine: Name, result: Result<EngineStatus, JsonClientError> },
    Order { engine: Name, result: Result<EngineOrderReply, JsonClientError> },
}

/// Brings the engines that this node owns to the version of the bundle, until the node stops.
pub(in crate::node) async fn run_rollouts(app: Arc<App>) {
    let mut calls = JoinSet::new();
    let mut polling = HashSet::new();
    let mut timer = tokio::time::interval(ROUND_INTERVAL);
    loop {
        tokio::select! {
            () = app.cancel.cancelled() => return,
            _ = timer.tick() => run_round(&app, &mut calls, &mut polling),
            Some(Ok(result)) = calls.join_next() => handle_result(&app, result, &mut polling),
        }
    }
}

/// Starts the polls and orders that are due.
fn run_round(app: &Arc<App>, calls: &mut JoinSet<CallResult>, polling: &mut HashSet<Name>) {
    let Some(adopted) = app.bundles.current() else { return };
    let now = app.clock.now();
    for fleet in engine_fleets(app, &adopted.bundle).iter() {
        let target = target_weights(&adopted.bundle, &fleet.engine);
        let (poll_due, order_due) = {
            let mut rollouts = app.rollouts.by_service.lock();
            let rollout =
                rollouts.entry(fleet.service.clone()).or_insert_with(|| Rollout::new(target, now));
            rollout.set_target(target, fleet.engine.fenced, now);
            rollout.retain(&fleet.names);
            let owned = fleet.owned_by(&app.settings.node.name).count();
            rollout.set_load_budget(fleet.engine.load_rate, owned, fleet.names.len(), now);
            (engines_to_poll(app, fleet, rollout), engines_to_order(app, fleet, rollout))
        };
        for engine in poll_due {
            poll_engine(app, &fleet.service, engine, calls, polling);
        }
        let order = EngineOrder { generation: target.generation, version: target.version };
        for engine in order_due {
            send_order(app, engine, order, calls);
        }
    }
}

/// Returns the engines whose poll is due: the ones that this node owns, and the swap chains of
/// those that are behind.
fn engines_to_poll(app: &App, fleet: &EngineFleet, rollout: &Rollout) -> Vec<Name> {
    let now = app.clock.now();
    let mut names: Vec<&Name> = fleet.owned_by(&app.settings.node.name).collect();
    let behind: Vec<&Name> =
        names.iter().copied().filter(|e| rollout.stage(e) == RolloutStage::Behind).collect();
    names.extend(behind.into_iter().flat_map(|e| fleet.chains.of(e)));
    names.sort_unstable();
    names.dedup();
    names.into_iter().filter(|e| rollout.poll_due(e, now)).cloned().collect()
}

/// Returns the owned engines to send an order to now.
fn engines_to_order(app: &App, fleet: &EngineFleet, rollout: &mut Rollout) -> Vec<Name> {
    let now = app.clock.now();
    let mut engines = Vec::new();
    for engine in fleet.owned_by(&app.settings.node.name) {
        match rollout.next_order(engine, fleet.chains.of(engine), now) {
            OrderDecision::None | OrderDecision::Wait => {}
            OrderDecision::Order(cause) => {
                app.metrics.count_order(OrderCause::from(cause));
                tracing::info!(event = "order", upstream = %engine, ?cause);
                engines.push(engine.clone());
            }
        }
    }
    engines
}

/// Starts a poll of an engine, unless one is running or there are too many calls.
fn poll_engine(
    app: &Arc<App>,
    service: &Name,
    engine: Name,
    calls: &mut JoinSet<CallResult>,
    polling: &mut HashSet<Name>,
) {
    let Some(address) = engine_address(app, &engine) else { return };
    if calls.len() >= MAX_CONCURRENT_CALLS || !polling.insert(engine.clone()) {
        return;
    }
    let (engines, service) = (app.engines.clone(), service.clone());
    calls.spawn(app.metrics.timed(ControlTask::Orders, async move {
        let result = engines.status(address, ENGINE_CALL_TIMEOUT).await;
        CallResult::Status { service, engine, result }
    }));
}

fn send_order(app: &Arc<App>, engine: Name, order: EngineOrder, calls: &mut JoinSet<CallResult>) {
    let Some(address) = engine_address(app, &engine) else { return };
    let engines = app.engines.clone();
    calls.spawn(app.metrics.timed(ControlTask::Orders, async move {
        let result = engines.order(address, order, ENGINE_CALL_TIMEOUT).await;
        CallResult::Order { engine, result }
    }));
}

fn engine_address(app: &App, engine: &str) -> Option<SocketAddr> {
    let list = app.upstreams.list();
    list.iter().find(|vm| &*vm.name == engine).map(|vm| vm.address)
}

fn handle_result(app: &App, result: CallResult, polling: &mut HashSet<Name>) {
    let now = app.clock.now();
    match result {
        CallResult::Status { service, engine, result } => {
            polling.remove(&engine);
            if let (Ok(status), Ok(dispatcher)) = (&result, app.dispatcher(&service)) {
                dispatcher.report_load(&engine, status.running.saturating_add(status.waiting));
            }
            let observation = observation(app, &engine, result);
            if let Some(rollout) = app.rollouts.by_service.lock().get_mut(&service) {
                rollout.observe(&engine, observation, now);
            }
        }
        CallResult::Order { engine, result } => match result {
            Ok(EngineOrderReply { taken: true }) => {}
            // Another node has sent an order of a newer bundle, which this node will adopt soon.
            Ok(EngineOrderReply { taken: false }) => {
                app.metrics.count_order(OrderCause::Fenced);
                tracing::warn!(event = "order_fenced", upstream = %engine);
            }
            Err(e) => tracing::warn!(event = "order_failed", upstream = %engine, error = %e),
        },
    }
}

fn observation(
    app: &App,
    engine: &Name,
    result: Result<EngineStatus, JsonClientError>,
) -> EngineObservation {
    match result {
        Ok(status) => {
            if let Some(version) = status.version.filter(|_| !status.swapping) {
                app.engine_versions.lock().record(engine, version, app.clock.now());
            }
            EngineObservation::Report { version: status.version, swapping: status.swapping }
        }
        Err(e) => {
            tracing::debug!(event = "engine_status_failed", upstream = %engine, error = %e);
            EngineObservation::Silent
        }
    }
}
