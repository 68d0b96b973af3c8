//! Orders to engines: each has an owner among the nodes, which states the wanted
//! version again until the engine reports it.

use std::sync::Arc;
use std::time::Duration;

use super::app::App;
use crate::bundle::ServiceSpec;
use crate::decide::rank;
use crate::edge::platform::Vm;
use crate::edge::upstream::{Load, Order};

/// Time between two looks at an engine.
const PERIOD: Duration = Duration::from_millis(250);
/// How long an engine may take to answer.
const LIMIT: Duration = Duration::from_secs(1);

/// Brings the engines that this node owns to the wanted version, until it stops.
pub(super) async fn follow(app: Arc<App>) {
    let mut timer = tokio::time::interval(PERIOD);
    loop {
        tokio::select! {
            () = app.cancel.cancelled() => return,
            _ = timer.tick() => round(&app).await,
        }
    }
}

async fn round(app: &App) {
    let Some(adopted) = app.bundles.current() else { return };
    let generation = adopted.bundle.number;
    for service in adopted.bundle.services.values() {
        let Some(engine) = &service.engine else { continue };
        let order = Order { generation, version: engine.version };
        let loads = owned_loads(app, service).await;
        let total = app.upstreams.of(&service.name).len();
        let most = (total * engine.swapping as usize).div_ceil(100).max(1);
        let mut swapping = loads.iter().filter(|(_, load)| load.swapping).count();
        if let Ok(dispatcher) = app.dispatcher(&service.name) {
            for (vm, load) in &loads {
                dispatcher.load_report(&vm.name, load.running + load.waiting);
            }
        }
        for (vm, load) in loads {
            let settled = load.swapping || load.version == Some(engine.version);
            if settled || swapping >= most {
                continue;
            }
            swapping += 1;
            if let Err(e) = app.engines.order(vm.address, order, LIMIT).await {
                tracing::warn!(event = "order_failed", upstream = %vm.name, error = %e);
            }
        }
    }
}

async fn owned_loads(app: &App, service: &ServiceSpec) -> Vec<(Vm, Load)> {
    let mut loads = Vec::new();
    for vm in app.upstreams.of(&service.name) {
        if !owns(app, &vm.name) {
            continue;
        }
        match app.engines.load(vm.address, LIMIT).await {
            Ok(load) => loads.push((vm, load)),
            Err(e) => tracing::debug!(event = "load_unread", upstream = %vm.name, error = %e),
        }
    }
    loads
}

fn owns(app: &App, upstream: &str) -> bool {
    let own = &app.settings.node.name;
    let others = app.members.serving(app.clock.now());
    let names = others.iter().map(|info| &*info.name).chain([&**own]);
    rank(upstream, names).first() == Some(&&**own)
}
