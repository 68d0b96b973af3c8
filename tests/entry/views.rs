//! Tests of what nodes know of the configuration, the replicas and each other from the store.

use mulberrycourse::edge::schema::Directive;
use mulberrycourse::entry::RelayResponse;
use standins::kv::{Faults, Outage};
use std::time::Duration;

use crate::world::{
    Node, World, answered_calls, charged_calls, plain_replicas_used, relay_request, sleep_ms,
    wait_until,
};

/// Returns the version of the configuration that a node has.
fn version(node: &Node) -> u64 {
    node.app().routes().unwrap().version
}

#[tokio::test(start_paused = true)]
async fn a_configuration_is_in_force_at_once_and_is_never_replaced_by_an_older_one() {
    let world = World::new();
    let node = world.node("a").await;
    world.configure(9);
    sleep_ms(50).await;
    assert_eq!(version(&node), 9);
    world.configure(5);
    sleep_ms(5_000).await;
    assert_eq!(version(&node), 9);
}

/// Guards against a watch that ends as the store drops its history and is resumed from a dropped
/// revision. It then got no changes for five seconds.
#[tokio::test(start_paused = true)]
async fn a_change_made_as_the_store_drops_its_history_is_seen() {
    let world = World::new();
    let node = world.node("a").await;
    world.configure(2);
    sleep_ms(100).await;
    let refusing = Faults { outage: Some(Outage::Refusing), ..Faults::default() };
    node.store.set_faults(refusing);
    world.configure(3);
    world.kv.compact();
    node.store.set_faults(Faults::default());
    sleep_ms(1_500).await;
    assert_eq!(version(&node), 3);
}

/// Guards against a dropped history going undetected because no watch is open while changes are
/// batched.
#[tokio::test(start_paused = true)]
async fn a_replica_that_drains_as_the_store_drops_its_history_gets_no_new_work() {
    let world = World::new();
    let node = world.node("a").await;
    sleep_ms(2_000).await;
    world.replicas.write_entry("plain", "p2", false);
    sleep_ms(100).await;
    world.replicas.write_entry("plain", "p1", true);
    world.kv.compact();
    sleep_ms(1_500).await;
    assert_eq!(plain_replicas_used(&world, &node, "t").await, ["p2"; 6]);
}

#[tokio::test(start_paused = true)]
async fn a_disconnected_node_catches_up_once_the_store_answers_again() {
    let world = World::new();
    let node = world.node("a").await;
    node.store.set_faults(Faults { outage: Some(Outage::Unresponsive), ..Faults::default() });
    sleep_ms(3_000).await;
    world.configure(7);
    sleep_ms(3_000).await;
    assert_eq!(version(&node), 1);
    node.store.set_faults(Faults::default());
    sleep_ms(2_000).await;
    assert_eq!(version(&node), 7);
}

#[tokio::test(start_paused = true)]
async fn a_crashed_node_is_deregistered_within_its_lease() {
    let world = World::new();
    let nodes = [world.node("a").await, world.node("b").await, world.node("c").await];
    let [a, b, c] = nodes;
    wait_until(|| world.kv.items("mulberry/live/node/").len() == 3).await;
    drop(c);
    sleep_ms(2_500).await;
    assert_eq!(world.kv.items("mulberry/live/node/").len(), 2);
    assert!(!a.app().client_addresses("z").is_empty());
    drop(b);
}

/// Guards against a node whose lease has ended before it registers asking for the next lease at
/// once: two calls every 8 ms.
#[tokio::test(start_paused = true)]
async fn a_node_whose_leases_end_at_once_pauses_between_registrations() {
    let world = World::new();
    let node = world.node("a").await;
    node.store.set_faults(Faults { leases_end: true, ..Faults::default() });
    world.kv.expire_leases();
    sleep_ms(2_000).await;
    let before = answered_calls(&node, "Grant");
    sleep_ms(3_000).await;
    let granted = answered_calls(&node, "Grant") - before;
    assert!((10..=20).contains(&granted), "{granted}");
    node.store.set_faults(Faults::default());
    sleep_ms(500).await;
    assert_eq!(world.kv.items("mulberry/live/node/").len(), 1);
}

