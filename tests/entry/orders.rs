//! Tests that only one node at a time, the leader, orders weight loads.

use std::collections::BTreeMap;
use std::time::Duration;

use standins::kv::{Faults, Outage};

use crate::world::{MODEL, World, sleep_ms, wait_until};

/// Minimum time between the orders of two leaders: the default of `[orders] turn`.
const ORDER_GAP: Duration = Duration::from_millis(3_000);

/// Returns whether all engine replicas have loaded a version.
fn all_loaded(world: &World, version: u64) -> bool {
    ["e1", "e2", "e3"].iter().all(|id| world.replicas.version(id, MODEL) == version)
}

#[tokio::test(start_paused = true)]
async fn one_leader_loads_a_named_version_at_all_replicas() {
    let world = World::new();
    let _a = world.node("a").await;
    let _b = world.node("b").await;
    sleep_ms(4_000).await;
    world.name_version(2);
    wait_until(|| all_loaded(&world, 2)).await;
    let orders = world.replicas.orders();
    assert_eq!(orders.iter().filter(|o| o.accepted).count(), 3);
    assert!(
        orders
            .iter()
            .all(|o| o.leader == orders[0].leader && o.fencing_token == orders[0].fencing_token)
    );
}

#[tokio::test(start_paused = true)]
async fn a_new_leader_keeps_the_order_gap_and_has_a_higher_fencing_token() {
    let world = World::new();
    let mut nodes: BTreeMap<&str, _> = BTreeMap::new();
    for name in ["a", "b"] {
        nodes.insert(name, world.node(name).await);
    }
    sleep_ms(4_000).await;
    world.name_version(2);
    wait_until(|| all_loaded(&world, 2)).await;
    let last = world.replicas.orders().last().unwrap().clone();
    nodes.remove(&*last.leader);
    world.name_version(3);
    wait_until(|| all_loaded(&world, 3)).await;
    let orders = world.replicas.orders();
    let first = orders.iter().find(|o| o.version == 3).unwrap();
    assert_ne!(first.leader, last.leader);
    assert!(first.fencing_token > last.fencing_token);
    assert!(
        first.received_at - last.received_at >= ORDER_GAP,
        "{:?}",
        first.received_at - last.received_at
    );
}

