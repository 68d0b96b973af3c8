//! What nodes believe of the configuration, the replicas and each other.

use mulberrycourse::edge::schema::Directive;
use standins::kv::{Away, Faults};
use std::time::Duration;

use crate::world::{World, calls, pass, until, used};

fn version(node: &crate::world::Node) -> u64 {
    node.app().routes().unwrap().version
}

#[tokio::test(start_paused = true)]
async fn a_configuration_is_in_force_at_once_and_never_goes_back() {
    let world = World::new();
    let node = world.node("a").await;
    world.configure(9);
    pass(50).await;
    assert_eq!(version(&node), 9);
    world.configure(5);
    pass(5_000).await;
    assert_eq!(version(&node), 9);
}

/// Guards: a watch that was cut as the history was dropped went on from before and heard
/// nothing for five seconds.
#[tokio::test(start_paused = true)]
async fn a_change_beside_a_dropped_history_is_seen() {
    let world = World::new();
    let node = world.node("a").await;
    world.configure(2);
    pass(100).await;
    let quiet = Faults { away: Some(Away::Refusing), ..Faults::default() };
    node.line.fail(quiet);
    world.configure(3);
    world.kv.compact();
    node.line.fail(Faults::default());
    pass(1_500).await;
    assert_eq!(version(&node), 3);
}

/// Guards: a watch that rested between two changes was not there to be cut.
#[tokio::test(start_paused = true)]
async fn a_replica_that_leaves_beside_a_dropped_history_gets_no_new_work() {
    let world = World::new();
    let node = world.node("a").await;
    pass(2_000).await;
    world.replicas.list("plain", "p2", false);
    pass(100).await;
    world.replicas.list("plain", "p1", true);
    world.kv.compact();
    pass(1_500).await;
    assert_eq!(used(&world, &node, "t").await, ["p2"; 6]);
}

#[tokio::test(start_paused = true)]
async fn a_node_that_is_turned_away_catches_up_within_a_second_of_its_return() {
    let world = World::new();
    let node = world.node("a").await;
    node.line.fail(Faults { away: Some(Away::Silent), ..Faults::default() });
    pass(3_000).await;
    world.configure(7);
    pass(3_000).await;
    assert_eq!(version(&node), 1);
    node.line.fail(Faults::default());
    pass(2_000).await;
    assert_eq!(version(&node), 7);
}

#[tokio::test(start_paused = true)]
async fn a_dead_node_leaves_the_addresses_within_its_lease() {
    let world = World::new();
    let nodes = [world.node("a").await, world.node("b").await, world.node("c").await];
    let [a, b, c] = nodes;
    until(|| world.kv.items("mulberry/live/node/").len() == 3).await;
    drop(c);
    pass(2_500).await;
    assert_eq!(world.kv.items("mulberry/live/node/").len(), 2);
    assert!(!a.app().client_addresses("z").is_empty());
    drop(b);
}

#[tokio::test(start_paused = true)]
async fn nodes_whose_leases_end_together_stay_known_and_come_back() {
    let world = World::new();
    let nodes = [world.node("a").await, world.node("b").await, world.node("c").await];
    world.replicas.length("i1", 100);
    nodes[0].submit("j", &["i1"]).await;
    pass(300).await;
    world.kv.lapse();
    pass(300).await;
    assert_eq!(nodes[0].app().client_addresses("z").len(), 3);
    pass(2_000).await;
    assert_eq!(world.kv.items("mulberry/live/node/").len(), 3);
    nodes[1].whole("j", 1).await;
    let texts = world.replicas.ran().iter().filter(|r| &*r.id == "i1").count();
    assert_eq!(texts, 1, "a job was taken from a home that was alive");
}

#[tokio::test(start_paused = true)]
async fn entries_that_lapse_in_an_outage_are_kept_until_they_could_be_back() {
    let world = World::new();
    let node = world.node("a").await;
    node.line.fail(Faults { away: Some(Away::Refusing), ..Faults::default() });
    pass(500).await;
    world.words.unlist(&world.kv, "p1");
    world.words.unlist(&world.kv, "p2");
    node.line.fail(Faults::default());
    pass(1_000).await;
    let route = node.app().routes().unwrap().find("host.example", "/plain/x").cloned().unwrap();
    let ask = crate::world::ask("r1", "/plain/x");
    let given = node.app().relay(&route, ask).await;
    assert!(matches!(given, mulberrycourse::entry::Given::Whole { .. }), "{given:?}");
    world.replicas.list("plain", "p1", false);
    pass(3_000).await;
    for i in 0..6 {
        let ask = crate::world::ask(&format!("q{i}"), "/plain/x");
        node.app().relay(&route, ask).await;
    }
    let late = world.replicas.ran();
    assert!(late.iter().filter(|r| r.id.starts_with('q')).all(|r| &*r.replica == "p1"));
}