/// Guards against the watch of a job's record resuming from the revision of the record, which may
/// lie before a dropped history: the store then refuses one watch after the other.
#[tokio::test(start_paused = true)]
async fn a_dropped_history_costs_few_calls_for_a_job() {
    let world = World::new();
    let node = world.node("a").await;
    world.replicas.set_event_count("i1", 400);
    node.submit("j", &["i1"]).await;
    sleep_ms(1_000).await;
    world.configure(2);
    node.store.set_faults(Faults { refuses_dropped: true, ..Faults::default() });
    world.kv.compact();
    let before = charged_calls(std::slice::from_ref(&node));
    sleep_ms(2_000).await;
    let calls = charged_calls(std::slice::from_ref(&node)) - before;
    assert!(calls <= 30, "{calls}");
}

#[tokio::test(start_paused = true)]
async fn nodes_whose_leases_end_together_stay_known_and_register_again() {
    let world = World::new();
    let nodes = [world.node("a").await, world.node("b").await, world.node("c").await];
    world.replicas.set_event_count("i1", 100);
    nodes[0].submit("j", &["i1"]).await;
    sleep_ms(300).await;
    world.kv.expire_leases();
    sleep_ms(300).await;
    assert_eq!(nodes[0].app().client_addresses("z").len(), 3);
    sleep_ms(2_000).await;
    assert_eq!(world.kv.items("mulberry/live/node/").len(), 3);
    nodes[1].read_all("j", 1).await;
    let texts = world.replicas.runs().iter().filter(|r| &*r.id == "i1").count();
    assert_eq!(texts, 1, "a job was taken over from an owner that is alive");
}

#[tokio::test(start_paused = true)]
async fn entries_that_expire_in_an_outage_stay_in_use_until_they_can_be_written_again() {
    let world = World::new();
    let node = world.node("a").await;
    node.store.set_faults(Faults { outage: Some(Outage::Refusing), ..Faults::default() });
    sleep_ms(500).await;
    world.schema.remove_replica(&world.kv, "p1");
    world.schema.remove_replica(&world.kv, "p2");
    node.store.set_faults(Faults::default());
    sleep_ms(1_000).await;
    let route = node.app().routes().unwrap().find("host.example", "/plain/x").cloned().unwrap();
    let request = relay_request("r1", "/plain/x");
    let response = node.app().relay(&route, request).await;
    assert!(matches!(response, RelayResponse::Complete { .. }), "{response:?}");
    world.replicas.write_entry("plain", "p1", false);
    sleep_ms(3_000).await;
    for i in 0..6 {
        let request = relay_request(&format!("q{i}"), "/plain/x");
        node.app().relay(&route, request).await;
    }
    let late = world.replicas.runs();
    assert!(late.iter().filter(|r| r.id.starts_with('q')).all(|r| &*r.replica == "p1"));
}

