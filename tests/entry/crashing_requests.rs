//! Requests that crash each replica that runs them, and come again at any node.

use std::time::Duration;

use crate::world::{HOST, World, relay_request};

/// How long after the third crash the nodes have to stop such a request.
const NOTICE_TIME: Duration = Duration::from_millis(3_000);
/// How often it may reach replicas after that.
const MAX_LATE_RUNS: usize = 3;
/// How often its client sends it.
const CLIENT_ATTEMPTS: usize = 12;

/// Guards against a request that crashes one replica after the other through all nodes.
#[tokio::test(start_paused = true)]
async fn a_request_that_crashes_its_replicas_is_stopped_at_all_nodes() {
    let world = World::new();
    for id in ["p3", "p4"] {
        world.replicas.add("plain", id, &[]);
    }
    world.replicas.crash_on("/plain/crash");
    let nodes = [world.linked_node("a").await, world.linked_node("b").await];
    for number in 0..CLIENT_ATTEMPTS {
        let app = nodes[number % 2].app();
        let route = app.routes().unwrap().find(HOST, "/plain/crash").cloned().unwrap();
        app.relay(&route, relay_request(&format!("r{number}"), "/plain/crash")).await;
        tokio::time::sleep(Duration::from_secs(2)).await;
    }
    let runs = world.replicas.runs();
    let stopped_at = runs[2].received_at + NOTICE_TIME;
    let late = runs.iter().filter(|run| run.received_at > stopped_at).count();
    assert!(late <= MAX_LATE_RUNS, "{late} runs");
}
