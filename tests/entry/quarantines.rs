//! The quarantine of requests that crash replicas: whom it stops, and whom it must not stop.

use std::time::Duration;

use http::StatusCode;
use mulberrycourse::entry::{PeerRequest, RelayResponse};
use mulberrycourse::error::Kind;
use standins::replicas::Behaviour;
use tokio::time::Instant;

use crate::links::Link;
use crate::world::{HOST, Node, World, assert_completed, relay_request, sleep_ms, wait_until};

/// The path of a request that crashes each replica that runs it.
const CRASHING: &str = "/plain/crash";
/// How often it may reach replicas after its third crash, over all nodes.
const MAX_LATE_RUNS: usize = 3;

/// A world with six plain replicas and eight engines, of which `crashing` crashes each.
fn world_with_crashing(crashing: &str) -> World {
    let world = World::new();
    for id in ["p3", "p4", "p5", "p6"] {
        world.replicas.add("plain", id, &[]);
    }
    for id in ["e4", "e5", "e6", "e7", "e8"] {
        world.replicas.add("engines", id, &[crate::world::MODEL]);
    }
    world.replicas.crash_on(crashing);
    world
}

/// Sends a request through a node and returns the kind of its refusal.
async fn relay(node: &Node, id: &str, path: &str) -> Result<StatusCode, Kind> {
    let route = node.app().routes().unwrap().find(HOST, path).cloned().unwrap();
    match node.app().relay(&route, relay_request(id, path)).await {
        RelayResponse::Complete { status, .. } | RelayResponse::Stream { status, .. } => Ok(status),
        RelayResponse::Refused(refusal) => Err(refusal.kind),
    }
}

/// Sends the crashing request through a node until that refuses it for good.
async fn crash_until_quarantined(node: &Node, id: &str) {
    for number in 0..6 {
        if relay(node, &format!("{id}{number}"), CRASHING).await == Err(Kind::Quarantined) {
            return;
        }
        sleep_ms(2_000).await;
    }
    panic!("not quarantined");
}

/// Returns how often requests with an id like this reached replicas.
fn run_count(world: &World, id: &str) -> usize {
    world.replicas.runs().iter().filter(|run| run.id.starts_with(id)).count()
}

fn is_notice(request: &PeerRequest) -> bool {
    matches!(request, PeerRequest::Crashes(_))
}

/// Returns the number of messages about crashes between all nodes.
fn notice_count(world: &World) -> usize {
    world.links.count_by_sender(is_notice).values().sum()
}

/// Guards against a quarantine that refuses what ran beside the cause of the crashes.
#[tokio::test(start_paused = true)]
async fn a_harmless_request_beside_a_crashing_one_is_never_refused() {
    let world = world_with_crashing(CRASHING);
    let nodes = [world.linked_node("a").await, world.linked_node("b").await];
    for round in 0..10 {
        let node = &nodes[round % 2];
        let id = format!("c{round}");
        let crashing = relay(node, &id, CRASHING);
        // Enough to be at each replica, and the same content each time.
        let harmless = futures_util::future::join_all((0..6).map(|n| async move {
            let path = format!("/plain/harmless{n}");
            let mut end = relay(node, &format!("h{round}-{n}"), &path).await;
            if end != Ok(StatusCode::OK) {
                end = relay(node, &format!("h{round}-{n}-again"), &path).await;
            }
            end
        }));
        let (crashed, answers) = tokio::join!(crashing, harmless);
        assert!(answers.iter().all(|end| *end != Err(Kind::Quarantined)), "{round}: {answers:?}");
        if round > 3 {
            assert_eq!(crashed, Err(Kind::Quarantined), "{round}");
            assert_eq!(answers, vec![Ok(StatusCode::OK); 6], "{round}");
        }
        sleep_ms(2_000).await;
    }
}

/// Guards against an item that is refused because it was at crashes that it did not cause, and that
/// happens to meet a second one.
#[tokio::test(start_paused = true)]
async fn an_item_that_meets_two_crashes_by_coincidence_completes() {
    let world = World::new();
    let node = world.linked_node("a").await;
    world.replicas.set_event_count("i1", 20);
    let started = Instant::now();
    node.submit("j", &["i1"]).await;
    for crash in 1..=2 {
        wait_until(|| run_count(&world, "i1") == crash).await;
        sleep_ms(100).await;
        let runs = world.replicas.runs();
        let last = runs.iter().rfind(|run| &*run.id == "i1").unwrap();
        world.replicas.crash(&last.replica);
    }
    assert_completed(&node.read_all("j", 1).await[0], 20);
    assert_eq!(run_count(&world, "i1"), 3);
    // No more time than three runs take: the item was not held.
    assert!(started.elapsed() < Duration::from_secs(2), "{:?}", started.elapsed());
}

