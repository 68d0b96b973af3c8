//! Tests of replicas that answer with bytes without end.

use std::sync::Arc;

use http::StatusCode;
use mulberrycourse::Name;
use mulberrycourse::decide::load::NodeCapacity;
use mulberrycourse::entry::RelayResponse;
use standins::replicas::Behaviour;

use crate::world::{HOST, Node, World, assert_completed, job_spec, relay_request};

/// The memory of a small machine, in MB.
const MEMORY_MB: u32 = 260;
/// The most of it that responses under way may take. The process takes some 40 MB at rest, and jobs
/// and requests have their own parts.
const MAX_RESPONSE_BYTES: usize = 60 << 20;
/// The same for the texts of a job with 24 items.
const MAX_TEXT_BYTES: usize = 16 << 20;

/// A world with six plain replicas, of which this many don't end their bodies, and a node on a small
/// machine.
async fn start(endless: usize) -> (World, Node) {
    let world = World::new();
    let ids = ["p1", "p2", "p3", "p4", "p5", "p6"];
    ids[2..].iter().for_each(|id| world.replicas.add("plain", id, &[]));
    ids[..endless].iter().for_each(|id| world.replicas.set_behaviour(id, Behaviour::Endless));
    let limits = NodeCapacity { memory_mb: Some(MEMORY_MB), ..NodeCapacity::default() };
    let node = world.linked_node_with_limits("a", limits).await;
    (world, node)
}

/// Guards against bodies without end that take the memory of the node, each up to a limit of its own.
#[tokio::test(start_paused = true)]
async fn responses_without_end_take_a_part_of_the_memory() {
    for endless in [3, 6] {
        let (world, node) = start(endless).await;
        let route = node.app().routes().unwrap().find(HOST, "/plain/x").cloned().unwrap();
        let requests = (0..60).map(|number| {
            let request = relay_request(&format!("r{number}"), "/plain/x");
            let (node, route) = (&node, &route);
            async move { node.app().relay(route, request).await }
        });
        let responses = futures_util::future::join_all(requests).await;
        let is_success = |response: &&RelayResponse| {
            matches!(response, RelayResponse::Complete { status: StatusCode::OK, .. })
        };
        let succeeded = responses.iter().filter(is_success).count();
        let most = world.replicas.most_endless_bytes();
        assert!(most <= MAX_RESPONSE_BYTES, "{endless}: {most} bytes");
        assert!(endless == 6 || succeeded == 60, "{succeeded}");
        assert_eq!(node.app().memory.held(), responses.iter().map(body_len).sum::<usize>());
    }
}

fn body_len(response: &RelayResponse) -> usize {
    match response {
        RelayResponse::Complete { body, .. } => body.len(),
        RelayResponse::Stream { .. } | RelayResponse::Refused(_) => 0,
    }
}

/// Guards against the body of a reward call being kept, of which only the signature is used.
#[tokio::test(start_paused = true)]
async fn reward_calls_without_end_take_little_memory() {
    let (world, node) = start(2).await;
    let items: Vec<String> = (0..24).map(|number| format!("i{number}")).collect();
    let items: Vec<&str> = items.iter().map(|id| &**id).collect();
    node.submit("j", &items).await;
    node.read_all("j", 24).await.iter().for_each(|result| assert_completed(result, 5));
    let most = world.replicas.most_endless_bytes();
    assert!(most <= MAX_RESPONSE_BYTES, "{most} bytes");
}

/// Guards against texts that grow as long as a replica sends events, with and without a number of
/// tokens that was asked.
#[tokio::test(start_paused = true)]
async fn texts_without_end_take_little_memory() {
    for most_tokens in [None, Some("5")] {
        let (world, node) = start(0).await;
        world.replicas.set_behaviour("e1", Behaviour::Endless);
        let ids: Vec<String> = (0..24).map(|number| format!("i{number}")).collect();
        let mut spec = job_spec("j", &ids.iter().map(|id| &**id).collect::<Vec<_>>());
        for item in &mut spec.items {
            let item = Arc::make_mut(item);
            item.headers.extend(most_tokens.map(|most| ("max-tokens".into(), Name::from(most))));
        }
        node.app().submit(spec).await;
        let results = node.read_all("j", 24).await;
        results.iter().for_each(|result| assert_completed(result, 5));
        let most = world.replicas.most_endless_bytes();
        assert!(most <= MAX_TEXT_BYTES, "{most_tokens:?}: {most} bytes");
    }
}
