//! Tests that the leader orders replicas when training steps need more slots than there are.

use std::time::Duration;

use mulberrycourse::entry::{PeerReply, PeerRequest, PeerResponder};

use crate::world::{Node, World, sleep_ms, wait_until};

/// The maximum number of replicas that the routes allow.
const MAX_REPLICAS: u32 = 9;
/// Number of events of a text that takes three and a half seconds.
const LONG_TEXT_EVENTS: u64 = 100;

/// Submits a job whose texts need more than four times the slots that there are. Returns the number
/// of texts.
async fn submit_many(world: &World, node: &Node) -> usize {
    let ids: Vec<String> = (0..120).map(|i| format!("i{i}")).collect();
    let ids: Vec<&str> = ids.iter().map(|id| &**id).collect();
    ids.iter().for_each(|id| world.replicas.set_event_count(id, LONG_TEXT_EVENTS));
    node.submit("j", &ids).await;
    ids.len()
}

/// Returns the replica counts of all orders, oldest first.
fn desired_counts(world: &World) -> Vec<u32> {
    world.duties.orders().iter().map(|(_, order)| order.desired).collect()
}

#[tokio::test(start_paused = true)]
async fn waiting_texts_lead_to_more_replicas_and_complete_sooner() {
    let mut took = Vec::new();
    for scaled in [false, true] {
        let world = if scaled { World::new().with_duties() } else { World::new() };
        let a = world.linked_node("a").await;
        sleep_ms(4_000).await;
        let started = world.clock.true_time();
        let total = submit_many(&world, &a).await;
        if scaled {
            wait_until(|| desired_counts(&world) == [MAX_REPLICAS]).await;
            sleep_ms(4_000).await;
            for i in 4..=MAX_REPLICAS {
                world.replicas.add("engines", &format!("e{i}"), &["coach"]);
            }
        }
        a.read_all("j", total).await;
        took.push(world.clock.true_time() - started);
        assert_eq!(desired_counts(&world), if scaled { vec![MAX_REPLICAS] } else { vec![] });
    }
    assert!(took[1] * 4 < took[0] * 3, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn few_texts_order_no_replicas() {
    let world = World::new().with_duties();
    let a = world.linked_node("a").await;
    sleep_ms(4_000).await;
    for step in 0..8 {
        let ids: Vec<String> = (0..24).map(|i| format!("{step}-{i}")).collect();
        let ids: Vec<&str> = ids.iter().map(|id| &**id).collect();
        a.submit(&format!("j{step}"), &ids).await;
        sleep_ms(2_000).await;
    }
    assert_eq!(desired_counts(&world), Vec::<u32>::new());
}

/// The leader crashes before, while or after it sends an order. The next leader sends the order
/// that was written to the store, and no order has a lower fencing token than an earlier one.
#[tokio::test(start_paused = true)]
async fn a_new_leader_sends_the_written_order() {
    for crash_after_ms in [4_000, 5_000, 5_010, 5_020, 6_000, 7_500] {
        let world = World::new().with_duties();
        let mut nodes = vec![world.linked_node("a").await, world.linked_node("b").await];
        sleep_ms(5_000).await;
        let leader = world.leader(&nodes);
        submit_many(&world, &nodes[1 - leader]).await;
        sleep_ms(crash_after_ms).await;
        drop(nodes.remove(leader));
        wait_until(|| desired_counts(&world).last() == Some(&MAX_REPLICAS)).await;
        sleep_ms(8_000).await;
        let ordered = world.duties.orders();
        let fencing_tokens: Vec<u64> = ordered.iter().map(|(token, _)| *token).collect();
        assert!(fencing_tokens.is_sorted(), "after {crash_after_ms} ms: {fencing_tokens:?}");
        assert!(
            desired_counts(&world).iter().all(|d| *d == MAX_REPLICAS),
            "after {crash_after_ms} ms: {ordered:?}"
        );
    }
}

/// The platform refuses an order because it has no replicas left. The order is repeated after a
/// pause, not at once.
#[tokio::test(start_paused = true)]
async fn a_refused_order_is_repeated_after_a_pause() {
    let world = World::new().with_duties();
    let a = world.linked_node("a").await;
    sleep_ms(4_000).await;
    world.duties.refuse_calls(2);
    let started = world.clock.true_time();
    submit_many(&world, &a).await;
    wait_until(|| desired_counts(&world).contains(&MAX_REPLICAS)).await;
    assert!(world.clock.true_time() - started >= Duration::from_secs(6));
}

/// Returns the time for which samples of a node have waited for slots or held them, in milliseconds.
async fn slot_millis(node: &Node) -> u64 {
    match PeerResponder::new(node.app().clone()).answer(PeerRequest::Demand(None)).await {
        PeerReply::Demand { wanted, .. } => wanted.iter().map(|(_, millis)| millis).sum(),
        other => panic!("{other:?}"),
    }
}

/// Guards against the time between two changes being cut to whole milliseconds: where many samples
/// change within one, too few replicas are ordered.
#[tokio::test(start_paused = true)]
async fn short_times_between_changes_count_as_demand() {
    let world = World::new();
    let a = world.node("a").await;
    ["i1", "i2", "i3"].iter().for_each(|id| world.replicas.set_event_count(id, 2_000));
    a.submit("j", &["i1", "i2", "i3"]).await;
    sleep_ms(100).await;
    let before = slot_millis(&a).await;
    for _ in 0..500 {
        tokio::time::advance(Duration::from_micros(400)).await;
        slot_millis(&a).await;
    }
    let counted = slot_millis(&a).await - before;
    assert!((590..=610).contains(&counted), "{counted}");
}