#[tokio::test(start_paused = true)]
async fn a_disconnected_leader_gives_no_order_after_the_next_leader() {
    let world = World::new();
    let nodes = [world.node("a").await, world.node("b").await];
    sleep_ms(4_000).await;
    world.name_version(2);
    wait_until(|| all_loaded(&world, 2)).await;
    let leader = world.replicas.orders()[0].leader.clone();
    let old = nodes.iter().find(|n| *n.app().settings.name == *leader).unwrap();
    old.store.set_faults(Faults { outage: Some(Outage::Unresponsive), ..Faults::default() });
    world.name_version(3);
    wait_until(|| all_loaded(&world, 3)).await;
    old.store.set_faults(Faults::default());
    sleep_ms(4_000).await;
    world.name_version(4);
    wait_until(|| all_loaded(&world, 4)).await;
    let orders = world.replicas.orders();
    for pair in orders.windows(2) {
        assert!(pair[1].fencing_token >= pair[0].fencing_token);
        if pair[1].leader != pair[0].leader {
            assert!(pair[1].received_at - pair[0].received_at >= ORDER_GAP);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn an_order_that_takes_effect_late_is_accepted_once() {
    let world = World::new();
    let _a = world.node("a").await;
    sleep_ms(4_000).await;
    world.replicas.delay_orders("e1", Some(Duration::from_secs(5)));
    world.name_version(2);
    sleep_ms(4_000).await;
    world.replicas.delay_orders("e1", None);
    wait_until(|| all_loaded(&world, 2)).await;
    sleep_ms(15_000).await;
    let orders = world.replicas.orders();
    let accepted = orders.iter().filter(|o| &*o.replica == "e1" && o.accepted);
    assert_eq!(accepted.count(), 1);
}

/// Guards against a single failed status request ending a load for its leader, who then ordered the
/// next load while the first one went on: loads that run together are slower.
#[tokio::test(start_paused = true)]
async fn a_failed_status_request_does_not_end_a_load() {
    let world = World::new();
    let _node = world.node("a").await;
    sleep_ms(4_000).await;
    world.name_version(2);
    wait_until(|| !world.replicas.orders().is_empty()).await;
    world.replicas.fail_statuses(&world.replicas.orders()[0].replica.clone(), 1);
    wait_until(|| all_loaded(&world, 2)).await;
    let orders = world.replicas.orders();
    assert_eq!(orders.len(), 3, "{orders:?}");
    for pair in orders.windows(2) {
        let gap = pair[1].received_at - pair[0].received_at;
        assert!(gap >= Duration::from_millis(900), "{gap:?}");
    }
}

/// Guards against a replica whose status can't be read being tried again and again before the
/// others, which got no new weights meanwhile.
#[tokio::test(start_paused = true)]
async fn a_replica_without_a_status_delays_no_other_load() {
    let world = World::new();
    let _node = world.node("a").await;
    sleep_ms(4_000).await;
    world.replicas.fail_statuses("e1", u32::MAX);
    world.name_version(2);
    sleep_ms(3_000).await;
    assert_eq!(["e2", "e3"].map(|id| world.replicas.version(id, MODEL)), [2, 2]);
    world.replicas.fail_statuses("e1", 0);
    sleep_ms(2_500).await;
    assert_eq!(world.replicas.version("e1", MODEL), 2);
}

/// Guards against a new leader that waits the whole order gap from the end of its predecessor's
/// lease on. The predecessor gave its last order at least a second earlier, and training steps wait
/// for the weights meanwhile.
#[tokio::test(start_paused = true)]
async fn a_new_leader_gives_orders_within_five_seconds_of_a_crash() {
    for after in [0, 200, 400, 600] {
        let world = World::new();
        let mut nodes: BTreeMap<&str, _> = BTreeMap::new();
        for name in ["a", "b"] {
            nodes.insert(name, world.node(name).await);
        }
        sleep_ms(4_000 + after).await;
        world.name_version(2);
        wait_until(|| !world.replicas.orders().is_empty()).await;
        let leader = world.replicas.orders()[0].leader.clone();
        let crashed_at = tokio::time::Instant::now();
        nodes.remove(&*leader);
        wait_until(|| all_loaded(&world, 2)).await;
        let orders = world.replicas.orders();
        let last = orders.iter().rfind(|o| o.leader == leader).unwrap();
        let first = orders.iter().find(|o| o.leader != leader).unwrap();
        assert!(
            first.received_at - last.received_at >= ORDER_GAP,
            "{:?}",
            first.received_at - last.received_at
        );
        assert!(
            first.received_at - crashed_at <= Duration::from_millis(4_900),
            "{:?}",
            first.received_at - crashed_at
        );
    }
}

#[tokio::test(start_paused = true)]
async fn the_order_gap_is_kept_when_a_leader_drains() {
    for after in [0, 300, 700, 1_100] {
        let world = World::new();
        let nodes = [world.node("a").await, world.node("b").await];
        sleep_ms(4_000).await;
        world.name_version(2);
        wait_until(|| !world.replicas.orders().is_empty()).await;
        sleep_ms(after).await;
        let leader = world.replicas.orders()[0].leader.clone();
        let old = nodes.iter().find(|n| *n.app().settings.name == *leader).unwrap();
        old.entry.drain().await;
        world.name_version(3);
        wait_until(|| all_loaded(&world, 3)).await;
        let orders = world.replicas.orders();
        for pair in orders.windows(2) {
            let gap = pair[1].received_at - pair[0].received_at;
            assert!(pair[1].leader == pair[0].leader || gap >= ORDER_GAP, "{gap:?}");
        }
    }
}