#[tokio::test(start_paused = true)]
async fn a_draining_node_is_not_ready_and_deregisters() {
    let world = World::new();
    let (a, b) = (world.node("a").await, world.node("b").await);
    wait_until(|| b.app().client_addresses("z").len() == 2).await;
    let started = tokio::time::Instant::now();
    a.entry.drain().await;
    assert!(!a.app().ready());
    assert!(
        started.elapsed() >= Duration::from_secs(3),
        "some clients cache an address list for three times its time to live"
    );
    assert_eq!(world.kv.items("mulberry/live/node/").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_node_without_a_disk_ignores_retirement_requests() {
    let world = World::new();
    let _node = world.node("a").await;
    let directive = Directive::Retire { node: "a".into(), within: Duration::from_secs(9) };
    world.schema.write_directive(&world.kv, "retire/a", directive);
    sleep_ms(1_000).await;
    assert!(world.kv.items("retired/").is_empty());
}

/// Guards against every node handling the weight loads of all replicas once a second, although only
/// the owners of jobs use them. If owners batched changes for as long as other nodes, training
/// steps would wait for weights.
#[tokio::test(start_paused = true)]
async fn changes_of_replicas_are_batched_longer_where_no_job_runs() {
    let world = World::new();
    let drain = Duration::from_secs(3);
    let (idle, owner) = (
        world.node_with_drain_time("a", drain).await,
        world.node_with_drain_time("b", drain).await,
    );
    world.replicas.set_event_count("i1", 2_000);
    owner.submit("j", &["i1"]).await;
    sleep_ms(3_000).await;
    let before = [answered_calls(&idle, "Watch"), answered_calls(&owner, "Watch")];
    for i in 0..100 {
        world.replicas.write_entry("plain", "p1", i % 2 == 0);
        sleep_ms(100).await;
    }
    let watches =
        [answered_calls(&idle, "Watch") - before[0], answered_calls(&owner, "Watch") - before[1]];
    assert!(watches[0] <= 7, "{watches:?}");
    assert!(watches[1] >= 9, "{watches:?}");
}

#[tokio::test(start_paused = true)]
async fn a_draining_replica_gets_no_work_after_its_drain_time() {
    let world = World::new();
    let drain = Duration::from_secs(3);
    let node = world.node_with_drain_time("a", drain).await;
    sleep_ms(3_000).await;
    world.replicas.write_entry("plain", "p2", false);
    sleep_ms(50).await;
    // The previous change has just arrived, so this one is batched for the longest time.
    world.replicas.write_entry("plain", "p1", true);
    sleep_ms(2_000).await;
    assert_eq!(plain_replicas_used(&world, &node, "t").await, ["p2"; 6]);
}

/// Guards against a replica whose entry is removed as a watch ends being taken for one that expired
/// in an outage, and getting work for two seconds more.
#[tokio::test(start_paused = true)]
async fn a_replica_that_is_removed_as_a_watch_ends_gets_no_new_work() {
    let world = World::new();
    let node = world.node("a").await;
    sleep_ms(2_000).await;
    world.schema.remove_replica(&world.kv, "p1");
    world.kv.compact();
    sleep_ms(1_500).await;
    assert_eq!(plain_replicas_used(&world, &node, "t").await, ["p2"; 6]);
}

/// Guards against watches that wait for longer than the store retains its history: they fail, and
/// all nodes read every prefix again at the same time.
#[tokio::test(start_paused = true)]
async fn watches_are_shorter_than_the_history_of_the_store() {
    let world = World::new();
    for history in [20, 8] {
        let history = Duration::from_secs(history);
        let node = world.node_with_store_history("a", history).await;
        sleep_ms(60_000).await;
        assert!(node.store.longest_wait() <= history * 3 / 4, "{:?}", node.store.longest_wait());
    }
}

#[tokio::test(start_paused = true)]
async fn calls_to_the_store_are_counted_by_purpose() {
    let world = World::new();
    let node = world.node("a").await;
    node.submit("j", &["i1"]).await;
    node.read_all("j", 1).await;
    world.name_version(2);
    sleep_ms(8_000).await;
    let text = node.app().metrics();
    for (call, purpose) in [
        ("Range", "Routes"),
        ("Range", "Replicas"),
        ("Range", "Nodes"),
        ("Range", "Versions"),
        ("Txn", "Nodes"),
        ("Txn", "Holder"),
        ("Txn", "Homes"),
        ("Txn", "Results"),
        ("Keep", "Lease"),
    ] {
        let labels = format!("{{call=\"{call}\",end=\"Answered\",purpose=\"{purpose}\"}} ");
        assert!(text.contains(&format!("mulberry_store_calls_total{labels}")), "{labels}\n{text}");
    }
}

/// A replica whose entry was written by another program and does not parse is not used. The other
/// entries stay in use, and the replica is used again once its entry parses.
#[tokio::test(start_paused = true)]
async fn a_replica_with_an_invalid_entry_gets_no_work() {
    let world = World::new();
    let node = world.node("a").await;
    sleep_ms(2_000).await;
    let key =
        world.kv.items("replicas/").iter().find(|i| i.key.ends_with("p1")).unwrap().key.clone();
    world.kv.put(&key, "{\"serv");
    sleep_ms(2_000).await;
    assert_eq!(plain_replicas_used(&world, &node, "t").await, ["p2"; 6]);
    world.kv.compact();
    sleep_ms(2_000).await;
    assert_eq!(plain_replicas_used(&world, &node, "u").await, ["p2"; 6]);
    world.replicas.write_entry("plain", "p1", false);
    sleep_ms(2_000).await;
    assert!(plain_replicas_used(&world, &node, "v").await.contains(&"p1".to_owned()));
}