#[tokio::test(start_paused = true)]
async fn a_leaving_node_is_not_ready_and_out_of_the_addresses() {
    let world = World::new();
    let (a, b) = (world.node("a").await, world.node("b").await);
    until(|| b.app().client_addresses("z").len() == 2).await;
    let begun = tokio::time::Instant::now();
    a.entry.drain().await;
    assert!(!a.app().ready());
    assert!(
        begun.elapsed() >= Duration::from_secs(3),
        "clients keep an answer three times as long"
    );
    assert_eq!(world.kv.items("mulberry/live/node/").len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_machine_without_a_disk_does_not_answer_for_one() {
    let world = World::new();
    let _node = world.node("a").await;
    let notice = Directive::Retire { node: "a".into(), within: Duration::from_secs(9) };
    world.words.write(&world.kv, "retire/a", notice);
    pass(1_000).await;
    assert!(world.kv.items("retired/").is_empty());
}

/// Guards: every node was woken once a second by the loads of all replicas, while only the
/// homes of jobs use what they say; gathered for as long at homes, steps waited for weights.
#[tokio::test(start_paused = true)]
async fn changes_of_replicas_are_gathered_longer_where_no_job_runs() {
    let world = World::new();
    let drain = Duration::from_secs(3);
    let (idle, home) =
        (world.node_that_drains("a", drain).await, world.node_that_drains("b", drain).await);
    world.replicas.length("i1", 2_000);
    home.submit("j", &["i1"]).await;
    pass(3_000).await;
    let before = [calls(&idle, "Watch"), calls(&home, "Watch")];
    for turn in 0..100 {
        world.replicas.list("plain", "p1", turn % 2 == 0);
        pass(100).await;
    }
    let watches = [calls(&idle, "Watch") - before[0], calls(&home, "Watch") - before[1]];
    assert!(watches[0] <= 7, "{watches:?}");
    assert!(watches[1] >= 9, "{watches:?}");
}

#[tokio::test(start_paused = true)]
async fn a_replica_that_leaves_gets_no_work_after_the_time_to_drain() {
    let world = World::new();
    let drain = Duration::from_secs(3);
    let node = world.node_that_drains("a", drain).await;
    pass(3_000).await;
    world.replicas.list("plain", "p2", false);
    pass(50).await;
    // The change before it has just come, so that this one is gathered for the longest time.
    world.replicas.list("plain", "p1", true);
    pass(2_000).await;
    assert_eq!(used(&world, &node, "t").await, ["p2"; 6]);
}

/// Guards: a replica whose entry went as a watch was cut counted as one that had lapsed in an
/// outage, and got work for two seconds more.
#[tokio::test(start_paused = true)]
async fn a_replica_that_goes_beside_a_cut_watch_gets_no_new_work() {
    let world = World::new();
    let node = world.node("a").await;
    pass(2_000).await;
    world.words.unlist(&world.kv, "p1");
    world.kv.compact();
    pass(1_500).await;
    assert_eq!(used(&world, &node, "t").await, ["p2"; 6]);
}

/// Guards: a watch that waited for longer than the store keeps its history came to nothing,
/// and every view was read anew, at all nodes at the same time.
#[tokio::test(start_paused = true)]
async fn watches_are_shorter_than_the_history_of_the_store() {
    let world = World::new();
    for history in [20, 8] {
        let history = Duration::from_secs(history);
        let node = world.node_that_remembers("a", history).await;
        pass(60_000).await;
        assert!(node.line.longest() <= history * 3 / 4, "{:?}", node.line.longest());
    }
}

#[tokio::test(start_paused = true)]
async fn calls_to_the_store_are_counted_by_what_they_are_about() {
    let world = World::new();
    let node = world.node("a").await;
    node.submit("j", &["i1"]).await;
    node.whole("j", 1).await;
    world.name(2);
    pass(8_000).await;
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

/// An entry of another writer that can't be read names no replica; the others hold, and the
/// replica is used again once its entry can be read.
#[tokio::test(start_paused = true)]
async fn a_replica_whose_entry_can_not_be_read_gets_no_work() {
    let world = World::new();
    let node = world.node("a").await;
    pass(2_000).await;
    let key =
        world.kv.items("replicas/").iter().find(|i| i.key.ends_with("p1")).unwrap().key.clone();
    world.kv.put(&key, "{\"serv");
    pass(2_000).await;
    assert_eq!(used(&world, &node, "t").await, ["p2"; 6]);
    world.kv.compact();
    pass(2_000).await;
    assert_eq!(used(&world, &node, "u").await, ["p2"; 6]);
    world.replicas.list("plain", "p1", false);
    pass(2_000).await;
    assert!(used(&world, &node, "v").await.contains(&"p1".to_owned()));
}
