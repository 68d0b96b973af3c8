//! Entry nodes on machines of uneven size: which of them own jobs.

use mulberrycourse::decide::load::NodeCapacity;
use mulberrycourse::entry::SubmitResult;

use crate::world::{Node, World, sleep_ms, wait_until};

/// A machine that is large enough to own jobs.
const LARGE: NodeCapacity = NodeCapacity {
    millicores: Some(500),
    memory_mb: Some(512),
    descriptors: Some(8_192),
    link_mbps: Some(200),
};
/// The smallest machine of a customer.
const SMALL: NodeCapacity = NodeCapacity {
    millicores: Some(90),
    memory_mb: Some(120),
    descriptors: Some(3_075),
    link_mbps: Some(45),
};

/// Returns the name of the node that owns a job according to the store.
fn owner(world: &World, job: &str) -> String {
    let items = world.kv.items(&format!("mulberry/home/{job}"));
    let value: serde_json::Value = serde_json::from_slice(&items[0].value).unwrap();
    value["life"].as_str().unwrap().split('.').next().unwrap().to_owned()
}

/// Starts a linked node for each name and capacity.
async fn start(world: &World, machines: &[(&str, NodeCapacity)]) -> Vec<Node> {
    let mut nodes = Vec::new();
    for (name, limits) in machines {
        nodes.push(world.linked_node_with_limits(name, *limits).await);
    }
    sleep_ms(1_000).await;
    nodes
}

/// Guards against a step on a machine that has neither the processor nor the memory for it.
#[tokio::test(start_paused = true)]
async fn jobs_go_to_the_machine_that_is_large_enough() {
    for large in ["a", "b", "c"] {
        let world = World::new();
        let limits = |name| if name == large { LARGE } else { SMALL };
        let nodes = start(&world, &["a", "b", "c"].map(|name| (name, limits(name)))).await;
        for (i, node) in nodes.iter().enumerate() {
            let job = format!("j{i}");
            assert_eq!(node.submit(&job, &[&format!("i{i}")]).await, SubmitResult::Accepted);
            assert_eq!(owner(&world, &job), large);
            node.read_all(&job, 1).await;
        }
    }
}

/// Guards against the smallest machines taking over the steps of the largest.
#[tokio::test(start_paused = true)]
async fn the_jobs_of_a_lost_large_machine_go_to_another_large_one() {
    for second in ["b", "c", "d", "e"] {
        let world = World::new();
        let limits = |name| if name == "a" || name == second { LARGE } else { SMALL };
        let machines = ["a", "b", "c", "d", "e"].map(|name| (name, limits(name)));
        let mut nodes = start(&world, &machines).await;
        world.replicas.set_event_count("i1", 200);
        nodes[0].submit("j", &["i1"]).await;
        let first = owner(&world, "j");
        nodes.retain(|node| *node.app().settings.name != *first);
        wait_until(|| owner(&world, "j") != first).await;
        let expected = if first == "a" { second } else { "a" };
        assert_eq!(owner(&world, "j"), expected);
        nodes[0].read_all("j", 1).await;
    }
}

/// Guards against a record that isn't read at all because of one wrong value, and against trust in
/// such a value.
#[tokio::test(start_paused = true)]
async fn a_node_with_an_invalid_capacity_is_still_a_node() {
    let world = World::new();
    let nodes = start(&world, &[("a", SMALL), ("b", LARGE)]).await;
    for (i, capacity) in [
        r#"{"millicores":-5,"memory_mb":"much","link_mbps":1e300}"#,
        r#"{"millicores":99999999999,"memory_mb":0}"#,
        r#""large""#,
        "[7]",
    ]
    .iter()
    .enumerate()
    {
        let record =
            format!(r#"{{"life":"x{i}.1","callers":"127.0.0.1:{}","capacity":{capacity}}}"#, 9 + i);
        world.kv.put(&format!("mulberry/live/node/x{i}"), record);
    }
    wait_until(|| nodes[0].app().client_addresses("z").len() == 6).await;
    assert!(nodes[0].app().metrics().contains("mulberry_invalid_capacities 4"));
    assert_eq!(nodes[0].submit("j", &["i1"]).await, SubmitResult::Accepted);
    assert_eq!(owner(&world, "j"), "b");
}

/// Guards against a release in which nodes of an older version, whose records have no capacity and
/// that don't know the field, are left out or can't read the records of new ones.
#[tokio::test(start_paused = true)]
async fn nodes_of_an_older_version_are_known() {
    let world = World::new();
    let nodes = start(&world, &[("a", LARGE), ("b", NodeCapacity::default())]).await;
    world.kv.put("mulberry/live/node/x", r#"{"life":"x.1","callers":"127.0.0.1:9"}"#);
    wait_until(|| nodes[0].app().client_addresses("z").len() == 3).await;
    assert!(nodes[0].app().metrics().contains("mulberry_invalid_capacities 0"));
    let items = world.kv.items("mulberry/live/node/");
    let record = |name: &str| {
        let item = items.iter().find(|item| item.key.ends_with(name)).unwrap();
        serde_json::from_slice::<serde_json::Value>(&item.value).unwrap()
    };
    // An older version reads these fields and ignores all others.
    assert!(record("/a")["life"].is_string() && record("/a")["callers"].is_string());
    assert_eq!(record("/a")["capacity"]["millicores"], 500);
    assert_eq!(record("/b").get("capacity"), None);
}
