//! Replicas are ordered by one holder at a time where steps want more places than there are.

use std::time::Duration;

use crate::world::{Node, World, sleep_ms, wait_until};

/// The most replicas that the routes of these worlds allow.
const MOST: u32 = 9;
/// Events of a text that takes three and a half seconds.
const LONG: u64 = 100;

/// A job whose texts want more than four times the places that there are.
async fn submit_many(world: &World, node: &Node) -> usize {
    let ids: Vec<String> = (0..120).map(|i| format!("i{i}")).collect();
    let ids: Vec<&str> = ids.iter().map(|id| &**id).collect();
    ids.iter().for_each(|id| world.replicas.length(id, LONG));
    node.submit("j", &ids).await;
    ids.len()
}

fn desired(world: &World) -> Vec<u32> {
    world.duties.ordered().iter().map(|(_, order)| order.desired).collect()
}

#[tokio::test(start_paused = true)]
async fn texts_that_wait_bring_replicas_and_end_sooner() {
    let mut took = Vec::new();
    for scaled in [false, true] {
        let world = if scaled { World::new().with_duties() } else { World::new() };
        let a = world.linked_node("a").await;
        sleep_ms(4_000).await;
        let begun = world.clock.truth();
        let total = submit_many(&world, &a).await;
        if scaled {
            wait_until(|| desired(&world) == [MOST]).await;
            sleep_ms(4_000).await;
            for i in 4..=MOST {
                world.replicas.add("engines", &format!("e{i}"), &["coach"]);
            }
        }
        a.read_all("j", total).await;
        took.push(world.clock.truth() - begun);
        assert_eq!(desired(&world), if scaled { vec![MOST] } else { vec![] });
    }
    assert!(took[1] * 4 < took[0] * 3, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn few_texts_order_nothing() {
    let world = World::new().with_duties();
    let a = world.linked_node("a").await;
    sleep_ms(4_000).await;
    for step in 0..8 {
        let ids: Vec<String> = (0..24).map(|i| format!("{step}-{i}")).collect();
        let ids: Vec<&str> = ids.iter().map(|id| &**id).collect();
        a.submit(&format!("j{step}"), &ids).await;
        sleep_ms(2_000).await;
    }
    assert_eq!(desired(&world), Vec::<u32>::new());
}

/// The holder goes before, while and after an order is sent; its successor sends what was
/// written, and nothing with a lower fencing token.
#[tokio::test(start_paused = true)]
async fn a_successor_sends_what_was_written() {
    for cut in [4_000, 5_000, 5_010, 5_020, 6_000, 7_500] {
        let world = World::new().with_duties();
        let mut nodes = vec![world.linked_node("a").await, world.linked_node("b").await];
        sleep_ms(5_000).await;
        let holder = world.leader(&nodes);
        submit_many(&world, &nodes[1 - holder]).await;
        sleep_ms(cut).await;
        drop(nodes.remove(holder));
        wait_until(|| desired(&world).last() == Some(&MOST)).await;
        sleep_ms(8_000).await;
        let ordered = world.duties.ordered();
        let fences: Vec<u64> = ordered.iter().map(|(fence, _)| *fence).collect();
        assert!(fences.is_sorted(), "cut {cut}: {fences:?}");
        assert!(desired(&world).iter().all(|d| *d == MOST), "cut {cut}: {ordered:?}");
    }
}

/// There are none to be had: it is asked for again after a pause, not at once.
#[tokio::test(start_paused = true)]
async fn a_refused_order_is_repeated_after_a_pause() {
    let world = World::new().with_duties();
    let a = world.linked_node("a").await;
    sleep_ms(4_000).await;
    world.duties.refuse(2);
    let begun = world.clock.truth();
    submit_many(&world, &a).await;
    wait_until(|| desired(&world).contains(&MOST)).await;
    assert!(world.clock.truth() - begun >= Duration::from_secs(6));
}
