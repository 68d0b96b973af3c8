//! Tests of requests that arrive at a node that is stopping.

use std::time::Duration;

use futures_util::StreamExt;
use mulberrycourse::entry::RelayResponse;
use mulberrycourse::error::{Kind, RunStatus};

use crate::world::{HOST, Node, World, relay_request, sleep_ms};

const DEADLINE: Duration = Duration::from_secs(12);

async fn relay(node: &Node, id: &str, path: &str) -> RelayResponse {
    let route = node.app().routes().unwrap().find(HOST, path).cloned().unwrap();
    let mut request = relay_request(id, path);
    request.deadline = Some(DEADLINE);
    node.app().relay(&route, request).await
}

/// Opens a stream and reads it to its end. True if it was complete.
async fn read_stream(node: &Node, id: &str) -> bool {
    let RelayResponse::Stream { body, .. } = relay(node, id, "/text/x").await else { panic!() };
    body.0.all(|piece| async move { piece.is_ok() }).await
}

/// Guards against streams that a stopping node sends to a replica and has to break off.
#[tokio::test(start_paused = true)]
async fn a_stream_that_cannot_end_before_the_node_is_refused_without_a_run() {
    let world = World::new();
    let node = world.node("a").await;
    // 3.5 s each.
    for id in ["before", "early", "late"] {
        world.replicas.set_event_count(id, 100);
    }
    assert!(read_stream(&node, "before").await);
    let stopping = async {
        sleep_ms(1_000).await;
        assert!(read_stream(&node, "early").await);
    };
    let late = async {
        sleep_ms(2_900).await;
        let RelayResponse::Refused(refusal) = relay(&node, "late", "/text/x").await else {
            panic!()
        };
        assert_eq!((refusal.kind, refusal.run()), (Kind::Draining, RunStatus::NotRun));
        assert_eq!(refusal.retry_after, Some(Duration::ZERO));
        let RelayResponse::Complete { status, .. } = relay(&node, "plain", "/plain/x").await else {
            panic!()
        };
        assert!(status.is_success());
    };
    tokio::join!(node.entry.drain(), stopping, late);
    assert!(world.replicas.runs().iter().all(|run| &*run.id != "late"));
}

/// Guards against a node that sends streams of a length that it knows nothing about.
#[tokio::test(start_paused = true)]
async fn a_stream_of_unknown_length_is_refused_by_a_stopping_node() {
    let world = World::new();
    let node = world.node("a").await;
    let opened = async {
        sleep_ms(10).await;
        relay(&node, "s1", "/text/x").await
    };
    let ((), response) = tokio::join!(node.entry.drain(), opened);
    assert!(matches!(response, RelayResponse::Refused(refusal) if refusal.kind == Kind::Draining));
}

/// Guards against streams that a stopping node sends to replicas without a free slot: how long they
/// wait there is not known.
#[tokio::test(start_paused = true)]
async fn a_stream_is_refused_by_a_stopping_node_while_all_replicas_are_full() {
    let world = World::new();
    let node = world.node("a").await;
    assert!(read_stream(&node, "before").await);
    // All slots of the three replicas.
    let mut open = Vec::new();
    for n in 0..24 {
        let id = format!("s{n}");
        world.replicas.set_event_count(&id, 100);
        open.push(relay(&node, &id, "/text/x").await);
    }
    let opened = async {
        sleep_ms(10).await;
        relay(&node, "next", "/text/x").await
    };
    let ((), response) = tokio::join!(node.entry.drain(), opened);
    assert!(matches!(response, RelayResponse::Refused(refusal) if refusal.kind == Kind::Draining));
}

/// Guards against a process that ends in the middle of a stream, which then looks complete.
#[tokio::test(start_paused = true)]
async fn a_stream_of_a_node_that_is_gone_does_not_look_complete() {
    let world = World::new();
    let node = world.node("a").await;
    world.replicas.set_event_count("s1", 100);
    let RelayResponse::Stream { body, .. } = relay(&node, "s1", "/text/x").await else { panic!() };
    sleep_ms(500).await;
    drop(node);
    let pieces: Vec<_> = body.0.collect().await;
    assert!(pieces.last().unwrap().is_err());
}