/// Guards against a quarantine of everything that ran in a zone when it was lost, of copies of one
/// request in particular.
#[tokio::test(start_paused = true)]
async fn the_loss_of_all_replicas_of_a_zone_quarantines_nobody() {
    for round_count in [1, 2] {
        let world = world_with_crashing("/none");
        let replicas = ["p1", "p2", "p3", "p4", "p5", "p6"];
        let nodes = [world.linked_node("a").await, world.linked_node("b").await];
        for round in 0..round_count {
            let requests = futures_util::future::join_all((0..24).map(|n| {
                let node = &nodes[n % 2];
                async move { relay(node, &format!("r{round}-{n}"), "/plain/same").await }
            }));
            let loss = async {
                sleep_ms(10).await;
                replicas.iter().for_each(|id| world.replicas.crash(id));
            };
            let (ends, ()) = tokio::join!(requests, loss);
            assert!(ends.iter().all(|end| *end != Err(Kind::Quarantined)), "{ends:?}");
            sleep_ms(2_500).await;
        }
        for (number, node) in nodes.iter().enumerate() {
            let end = relay(node, &format!("after{number}"), "/plain/same").await;
            assert_eq!(end, Ok(StatusCode::OK));
        }
    }
}

/// Guards against a quarantine by replicas that are silent or break connections, but have not
/// crashed.
#[tokio::test(start_paused = true)]
async fn broken_connections_without_a_crash_quarantine_nobody() {
    for behaviour in [Behaviour::BreaksAfter(0), Behaviour::Unresponsive, Behaviour::TimesOut] {
        let world = World::new();
        let node = world.linked_node("a").await;
        for id in ["p1", "p2"] {
            world.replicas.set_behaviour(id, behaviour);
        }
        for number in 0..5 {
            let end = relay(&node, &format!("r{number}"), "/plain/x").await;
            assert_ne!(end, Err(Kind::Quarantined));
        }
        for id in ["p1", "p2"] {
            world.replicas.set_behaviour(id, Behaviour::Normal);
        }
        assert_eq!(relay(&node, "last", "/plain/x").await, Ok(StatusCode::OK));
        assert_eq!(notice_count(&world), 0);
        assert!(node.app().metrics().contains("mulberry_replica_crashes_total 0"));
    }
}

/// Guards against a quarantine of what runs at replicas that an operator stops.
#[tokio::test(start_paused = true)]
async fn a_draining_replica_that_stops_is_no_crash() {
    let world = world_with_crashing(CRASHING);
    let node = world.linked_node("a").await;
    let route = node.app().routes().unwrap().find(HOST, "/plain/x").cloned().unwrap();
    for id in ["p1", "p2", "p3", "p4", "p5", "p6"] {
        world.replicas.set_behaviour(id, Behaviour::Slow(20));
    }
    let requests = (0..12).map(|n| {
        let (node, route) = (&node, &route);
        async move { node.app().relay(route, relay_request(&format!("r{n}"), "/plain/x")).await }
    });
    let stop = async {
        sleep_ms(100).await;
        for id in ["p1", "p2", "p3", "p4", "p5"] {
            world.replicas.write_entry("plain", id, true);
        }
        sleep_ms(200).await;
        for id in ["p1", "p2", "p3", "p4", "p5"] {
            world.replicas.crash(id);
        }
    };
    tokio::join!(futures_util::future::join_all(requests), stop);
    assert!(node.app().metrics().contains("mulberry_replica_crashes_total 0"));
}

/// Guards against a node that takes its knowledge along when it dies: the others find out with few
/// further runs.
#[tokio::test(start_paused = true)]
async fn few_runs_follow_if_the_node_that_saw_the_crashes_dies_untold() {
    let world = world_with_crashing(CRASHING);
    let (a, b) = (world.linked_node("a").await, world.linked_node("b").await);
    a.isolate();
    assert!(relay(&a, "a", CRASHING).await.is_err());
    drop(a);
    sleep_ms(2_000).await;
    crash_until_quarantined(&b, "b").await;
    let runs = run_count(&world, "b");
    assert!((3..=2 * MAX_LATE_RUNS).contains(&runs), "{runs}");
}

