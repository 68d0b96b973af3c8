//! One holder of orders at a time.

use std::collections::BTreeMap;
use std::time::Duration;

use standins::kv::{Away, Faults};

use crate::world::{MODEL, World, pass, until};

/// How long orders of two holders must lie apart by default.
const TURN: Duration = Duration::from_millis(3_000);

fn moved(world: &World, version: u64) -> bool {
    ["e1", "e2", "e3"].iter().all(|id| world.replicas.version(id, MODEL) == version)
}

#[tokio::test(start_paused = true)]
async fn all_replicas_get_a_named_version_by_one_holder() {
    let world = World::new();
    let _a = world.node("a").await;
    let _b = world.node("b").await;
    pass(4_000).await;
    world.name(2);
    until(|| moved(&world, 2)).await;
    let ordered = world.replicas.ordered();
    assert_eq!(ordered.iter().filter(|o| o.accepted).count(), 3);
    assert!(ordered.iter().all(|o| o.holder == ordered[0].holder && o.fence == ordered[0].fence));
}

#[tokio::test(start_paused = true)]
async fn a_new_holder_waits_its_turn_and_has_a_higher_token() {
    let world = World::new();
    let mut nodes: BTreeMap<&str, _> = BTreeMap::new();
    for name in ["a", "b"] {
        nodes.insert(name, world.node(name).await);
    }
    pass(4_000).await;
    world.name(2);
    until(|| moved(&world, 2)).await;
    let last = world.replicas.ordered().last().unwrap().clone();
    nodes.remove(&*last.holder);
    world.name(3);
    until(|| moved(&world, 3)).await;
    let ordered = world.replicas.ordered();
    let first = ordered.iter().find(|o| o.version == 3).unwrap();
    assert_ne!(first.holder, last.holder);
    assert!(first.fence > last.fence);
    assert!(first.at - last.at >= TURN, "{:?}", first.at - last.at);
}

#[tokio::test(start_paused = true)]
async fn a_holder_that_is_cut_off_gives_no_order_once_another_may() {
    let world = World::new();
    let nodes = [world.node("a").await, world.node("b").await];
    pass(4_000).await;
    world.name(2);
    until(|| moved(&world, 2)).await;
    let holder = world.replicas.ordered()[0].holder.clone();
    let old = nodes.iter().find(|n| *n.app().settings.name == *holder).unwrap();
    old.line.fail(Faults { away: Some(Away::Silent), ..Faults::default() });
    world.name(3);
    until(|| moved(&world, 3)).await;
    old.line.fail(Faults::default());
    pass(4_000).await;
    world.name(4);
    until(|| moved(&world, 4)).await;
    let ordered = world.replicas.ordered();
    for pair in ordered.windows(2) {
        assert!(pair[1].fence >= pair[0].fence);
        if pair[1].holder != pair[0].holder {
            assert!(pair[1].at - pair[0].at >= TURN);
        }
    }
}

#[tokio::test(start_paused = true)]
async fn an_order_that_is_carried_out_late_is_accepted_once() {
    let world = World::new();
    let _a = world.node("a").await;
    pass(4_000).await;
    world.replicas.late("e1", Some(Duration::from_secs(5)));
    world.name(2);
    pass(4_000).await;
    world.replicas.late("e1", None);
    until(|| moved(&world, 2)).await;
    pass(15_000).await;
    let ordered = world.replicas.ordered();
    let accepted = ordered.iter().filter(|o| &*o.replica == "e1" && o.accepted);
    assert_eq!(accepted.count(), 1);
}

/// Guards: a new holder waited a whole turn after the old one's lease had ended, though that
/// had given its last order a second before at the latest; steps waited for weights.
#[tokio::test(start_paused = true)]
async fn a_new_holder_gives_orders_within_five_seconds_of_a_death() {
    for after in [0, 200, 400, 600] {
        let world = World::new();
        let mut nodes: BTreeMap<&str, _> = BTreeMap::new();
        for name in ["a", "b"] {
            nodes.insert(name, world.node(name).await);
        }
        pass(4_000 + after).await;
        world.name(2);
        until(|| !world.replicas.ordered().is_empty()).await;
        let holder = world.replicas.ordered()[0].holder.clone();
        let died = tokio::time::Instant::now();
        nodes.remove(&*holder);
        until(|| moved(&world, 2)).await;
        let ordered = world.replicas.ordered();
        let last = ordered.iter().rfind(|o| o.holder == holder).unwrap();
        let first = ordered.iter().find(|o| o.holder != holder).unwrap();
        assert!(first.at - last.at >= TURN, "{:?}", first.at - last.at);
        assert!(first.at - died <= Duration::from_millis(4_900), "{:?}", first.at - died);
    }
}

#[tokio::test(start_paused = true)]
async fn orders_lie_a_turn_apart_where_a_holder_leaves() {
    for after in [0, 300, 700, 1_100] {
        let world = World::new();
        let nodes = [world.node("a").await, world.node("b").await];
        pass(4_000).await;
        world.name(2);
        until(|| !world.replicas.ordered().is_empty()).await;
        pass(after).await;
        let holder = world.replicas.ordered()[0].holder.clone();
        let old = nodes.iter().find(|n| *n.app().settings.name == *holder).unwrap();
        old.entry.drain().await;
        world.name(3);
        until(|| moved(&world, 3)).await;
        let ordered = world.replicas.ordered();
        for pair in ordered.windows(2) {
            let apart = pair[1].at - pair[0].at;
            assert!(pair[1].holder == pair[0].holder || apart >= TURN, "{apart:?}");
        }
    }
}
