//! Tests of relayed client requests while replicas fail.

use futures_util::StreamExt;
use mulberrycourse::entry::RelayResponse;
use mulberrycourse::error::{Kind, RunStatus};
use standins::replicas::{Behaviour, ReplicaFleet};

use crate::world::{HOST, Node, World, relay_request, sleep_ms};

/// Relays a request through a node.
async fn relay(node: &Node, id: &str, path: &str) -> RelayResponse {
    let route = node.app().routes().unwrap().find(HOST, path).cloned().unwrap();
    node.app().relay(&route, relay_request(id, path)).await
}

/// Returns how many times replicas ran a request.
fn run_count(world: &World, id: &str) -> usize {
    world.replicas.runs().iter().filter(|r| &*r.id == id).count()
}

#[tokio::test(start_paused = true)]
async fn an_idempotent_request_is_answered_when_one_replica_fails() {
    let world = World::new();
    let node = world.node("a").await;
    for behaviour in [
        Behaviour::Unresponsive,
        Behaviour::Unreachable,
        Behaviour::BreaksAfter(0),
        Behaviour::Fails,
        Behaviour::Full,
    ] {
        world.replicas.set_behaviour("p1", behaviour);
        for i in 0..4 {
            let id = format!("{behaviour:?}{i}");
            let RelayResponse::Complete { status, body, .. } = relay(&node, &id, "/plain/x").await
            else {
                panic!("{behaviour:?}");
            };
            assert!(status.is_success(), "{behaviour:?}");
            assert_eq!(body, format!("answer to {id}"));
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_that_may_not_be_repeated_runs_once_with_an_unknown_outcome() {
    let world = World::new();
    let node = world.node("a").await;
    for id in ["p1", "p2"] {
        world.replicas.set_behaviour(id, Behaviour::BreaksAfter(0));
    }
    let RelayResponse::Refused(refusal) = relay(&node, "r1", "/once/x").await else { panic!() };
    assert_eq!((refusal.kind, refusal.run()), (Kind::OutcomeUnknown, RunStatus::Unknown));
    sleep_ms(5_000).await;
    assert_eq!(run_count(&world, "r1"), 1);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_no_replica_ran_is_refused_as_not_run() {
    let world = World::new();
    let node = world.node("a").await;
    for id in ["p1", "p2"] {
        world.replicas.set_behaviour(id, Behaviour::Full);
    }
    let begun = tokio::time::Instant::now();
    let RelayResponse::Refused(refusal) = relay(&node, "r1", "/once/x").await else { panic!() };
    assert_eq!(refusal.run(), RunStatus::NotRun);
    assert!(refusal.retry_after.is_some());
    assert!(begun.elapsed().as_millis() < 100);
    assert_eq!(run_count(&world, "r1"), 0);
}

#[tokio::test(start_paused = true)]
async fn a_request_that_may_have_run_is_not_refused_as_not_run() {
    let world = World::new();
    let node = world.node("a").await;
    world.replicas.set_behaviour("p1", Behaviour::BreaksAfter(0));
    world.replicas.set_behaviour("p2", Behaviour::Full);
    for i in 0..6 {
        let id = format!("r{i}");
        let response = relay(&node, &id, "/plain/x").await;
        let RelayResponse::Refused(refusal) = response else { panic!("{response:?}") };
        assert_eq!(refusal.run() == RunStatus::NotRun, run_count(&world, &id) == 0);
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_is_refused_at_its_deadline() {
    let world = World::new();
    let node = world.node("a").await;
    for id in ["p1", "p2"] {
        world.replicas.set_behaviour(id, Behaviour::Unresponsive);
    }
    let begun = tokio::time::Instant::now();
    let RelayResponse::Refused(_) = relay(&node, "r1", "/plain/x").await else { panic!() };
    let took = begun.elapsed().as_millis();
    assert!((1_900..=2_050).contains(&took), "{took}");
}

#[tokio::test(start_paused = true)]
async fn a_stream_is_resumed_on_another_replica_without_a_gap() {
    let world = World::new();
    let node = world.node("a").await;
    world.replicas.set_event_count("s1", 12);
    for id in ["e1", "e2"] {
        world.replicas.set_behaviour(id, Behaviour::BreaksAfter(4));
    }
    let RelayResponse::Stream { body, .. } = relay(&node, "s1", "/text/x").await else { panic!() };
    let pieces: Vec<_> = body.0.collect().await;
    let text: String =
        pieces.into_iter().map(|p| String::from_utf8(p.unwrap().to_vec()).unwrap()).collect();
    let ids: Vec<&str> = text.lines().filter_map(|l| l.strip_prefix("id: ")).collect();
    let wanted: Vec<String> = (1..=12).map(|n: u32| n.to_string()).collect();
    assert_eq!(ids, wanted);
    assert!(text.contains(&ReplicaFleet::event_data("s1", 12)));
}

/// Guards against a resumed stream whose replica gets the same timeout as the first attempt,
/// although part of the client's time has passed.
#[tokio::test(start_paused = true)]
async fn a_resumed_stream_has_the_remaining_time_of_its_client() {
    let world = World::new();
    let node = world.node("a").await;
    world.replicas.set_event_count("s1", 60);
    for id in ["e1", "e2"] {
        world.replicas.set_behaviour(id, Behaviour::BreaksAfter(25));
    }
    let route = node.app().routes().unwrap().find(HOST, "/text/x").cloned().unwrap();
    // The route's timeout is 4 s; the client waits longer for the end of the stream.
    let mut request = relay_request("s1", "/text/x");
    request.deadline = Some(std::time::Duration::from_secs(9));
    let RelayResponse::Stream { body, .. } = node.app().relay(&route, request).await else {
        panic!()
    };
    body.0.for_each(|piece| async { drop(piece.unwrap()) }).await;
    let ran = world.replicas.runs();
    assert!(ran.len() > 1);
    assert!(ran[0].timeout > std::time::Duration::from_secs(8), "{:?}", ran[0]);
    for later in &ran[1..] {
        assert!(
            later.timeout + (later.received_at - ran[0].received_at) <= ran[0].timeout,
            "{ran:?}"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_stream_that_cannot_be_resumed_is_aborted() {
    let world = World::new();
    let node = world.node("a").await;
    for id in ["e1", "e2", "e3"] {
        world.replicas.set_behaviour(id, Behaviour::BreaksAfter(2));
    }
    world.replicas.set_event_count("s1", 50);
    let RelayResponse::Stream { body, .. } = relay(&node, "s1", "/text/x").await else { panic!() };
    let pieces: Vec<_> = body.0.collect().await;
    assert!(pieces.last().unwrap().is_err());
}

#[tokio::test(start_paused = true)]
async fn a_disconnected_client_ends_its_stream_at_the_replica() {
    let world = World::new();
    let node = world.node("a").await;
    world.replicas.set_event_count("s1", 500);
    let RelayResponse::Stream { body, .. } = relay(&node, "s1", "/text/x").await else { panic!() };
    let mut pieces = body.0;
    pieces.next().await.unwrap().unwrap();
    drop(pieces);
    sleep_ms(200).await;
    let ran = world.replicas.runs();
    assert_eq!(ran.len(), 1);
    assert!(ran[0].unfinished);
}

#[tokio::test(start_paused = true)]
async fn a_draining_replica_gets_no_new_work() {
    let world = World::new();
    let node = world.node("a").await;
    world.replicas.write_entry("plain", "p1", true);
    sleep_ms(50).await;
    for i in 0..10 {
        relay(&node, &format!("r{i}"), "/plain/x").await;
    }
    assert!(world.replicas.runs().iter().all(|r| &*r.replica == "p2"));
}
