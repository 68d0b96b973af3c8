//! Tests of streams whose replica sends nothing for a while.

use std::time::Duration;

use futures_util::StreamExt;
use mulberrycourse::Name;
use mulberrycourse::decide::{RetryPolicy, Route};
use mulberrycourse::entry::RelayResponse;
use standins::replicas::Behaviour;
use tokio::time::Instant;

use crate::world::{Node, World, assert_completed, relay_request, route, sleep_ms, wait_until};

const REPLICAS: [&str; 3] = ["e1", "e2", "e3"];
/// The events of a text.
const EVENTS: u64 = 12;

/// What a client received.
#[derive(Debug)]
struct Received {
    ids: Vec<u64>,
    complete: bool,
    took: Duration,
}

impl Received {
    fn is_whole(&self) -> bool {
        self.complete && self.ids == (1..=EVENTS).collect::<Vec<_>>()
    }
}

fn stream_route(retry_policy: RetryPolicy, max_attempts: u32) -> Route {
    Route { max_attempts, ..route("/text/", "engines", retry_policy) }
}

fn set_all(world: &World, behaviour: Behaviour) {
    for id in REPLICAS {
        world.replicas.set_behaviour(id, behaviour);
    }
}

/// Sets how all replicas behave but the one that got the first run, and returns that one.
fn set_others(world: &World, behaviour: Behaviour) -> Name {
    let first = world.replicas.runs()[0].replica.clone();
    for id in REPLICAS.into_iter().filter(|id| **id != *first) {
        world.replicas.set_behaviour(id, behaviour);
    }
    first
}

/// Requests a stream with a deadline of nine seconds, and reads it to its end.
async fn read_stream(world: &World, node: &Node, route: Route) -> Received {
    world.replicas.set_event_count("s1", EVENTS);
    let mut request = relay_request("s1", "/text/x");
    request.deadline = Some(Duration::from_secs(9));
    let began = Instant::now();
    let response = node.app().relay(&route.into(), request).await;
    let RelayResponse::Stream { body, .. } = response else { panic!("{response:?}") };
    let pieces: Vec<_> = body.0.collect().await;
    let complete = pieces.iter().all(Result::is_ok);
    let bytes: Vec<u8> = pieces.into_iter().flatten().flatten().collect();
    let text = String::from_utf8(bytes).unwrap();
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
    Received { ids, complete, took: began.elapsed() }
}

/// Guards against a stream that is broken off while its replica only pauses, and nothing else can
/// complete it.
#[tokio::test(start_paused = true)]
async fn a_paused_stream_that_may_not_be_resumed_is_waited_for() {
    for route in [stream_route(RetryPolicy::Never, 3), stream_route(RetryPolicy::Resume, 1)] {
        let world = World::new();
        let node = world.node("a").await;
        set_all(&world, Behaviour::PausesAfter(4));
        let going_on = async {
            sleep_ms(3_500).await;
            set_all(&world, Behaviour::Normal);
        };
        let (received, ()) = tokio::join!(read_stream(&world, &node, route), going_on);
        assert!(received.is_whole(), "{received:?}");
        assert_eq!(world.replicas.runs().len(), 1);
    }
}

/// Guards against a stream that loses its replica to attempts to resume it, which bring nothing.
#[tokio::test(start_paused = true)]
async fn a_paused_stream_goes_on_while_other_replicas_do_not_answer() {
    for others in [Behaviour::Unresponsive, Behaviour::Full, Behaviour::Unreachable] {
        let world = World::new();
        let node = world.node("a").await;
        set_all(&world, Behaviour::PausesAfter(4));
        let trouble = async {
            sleep_ms(500).await;
            let first = set_others(&world, others);
            sleep_ms(3_500).await;
            world.replicas.set_behaviour(&first, Behaviour::Normal);
        };
        let reading = read_stream(&world, &node, stream_route(RetryPolicy::Resume, 3));
        let (received, ()) = tokio::join!(reading, trouble);
        assert!(received.is_whole(), "{others:?}: {received:?}");
        assert!(world.replicas.runs().len() <= 3);
    }
}

/// Guards against a resumed stream that misses an event or has one twice, and against one that waits
/// for a paused replica although another one could go on.
#[tokio::test(start_paused = true)]
async fn a_paused_stream_is_resumed_at_another_replica() {
    let world = World::new();
    let node = world.node("a").await;
    set_all(&world, Behaviour::PausesAfter(4));
    let trouble = async {
        sleep_ms(500).await;
        set_others(&world, Behaviour::Normal);
    };
    let reading = read_stream(&world, &node, stream_route(RetryPolicy::Resume, 3));
    let (received, ()) = tokio::join!(reading, trouble);
    assert!(received.is_whole(), "{received:?}");
    assert!(received.took < Duration::from_secs(2), "{received:?}");
    let runs = world.replicas.runs();
    assert_eq!(runs.len(), 2);
    assert_eq!((runs[0].unfinished, runs[1].last_event), (true, Some(4)));
}

/// Guards against a stream that stays open for good at a replica that hangs.
#[tokio::test(start_paused = true)]
async fn a_stream_of_a_replica_that_hangs_ends_once_it_is_overdue() {
    let world = World::new();
    let node = world.node("a").await;
    set_all(&world, Behaviour::PausesAfter(4));
    let received = read_stream(&world, &node, stream_route(RetryPolicy::Never, 3)).await;
    assert!(!received.complete, "{received:?}");
    // The timeout of the route is 4 s.
    let took = received.took.as_millis();
    assert!((4_000..5_500).contains(&took), "{took}");
}

/// Guards against attempts to resume a stream that go on after its client has left.
#[tokio::test(start_paused = true)]
async fn a_client_that_leaves_ends_the_attempts_to_resume_its_stream() {
    for behaviour in [Behaviour::BreaksAfter(4), Behaviour::PausesAfter(4)] {
        let world = World::new();
        let node = world.node("a").await;
        world.replicas.set_event_count("s1", EVENTS);
        set_all(&world, behaviour);
        let route = stream_route(RetryPolicy::Resume, 3);
        let response = node.app().relay(&route.into(), relay_request("s1", "/text/x")).await;
        let RelayResponse::Stream { body, .. } = response else { panic!("{response:?}") };
        set_others(&world, Behaviour::Unresponsive);
        wait_until(|| world.replicas.runs().len() == 2).await;
        drop(body);
        sleep_ms(5_000).await;
        assert_eq!(world.replicas.runs().len(), 2, "{behaviour:?}");
    }
}

/// Guards against a text that leaves a replica that only pauses, and then waits for a slot elsewhere
/// while all are taken.
#[tokio::test(start_paused = true)]
async fn a_paused_text_keeps_its_slot_while_all_others_are_taken() {
    let world = World::new();
    let node = world.node("a").await;
    set_all(&world, Behaviour::PausesAfter(20));
    world.replicas.set_event_count("long", 30);
    let mut items = vec!["long".to_owned()];
    for n in 0..300 {
        let id = format!("i{n}");
        world.replicas.set_event_count(&id, 15);
        items.push(id);
    }
    let items: Vec<&str> = items.iter().map(String::as_str).collect();
    node.submit("j", &items).await;
    sleep_ms(4_000).await;
    set_all(&world, Behaviour::Normal);
    let results = node.read_all("j", items.len()).await;
    let long = results.iter().find(|result| &*result.id == "long").unwrap();
    assert_completed(long, 30);
    let runs = world.replicas.runs();
    assert_eq!(runs.iter().filter(|run| &*run.id == "long").count(), 1);
}