/// Guards against notices that are lost while a node does not reply, and against responses that
/// wait for such a node.
#[tokio::test(start_paused = true)]
async fn a_node_that_could_not_be_reached_learns_of_the_quarantine_later() {
    for link in [Link::Silent, Link::Refusing, Link::RepliesLost] {
        let world = world_with_crashing(CRASHING);
        let (a, b) = (world.linked_node("a").await, world.linked_node("b").await);
        b.set_link(link);
        let sent = Instant::now();
        assert!(relay(&a, "first", CRASHING).await.is_err());
        assert!(sent.elapsed() < Duration::from_millis(400), "{link:?}: {:?}", sent.elapsed());
        sleep_ms(2_000).await;
        crash_until_quarantined(&a, "a").await;
        b.set_link(Link::Open);
        sleep_ms(2_000).await;
        assert_eq!(relay(&b, "b", CRASHING).await, Err(Kind::Quarantined), "{link:?}");
        assert_eq!(run_count(&world, "b"), 0);
    }
}

/// Guards against a node that starts after the crashes and runs the request again, also if the
/// nodes that saw them have gone.
#[tokio::test(start_paused = true)]
async fn a_node_that_starts_late_learns_of_the_quarantine() {
    let world = world_with_crashing(CRASHING);
    let (a, b) = (world.linked_node("a").await, world.linked_node("b").await);
    crash_until_quarantined(&a, "a").await;
    drop(a);
    sleep_ms(5_000).await;
    let c = world.linked_node("c").await;
    sleep_ms(1_000).await;
    drop(b);
    assert_eq!(relay(&c, "c", CRASHING).await, Err(Kind::Quarantined));
    assert_eq!(run_count(&world, "c"), 0);
}

/// Guards against crashes that are missed because the replica is back, under the same id, before
/// it is checked.
#[tokio::test(start_paused = true)]
async fn a_replica_that_is_back_at_once_with_a_newer_start_time_has_crashed() {
    let world = world_with_crashing(CRASHING);
    for id in ["p1", "p2", "p3", "p4", "p5", "p6"] {
        world.replicas.restart("plain", id, 1_000, &[]);
    }
    world.replicas.set_restart_time(Duration::from_millis(5));
    let node = world.linked_node("a").await;
    crash_until_quarantined(&node, "a").await;
    assert!(run_count(&world, "a") <= 6);
}

/// Guards against messages and delays while nothing crashes.
#[tokio::test(start_paused = true)]
async fn nothing_is_sent_while_nothing_crashes() {
    let world = World::new();
    let nodes = [world.linked_node("a").await, world.linked_node("b").await];
    nodes[0].submit("j", &["i1", "i2"]).await;
    for number in 0..20 {
        let sent = Instant::now();
        let end = relay(&nodes[number % 2], &format!("r{number}"), "/plain/x").await;
        assert_eq!(end, Ok(StatusCode::OK));
        assert!(sent.elapsed() < Duration::from_millis(30), "{:?}", sent.elapsed());
    }
    nodes[0].read_all("j", 2).await;
    assert_eq!(notice_count(&world), 0);
}

/// Guards against notices for each request that a crash interrupts: those that complete elsewhere
/// concern nobody else.
#[tokio::test(start_paused = true)]
async fn a_request_that_completes_after_a_crash_is_not_reported() {
    let world = World::new();
    let nodes = [world.linked_node("a").await, world.linked_node("b").await];
    let requests = futures_util::future::join_all((0..8).map(|n| {
        let node = &nodes[n % 2];
        async move { relay(node, &format!("r{n}"), &format!("/plain/{n}")).await }
    }));
    let crash = async {
        sleep_ms(10).await;
        world.replicas.crash("p1");
    };
    let (ends, ()) = tokio::join!(requests, crash);
    assert_eq!(ends, vec![Ok(StatusCode::OK); 8]);
    sleep_ms(1_000).await;
    assert_eq!(notice_count(&world), 0);
    let metrics = nodes.each_ref().map(|n| n.app().metrics());
    assert!(metrics.iter().any(|text| text.contains("mulberry_replica_crashes_total 1")));
    assert!(metrics.iter().all(|text| text.contains("mulberry_suspect_requests 0")));
}
