//! Tests of a node that stops.

use futures_util::StreamExt;
use mulberrycourse::entry::RelayResponse;

use crate::world::{HOST, World, relay_request, sleep_ms};

/// Guards against a process that ends in the middle of a stream, which then looks complete.
#[tokio::test(start_paused = true)]
async fn a_stream_of_a_node_that_is_gone_does_not_look_complete() {
    let world = World::new();
    let node = world.node("a").await;
    world.replicas.set_event_count("s1", 100);
    let route = node.app().routes().unwrap().find(HOST, "/text/x").cloned().unwrap();
    let request = relay_request("s1", "/text/x");
    let RelayResponse::Stream { body, .. } = node.app().relay(&route, request).await else {
        panic!()
    };
    sleep_ms(500).await;
    drop(node);
    let pieces: Vec<_> = body.0.collect().await;
    assert!(pieces.last().unwrap().is_err());
}
