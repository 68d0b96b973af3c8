//! Tests of the orders to engines over real sockets.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mulberrycourse::decide::RolloutStage;
use mulberrycourse::edge::http::JsonClient;
use mulberrycourse::edge::upstream::{EngineClient, EngineOrder, EngineOrderReply};
use mulberrycourse::node::EngineState;
use standins::engine::{EngineSettings, Faults};
use standins::fleet::{Fleet, bundle_text};

/// Time limit against a hang; no assertion depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

async fn wait_until(mut reached: impl FnMut() -> bool) {
    let wait = async {
        while !reached() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, wait).await.unwrap();
}

/// Returns the state of each engine as its owner reports it.
async fn owner_states(fleet: &Fleet) -> Vec<EngineState> {
    let mut states = Vec::new();
    for (index, node) in fleet.nodes.iter().enumerate() {
        let path = "/v1/state/rollout";
        let reported: Vec<EngineState> =
            JsonClient::default().get(node.admin_address(), path, TEST_TIMEOUT).await.unwrap();
        states.extend(reported.into_iter().filter(|s| *s.owner == format!("node-{index}")));
    }
    states.sort_by(|a, b| a.name.cmp(&b.name));
    states
}

/// Waits until the condition holds for the reported state of every engine.
async fn wait_for_all(fleet: &Fleet, condition: impl Fn(&EngineState) -> bool) -> Vec<EngineState> {
    let wait = async {
        loop {
            let states = owner_states(fleet).await;
            if states.len() == fleet.engines.len() && states.iter().all(&condition) {
                return states;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, wait).await.unwrap()
}

/// Returns the number of orders with a cause, over all nodes.
async fn order_count(fleet: &Fleet, cause: &str) -> u64 {
    let mut count = 0;
    for node in &fleet.nodes {
        let line = format!("mulberry_orders_total{{cause=\"{cause}\"}}");
        let text = fleet.metrics(node).await;
        let value = text.lines().find_map(|l| l.strip_prefix(&line)?.trim().parse::<u64>().ok());
        count += value.unwrap_or(0);
    }
    count
}

/// Sends an engine an order of a generation that is already superseded.
async fn send_old_order(fleet: &Fleet, engine: usize) -> EngineOrderReply {
    let address = fleet.engines[engine].address();
    let old = EngineOrder { generation: 0, version: 7 };
    EngineClient::default().order(address, old, TEST_TIMEOUT).await.unwrap()
}

/// An engine is frozen: the others still get the new weights.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_engine_holds_up_nobody() {
    let fleet = Fleet::spawn(2, 3, EngineSettings::default()).await.unwrap();
    fleet.engines[0].set_faults(Faults { frozen: true, ..Faults::default() });
    let text = bundle_text(2, 2).replace("swapping = 50", "swapping = 100");
    fleet.apply_bundle(2, &text).await.unwrap();
    wait_until(|| fleet.engines[1..].iter().all(|e| e.version() == Some(2))).await;
    assert_eq!(fleet.engines[0].version(), Some(1));
    fleet.engines[0].set_faults(Faults::default());
    wait_until(|| fleet.engines[0].version() == Some(2)).await;
}

/// An old order arrives, as from an owner that was paused. The engine refuses it.
#[tokio::test(flavor = "multi_thread")]
async fn fenced_engine_refuses_an_old_order() {
    let fleet = Fleet::spawn(2, 2, EngineSettings::default()).await.unwrap();
    fleet.apply_bundle(2, &bundle_text(2, 2)).await.unwrap();
    wait_for_all(&fleet, |s| s.stage == RolloutStage::Settled && s.reported_version == Some(2))
        .await;
    assert!(!send_old_order(&fleet, 0).await.taken);
    assert_eq!(fleet.engines[0].version(), Some(2));
    assert_eq!(order_count(&fleet, "Correction").await, 0);
}

/// Engines that ignore fencing accept the old order. The owner sees that in the engine's status,
/// orders the wanted version again and counts the correction.
#[tokio::test(flavor = "multi_thread")]
async fn unfenced_engine_is_corrected() {
    let settings = EngineSettings { fenced: false, ..EngineSettings::default() };
    let fleet = Fleet::spawn(2, 2, settings).await.unwrap();
    let text = bundle_text(2, 2).replace("kind = engine", "kind = engine\nfenced = false");
    fleet.apply_bundle(2, &text).await.unwrap();
    wait_for_all(&fleet, |s| s.stage == RolloutStage::Settled && s.reported_version == Some(2))
        .await;
    assert!(send_old_order(&fleet, 0).await.taken);
    wait_until(|| fleet.engines[0].version() == Some(7)).await;
    wait_until(|| fleet.engines[0].version() == Some(2)).await;
    assert!(order_count(&fleet, "Correction").await >= 1);
}

/// Weight swaps fail partway: the owner sends orders until the weights are complete, and counts the
/// repairs.
#[tokio::test(flavor = "multi_thread")]
async fn failed_swaps_are_repaired() {
    let fleet = Fleet::spawn(2, 2, EngineSettings::default()).await.unwrap();
    fleet.engines[1].set_faults(Faults { fail_swaps: 3, ..Faults::default() });
    fleet.apply_bundle(2, &bundle_text(2, 2)).await.unwrap();
    let states =
        wait_for_all(&fleet, |s| s.stage == RolloutStage::Settled && s.target_version == 2).await;
    assert!(states.iter().all(|s| s.reported_version == Some(2)));
    // The engine without faults gets one order, the other one four. A status report that lags may
    // still show the failed engine as behind; then its repair is counted as a rollout order.
    let (rollout, repair) =
        (order_count(&fleet, "Rollout").await, order_count(&fleet, "Repair").await);
    assert!(repair >= 1 && rollout + repair >= 5, "{rollout} and {repair}");
}
