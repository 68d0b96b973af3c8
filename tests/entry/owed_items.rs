//! Tests of items of jobs under which replicas crash. A job's items are owed: they run again until they
//! complete, whatever crashed the replicas.

use std::time::Duration;

use mulberrycourse::entry::RelayResponse;
use mulberrycourse::error::Kind;
use standins::replicas::Replacement;
use tokio::time::Instant;

use crate::world::{
    HOST, MODEL, World, assert_completed, relay_request, sleep_ms, take_owner, wait_until,
};

/// The item under which replicas crash: its text, or its reward call.
const ITEMS: [(&str, &str); 2] = [("/text/i1", "i1"), ("/plain/score", "score-i1")];
/// How long an item may be at no replica while there are free slots.
const MAX_PAUSE: Duration = Duration::from_millis(2_000);

/// How long a replica that has crashed takes to be back.
const RESTART_TIME: Duration = Duration::from_millis(400);

/// A world with six plain replicas and eight engines. The next runs of a request with this path
/// crash theirs.
fn world_with_crashes(path: &str, after: Duration, count: u32) -> World {
    let world = World::new();
    for id in ["p3", "p4", "p5", "p6"] {
        world.replicas.add("plain", id, &[]);
    }
    for id in ["e4", "e5", "e6", "e7", "e8"] {
        world.replicas.add("engines", id, &[MODEL]);
    }
    world.replicas.set_restart_time(RESTART_TIME);
    world.replicas.crash_times(path, after, count);
    world
}

/// Returns when replicas received each run of a request.
fn run_times(world: &World, id: &str) -> Vec<Instant> {
    let runs = world.replicas.runs();
    runs.iter().filter(|run| &*run.id == id).map(|run| run.received_at).collect()
}

/// Checks that a request ran again soon after each crash, whose run had taken this time.
fn assert_no_pause(world: &World, id: &str, ran: Duration) {
    let times = run_times(world, id);
    let pauses = times.windows(2).map(|pair| (pair[1] - pair[0]).saturating_sub(ran));
    let longest = pauses.max().unwrap_or_default();
    assert!(longest <= MAX_PAUSE, "{id}: {longest:?} between two of {} runs", times.len());
}

/// Guards against an item that never runs again because replicas crashed under it.
#[tokio::test(start_paused = true)]
async fn items_under_which_replicas_crash_are_completed() {
    for (path, id) in ITEMS {
        for (count, after) in [(3, 0), (6, 0), (6, 150), (6, 600), (9, 150), (30, 50)] {
            let after = Duration::from_millis(after);
            let world = world_with_crashes(path, after, count);
            let node = world.linked_node("a").await;
            node.submit("j", &["i1"]).await;
            assert_completed(&node.read_all("j", 1).await[0], 5);
            assert_eq!(run_times(&world, id).len() as u32, count + 1, "{id} {after:?}");
            assert_no_pause(&world, id, after);
        }
    }
}

/// Submits an item under which replicas crash, ends its owner this many times, each after three more
/// runs, and checks that the item is completed.
async fn complete_by_later_owners(changes: usize) {
    for ((path, id), drains) in ITEMS.into_iter().flat_map(|item| [(item, false), (item, true)]) {
        let world = world_with_crashes(path, Duration::from_millis(100), 30);
        let mut nodes = Vec::new();
        for name in ["a", "b", "c", "d", "e", "f"] {
            nodes.push(world.linked_node(name).await);
        }
        nodes[0].submit("j", &["i1"]).await;
        for change in 1..=changes {
            wait_until(|| run_times(&world, id).len() >= 3 * change).await;
            sleep_ms(500).await;
            let owner = take_owner(&world, &mut nodes).await;
            if drains {
                owner.entry.drain().await;
            }
        }
        assert_completed(&nodes[0].read_all("j", 1).await[0], 5);
    }
}

/// Guards against an item that is held by its next owner, for crashes or for runs that its former
/// owners may have sent.
#[tokio::test(start_paused = true)]
async fn items_under_which_replicas_crash_are_completed_by_later_owners() {
    for changes in 1..=5 {
        complete_by_later_owners(changes).await;
    }
}

/// Guards against an item that is held after a while, by any owner, as the replicas that crash under it
/// are replaced by others.
#[tokio::test(start_paused = true)]
async fn items_under_which_replaced_replicas_crash_are_completed() {
    for (path, id) in ITEMS {
        let world = world_with_crashes(path, Duration::from_millis(165), 14);
        let [gone_after, back_after] = [1_000, 3_000].map(Duration::from_millis);
        world.replicas.replace_crashed(Replacement { gone_after, back_after });
        let mut nodes = Vec::new();
        for name in ["a", "b", "c"] {
            nodes.push(world.linked_node(name).await);
        }
        nodes[0].submit("j", &["i1"]).await;
        for change in 1..=2 {
            wait_until(|| run_times(&world, id).len() >= 5 * change).await;
            drop(take_owner(&world, &mut nodes).await);
        }
        assert_completed(&nodes[0].read_all("j", 1).await[0], 5);
        assert!(run_times(&world, id).len() > 14, "{id}");
    }
}

/// Guards against an item that is held because its runs get no response before their replicas crash.
#[tokio::test(start_paused = true)]
async fn items_whose_replicas_crash_after_a_silence_are_completed() {
    for (path, id) in ITEMS {
        let world = world_with_crashes(path, Duration::from_millis(2_000), 12);
        let node = world.linked_node("a").await;
        node.submit("j", &["i1"]).await;
        assert_completed(&node.read_all("j", 1).await[0], 5);
        assert!(run_times(&world, id).len() > 12, "{id}");
    }
}

/// Guards against an item that is held because a client has sent the same content, which was
/// quarantined, and against a client that is refused because of the crashes of an item.
#[tokio::test(start_paused = true)]
async fn crashes_of_items_and_of_requests_with_the_same_content_are_apart() {
    let world = world_with_crashes("/plain/score", Duration::from_millis(50), 9);
    let node = world.linked_node("a").await;
    node.submit("j", &["i1"]).await;
    wait_until(|| run_times(&world, "score-i1").len() == 9).await;
    let route = node.app().routes().unwrap().find(HOST, "/plain/score").cloned().unwrap();
    let response = node.app().relay(&route, relay_request("r1", "/plain/score")).await;
    assert!(matches!(response, RelayResponse::Complete { .. }), "{response:?}");
    node.read_all("j", 1).await;

    world.replicas.crash_after("/plain/score", Duration::from_millis(50));
    for number in 0..12 {
        node.app().relay(&route, relay_request(&format!("q{number}"), "/plain/score")).await;
        sleep_ms(1_000).await;
    }
    let refused = node.app().relay(&route, relay_request("q-last", "/plain/score")).await;
    let RelayResponse::Refused(refusal) = refused else { panic!("{refused:?}") };
    assert_eq!(refusal.kind, Kind::Quarantined);
    world.replicas.crash_times("/plain/score", Duration::ZERO, 0);
    node.submit("k", &["i2"]).await;
    assert_completed(&node.read_all("k", 1).await[0], 5);
}
