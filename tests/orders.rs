//! Orders to engines over real sockets.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mulberrycourse::decide::RolloutStage;
use mulberrycourse::edge::http::JsonClient;
use mulberrycourse::edge::upstream::{EngineClient, EngineOrder, EngineOrderReply};
use mulberrycourse::node::EngineState;
use standins::engine::{EngineSettings, Faults};
use standins::fleet::{Fleet, bundle};

/// Guards a test against hanging; no verdict depends on it.
const GUARD: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(10);

async fn until(mut reached: impl FnMut() -> bool) {
    let wait = async {
        while !reached() {
            tokio::time::sleep(POLL).await;
        }
    };
    tokio::time::timeout(GUARD, wait).await.unwrap();
}

/// What every engine's owner says of it.
async fn states(fleet: &Fleet) -> Vec<EngineState> {
    let mut states = Vec::new();
    for (index, node) in fleet.nodes.iter().enumerate() {
        let path = "/v1/state/rollout";
        let told: Vec<EngineState> =
            JsonClient::default().get(node.admin_address(), path, GUARD).await.unwrap();
        states.extend(told.into_iter().filter(|s| *s.owner == format!("node-{index}")));
    }
    states.sort_by(|a, b| a.name.cmp(&b.name));
    states
}

/// Waits until the owners say this of all engines.
async fn all(fleet: &Fleet, is: impl Fn(&EngineState) -> bool) -> Vec<EngineState> {
    let wait = async {
        loop {
            let states = states(fleet).await;
            if states.len() == fleet.engines.len() && states.iter().all(&is) {
                return states;
            }
            tokio::time::sleep(POLL).await;
        }
    };
    tokio::time::timeout(GUARD, wait).await.unwrap()
}

async fn orders(fleet: &Fleet, cause: &str) -> u64 {
    let mut count = 0;
    for node in &fleet.nodes {
        let line = format!("mulberry_orders_total{{cause=\"{cause}\"}}");
        let text = fleet.metrics(node).await;
        let value = text.lines().find_map(|l| l.strip_prefix(&line)?.trim().parse::<u64>().ok());
        count += value.unwrap_or(0);
    }
    count
}

async fn old_order(fleet: &Fleet, engine: usize) -> EngineOrderReply {
    let address = fleet.engines[engine].address();
    let old = EngineOrder { generation: 0, version: 7 };
    EngineClient::default().order(address, old, GUARD).await.unwrap()
}

/// An engine is frozen: the others get the new weights all the same.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_engine_holds_up_nobody() {
    let fleet = Fleet::spawn(2, 3, EngineSettings::default()).await.unwrap();
    fleet.engines[0].set_faults(Faults { frozen: true, ..Faults::default() });
    let text = bundle(2, 2).replace("swapping = 50", "swapping = 100");
    fleet.apply(2, &text).await.unwrap();
    until(|| fleet.engines[1..].iter().all(|e| e.version() == Some(2))).await;
    assert_eq!(fleet.engines[0].version(), Some(1));
    fleet.engines[0].set_faults(Faults::default());
    until(|| fleet.engines[0].version() == Some(2)).await;
}

/// A paused owner comes back with an old order, and the engine refuses old orders.
#[tokio::test(flavor = "multi_thread")]
async fn fenced_engine_refuses_an_old_order() {
    let fleet = Fleet::spawn(2, 2, EngineSettings::default()).await.unwrap();
    fleet.apply(2, &bundle(2, 2)).await.unwrap();
    all(&fleet, |s| s.stage == RolloutStage::Settled && s.reported_version == Some(2)).await;
    assert!(!old_order(&fleet, 0).await.taken);
    assert_eq!(fleet.engines[0].version(), Some(2));
    assert_eq!(orders(&fleet, "Correction").await, 0);
}

/// The same, with engines that ignore fencing: the old order takes effect, is seen in what the
/// engine reports, ordered back and counted.
#[tokio::test(flavor = "multi_thread")]
async fn unfenced_engine_is_corrected() {
    let settings = EngineSettings { fenced: false, ..EngineSettings::default() };
    let fleet = Fleet::spawn(2, 2, settings).await.unwrap();
    let text = bundle(2, 2).replace("kind = engine", "kind = engine\nfenced = false");
    fleet.apply(2, &text).await.unwrap();
    all(&fleet, |s| s.stage == RolloutStage::Settled && s.reported_version == Some(2)).await;
    assert!(old_order(&fleet, 0).await.taken);
    until(|| fleet.engines[0].version() == Some(7)).await;
    until(|| fleet.engines[0].version() == Some(2)).await;
    assert!(orders(&fleet, "Correction").await >= 1);
}

/// Swaps fail partway: the owner says so, orders again until the weights are whole, and counts.
#[tokio::test(flavor = "multi_thread")]
async fn failed_swaps_are_repaired() {
    let fleet = Fleet::spawn(2, 2, EngineSettings::default()).await.unwrap();
    fleet.engines[1].set_faults(Faults { fail_swaps: 3, ..Faults::default() });
    fleet.apply(2, &bundle(2, 2)).await.unwrap();
    let states = all(&fleet, |s| s.stage == RolloutStage::Settled && s.target_version == 2).await;
    assert!(states.iter().all(|s| s.reported_version == Some(2)));
    // One order for the engine that does well, and four for the other: a report that lags may
    // still show it as behind, then the order that repairs it counts as one of the rollout.
    let (rollout, repair) = (orders(&fleet, "Rollout").await, orders(&fleet, "Repair").await);
    assert!(repair >= 1 && rollout + repair >= 5, "{rollout} and {repair}");
}
