//! Nodes that hear of changes from others.

use std::time::Duration;

use standins::kv::{Away, Faults};

use crate::links::Link;
use crate::world::{Node, World, calls, pass, refusals, used};

/// More nodes than watch for themselves.
const MANY: u8 = 20;

async fn many(world: &World) -> Vec<Node> {
    let mut nodes = Vec::new();
    for letter in b'a'..b'a' + MANY {
        nodes.push(world.linked_that_drains(&char::from(letter).to_string(), drain()).await);
    }
    pass(5_000).await;
    nodes
}

fn drain() -> Duration {
    Duration::from_secs(3)
}

fn watches(nodes: &[Node]) -> Vec<u64> {
    nodes.iter().map(|node| calls(node, "Watch")).collect()
}

/// Those that watch for others: they have watched most.
async fn watchers(world: &World, nodes: &[Node]) -> Vec<usize> {
    let before = watches(nodes);
    for turn in 0..40 {
        world.replicas.list("plain", "p2", turn % 2 == 0);
        pass(250).await;
    }
    world.replicas.list("plain", "p2", false);
    pass(2_000).await;
    let after = watches(nodes);
    (0..nodes.len()).filter(|i| after[*i] - before[*i] > 5).collect()
}

/// Guards: every node watched for itself, 2,771 of 6,700 calls in a quiet day with 63 nodes.
#[tokio::test(start_paused = true)]
async fn three_nodes_of_twenty_watch_the_list_of_replicas() {
    let world = World::new();
    let nodes = many(&world).await;
    assert_eq!(watchers(&world, &nodes).await.len(), 3);
}

#[tokio::test(start_paused = true)]
async fn a_replica_that_leaves_is_known_to_all_in_time() {
    let world = World::new();
    let nodes = many(&world).await;
    world.replicas.list("plain", "p2", false);
    pass(50).await;
    world.replicas.list("plain", "p1", true);
    pass(2_000).await;
    for node in &nodes {
        let used = used(&world, node, "t").await;
        assert!(used.iter().all(|r| r == "p2"), "{}: {used:?}", node.app().settings.name);
    }
}

/// Whatever becomes of the nodes that watch, the others know of a change before the time to
/// drain is over.
#[tokio::test(start_paused = true)]
async fn changes_are_known_in_time_though_the_watchers_are_gone() {
    for fate in ["cut", "silent", "turned away", "killed"] {
        let world = World::new();
        let mut nodes = many(&world).await;
        let watchers = watchers(&world, &nodes).await;
        for i in &watchers {
            match fate {
                "cut" => nodes[*i].link(Link::Cut),
                "silent" => nodes[*i].link(Link::Silent),
                "turned away" => {
                    nodes[*i].isolate();
                    nodes[*i].line.fail(Faults { away: Some(Away::Hanging), ..Faults::default() });
                }
                _ => nodes[*i].link(Link::Cut),
            }
        }
        if fate == "killed" {
            for i in watchers.iter().rev() {
                drop(nodes.remove(*i));
            }
        }
        world.replicas.list("plain", "p1", true);
        pass(2_800).await;
        for (i, node) in nodes.iter().enumerate() {
            if fate == "turned away" && watchers.contains(&i) {
                continue;
            }
            let used = used(&world, node, "t").await;
            assert!(used.iter().all(|r| r == "p2"), "{fate}: {used:?}");
        }
    }
}

/// A node that watches for others reads the whole again after a cut; the others go on.
#[tokio::test(start_paused = true)]
async fn a_dropped_history_is_no_gap_for_those_who_follow() {
    let world = World::new();
    let nodes = many(&world).await;
    world.replicas.list("plain", "p1", true);
    world.kv.compact();
    pass(2_500).await;
    for node in &nodes {
        let used = used(&world, node, "t").await;
        assert!(used.iter().all(|r| r == "p2"), "{used:?}");
    }
}

/// Guards: a dropped history, and each outage, brought three whole readings of every node:
/// 3,475 of 14,100 calls of a day with 73 nodes.
#[tokio::test(start_paused = true)]
async fn what_was_missed_is_heard_from_the_watchers() {
    let world = World::new();
    let nodes = many(&world).await;
    let ranges = |nodes: &[Node]| nodes.iter().map(|n| calls(n, "Range")).sum::<u64>();
    let before = ranges(&nodes);
    for version in 2..6 {
        world.configure(version);
        world.kv.compact();
        pass(3_000).await;
    }
    for node in &nodes {
        assert_eq!(node.app().routes().unwrap().version, 5);
    }
    let read = ranges(&nodes) - before;
    assert!(read <= 4 * 3 * 3 + 10, "{read} whole readings");
}

#[tokio::test(start_paused = true)]
async fn a_configuration_is_known_to_all_in_time() {
    let world = World::new();
    let nodes = many(&world).await;
    world.configure(7);
    pass(500).await;
    for node in &nodes {
        assert_eq!(node.app().routes().unwrap().version, 7, "{}", node.app().settings.name);
    }
}

/// Guards: a node that started while the store was away refused every request until it
/// answered, though the nodes around it knew the routes and the replicas.
#[tokio::test(start_paused = true)]
async fn a_node_that_starts_while_the_store_is_away_serves_from_what_others_know() {
    let world = World::new();
    let seed = world.linked("a").await;
    pass(1_000).await;
    let away = Faults { away: Some(Away::Refusing), ..Faults::default() };
    seed.line.fail(away);
    pass(4_000).await;
    let begun = world.begin_linked("b", &seed, away);
    pass(1_000).await;
    assert!(begun.app().routes_may_be_stale(), "a route that is not there may be new");
    assert!(!begun.app().ready(), "no client is sent here before the store has listed it");
    assert_eq!(used(&world, &begun, "t").await.len(), 6);
    seed.line.fail(Faults::default());
    begun.line.fail(Faults::default());
    world.configure(9);
    pass(2_000).await;
    assert!(!begun.app().routes_may_be_stale());
    assert!(begun.app().ready());
    assert_eq!(begun.app().routes().unwrap().version, 9);
}

/// Guards: nodes found the store back by themselves, up to 0.6 s apart, or made a call each
/// 0.1 s in the outage.
#[tokio::test(start_paused = true)]
async fn whoever_finds_the_store_back_tells_the_others() {
    let world = World::new();
    let nodes = many(&world).await;
    let away = Faults { away: Some(Away::Refusing), ..Faults::default() };
    let refused = |nodes: &[Node]| nodes.iter().map(refusals).sum::<u64>();
    nodes.iter().for_each(|n| n.line.fail(away));
    pass(2_000).await;
    let before = refused(&nodes);
    pass(4_000).await;
    let looks = refused(&nodes) - before;
    assert!(looks <= 100, "{looks} calls in four seconds of an outage");
    nodes.iter().for_each(|n| n.line.fail(Faults::default()));
    world.configure(9);
    pass(600).await;
    let late = nodes.iter().filter(|n| n.app().routes().unwrap().version != 9).count();
    assert_eq!(late, 0);
}
