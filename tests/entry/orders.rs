//! Only one node at a time, the leader, orders weight loads.

use std::collections::BTreeMap;
use std::time::Duration;

use standins::kv::{Away, Faults};

use crate::world::{MODEL, World, sleep_ms, wait_until};

/// Minimum time between the orders of two leaders: the default of `[orders] turn`.
const ORDER_GAP: Duration = Duration::from_millis(3_000);

/// Whether all engine replicas have loaded a version.
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
    let ordered = world.replicas.ordered();
    assert_eq!(ordered.iter().filter(|o| o.accepted).count(), 3);
    assert!(ordered.iter().all(|o| o.holder == ordered[0].holder && o.fence == ordered[0].fence));
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
    let last = world.replicas.ordered().last().unwrap().clone();
    nodes.remove(&*last.holder);
    world.name_version(3);
    wait_until(|| all_loaded(&world, 3)).await;
    let ordered = world.replicas.ordered();
    let first = ordered.iter().find(|o| o.version == 3).unwrap();
    assert_ne!(first.holder, last.holder);
    assert!(first.fence > last.fence);
    assert!(first.at - last.at >= ORDER_GAP, "{:?}", first.at - last.at);
}

#[tokio::test(start_paused = true)]
async fn a_disconnected_leader_gives_no_order_once_another_may() {
    let world = World::new();
    let nodes = [world.node("a").await, world.node("b").await];
    sleep_ms(4_000).await;
    world.name_version(2);
    wait_until(|| all_loaded(&world, 2)).await;
    let holder = world.replicas.ordered()[0].holder.clone();
    let old = nodes.iter().find(|n| *n.app().settings.name == *holder).unwrap();
    old.line.fail(Faults { away: Some(Away::Silent), ..Faults::default() });
    world.name_version(3);
    wait_until(|| all_loaded(&world, 3)).await;
    old.line.fail(Faults::default());
    sleep_ms(4_000).await;
    world.name_version(4);
    wait_until(|| all_loaded(&world, 4)).await;
    let ordered = world.replicas.ordered();
    for pair in ordered.windows(2) {
        assert!(pair[1].fence >= pair[0].fence);
        if pair[1].holder != pair[0].holder {
            assert!(pair[1].at - pair[0].at >= ORDER_GAP);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn an_order_that_takes_effect_late_is_accepted_once() {
    let world = World::new();
    let _a = world.node("a").await;
    sleep_ms(4_000).await;
    world.replicas.late("e1", Some(Duration::from_secs(5)));
    world.name_version(2);
    sleep_ms(4_000).await;
    world.replicas.late("e1", None);
    wait_until(|| all_loaded(&world, 2)).await;
    sleep_ms(15_000).await;
    let ordered = world.replicas.ordered();
    let accepted = ordered.iter().filter(|o| &*o.replica == "e1" && o.accepted);
    assert_eq!(accepted.count(), 1);
}

/// Guards against a new leader that waits the whole order gap after its predecessor's lease has
/// ended. The predecessor gave its last order at least a second before that, and training steps
/// wait for the weights meanwhile.
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
        wait_until(|| !world.replicas.ordered().is_empty()).await;
        let holder = world.replicas.ordered()[0].holder.clone();
        let died = tokio::time::Instant::now();
        nodes.remove(&*holder);
        wait_until(|| all_loaded(&world, 2)).await;
        let ordered = world.replicas.ordered();
        let last = ordered.iter().rfind(|o| o.holder == holder).unwrap();
        let first = ordered.iter().find(|o| o.holder != holder).unwrap();
        assert!(first.at - last.at >= ORDER_GAP, "{:?}", first.at - last.at);
        assert!(first.at - died <= Duration::from_millis(4_900), "{:?}", first.at - died);
    }
}

#[tokio::test(start_paused = true)]
async fn the_order_gap_is_kept_when_a_leader_leaves() {
    for after in [0, 300, 700, 1_100] {
        let world = World::new();
        let nodes = [world.node("a").await, world.node("b").await];
        sleep_ms(4_000).await;
        world.name_version(2);
        wait_until(|| !world.replicas.ordered().is_empty()).await;
        sleep_ms(after).await;
        let holder = world.replicas.ordered()[0].holder.clone();
        let old = nodes.iter().find(|n| *n.app().settings.name == *holder).unwrap();
        old.entry.drain().await;
        world.name_version(3);
        wait_until(|| all_loaded(&world, 3)).await;
        let ordered = world.replicas.ordered();
        for pair in ordered.windows(2) {
            let apart = pair[1].at - pair[0].at;
            assert!(pair[1].holder == pair[0].holder || apart >= ORDER_GAP, "{apart:?}");
        }
    }
}
