//! Tests of live requests and reward calls while the replicas of a plain service are full.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use futures_util::poll;
use mulberrycourse::decide::{Caller, KeyDigest, Organisation, Organisations, RetryPolicy};
use mulberrycourse::edge::replica::ReplicaLoad;
use mulberrycourse::entry::RelayResponse;
use mulberrycourse::error::{Kind, RunStatus};
use standins::replicas::Behaviour;
use tokio::time::Instant;

use crate::world::{
    HOST, Node, World, assert_completed, relay_request, route, routes, sleep_ms, wait_until,
};

/// Requests that one node has in flight at most at the two plain replicas at first: 8 slots, and 4
/// in the queue of each.
const CAPACITY: usize = 24;

/// A world whose plain replicas have slots, and a node that knows that they report their load.
async fn limited_world() -> (World, Node) {
    let world = World::new();
    for id in ["p1", "p2"] {
        world.replicas.limit_slots(id);
    }
    let node = world.node("a").await;
    for i in 0..4 {
        relay(&node, &format!("first{i}"), "/plain/x").await;
    }
    (world, node)
}

async fn relay(node: &Node, id: &str, path: &str) -> RelayResponse {
    let route = node.app().routes().unwrap().find(HOST, path).cloned().unwrap();
    node.app().relay(&route, relay_request(id, path)).await
}

/// Sends requests at once, in tasks of their own.
fn spawn_requests(
    node: &Node,
    prefix: &str,
    path: &'static str,
    count: usize,
) -> Vec<tokio::task::JoinHandle<(RelayResponse, Duration)>> {
    let route = node.app().routes().unwrap().find(HOST, path).cloned().unwrap();
    let send = |i| {
        let (app, route) = (node.app().clone(), Arc::clone(&route));
        let request = relay_request(&format!("{prefix}{i}"), path);
        tokio::spawn(async move {
            let started_at = Instant::now();
            let response = app.relay(&route, request).await;
            (response, started_at.elapsed())
        })
    };
    (0..count).map(send).collect()
}

fn runs_with_prefix(world: &World, prefix: &str) -> usize {
    world.replicas.runs().iter().filter(|r| r.id.starts_with(prefix)).count()
}

fn metric(node: &Node, line: &str) -> u64 {
    let text = node.app().metrics();
    let value = text.lines().find_map(|l| l.strip_prefix(line)).unwrap_or("0");
    value.trim().parse().unwrap()
}

/// Guards against a request that waits, or is refused, while a slot is free.
#[tokio::test(start_paused = true)]
async fn requests_are_sent_at_once_while_slots_are_free() {
    let (_world, node) = limited_world().await;
    for (response, took) in
        join_all(spawn_requests(&node, "r", "/once/x", 16)).await.into_iter().map(Result::unwrap)
    {
        assert!(matches!(response, RelayResponse::Complete { .. }), "{response:?}");
        assert!(took <= Duration::from_millis(30), "{took:?}");
    }
    assert_eq!(metric(&node, "mulberry_call_wait_seconds_count{service=\"plain\"}"), 0);
}

/// Guards against lookups that wait in a replica's own queue behind the reward calls of a step.
#[tokio::test(start_paused = true)]
async fn lookups_are_answered_in_time_while_the_reward_calls_of_a_step_wait() {
    let (world, node) = limited_world().await;
    for id in ["p1", "p2"] {
        world.replicas.set_behaviour(id, Behaviour::Slow(12));
    }
    let items: Vec<String> = (0..120).map(|i| format!("i{i}")).collect();
    let names: Vec<&str> = items.iter().map(String::as_str).collect();
    node.submit("j", &names).await;
    wait_until(|| runs_with_prefix(&world, "score-") >= 16).await;
    // 120 reward calls of 0.3 s in 16 slots take 2.3 s.
    for i in 0..12 {
        let started_at = Instant::now();
        let response = relay(&node, &format!("r{i}"), "/plain/x").await;
        assert!(matches!(response, RelayResponse::Complete { .. }), "{response:?}");
        let took = started_at.elapsed();
        assert!(took <= Duration::from_millis(950), "{took:?}");
    }
    for result in node.read_all("j", 120).await {
        assert_completed(&result, 5);
    }
    assert_eq!(runs_with_prefix(&world, "score-"), 120);
}

/// Guards against reward calls that fail because they waited longer than their route's timeout.
#[tokio::test(start_paused = true)]
async fn reward_calls_that_wait_for_longer_than_a_timeout_are_all_made_once() {
    let (world, node) = limited_world().await;
    for id in ["p1", "p2"] {
        world.replicas.set_behaviour(id, Behaviour::Slow(16));
    }
    // 300 calls of 0.4 s in 16 slots take 7.5 s, and the timeout of a call is 3 s.
    let items: Vec<String> = (0..300).map(|i| format!("i{i}")).collect();
    let names: Vec<&str> = items.iter().map(String::as_str).collect();
    node.submit("j", &names).await;
    for result in node.read_all("j", 300).await {
        assert_completed(&result, 5);
    }
    assert_eq!(runs_with_prefix(&world, "score-"), 300);
}

/// Guards against requests that are held until near their deadline, refusals that say "not run" of
/// a request that ran, and requests that run twice.
#[tokio::test(start_paused = true)]
async fn requests_that_can_not_be_answered_in_time_are_refused_as_not_run() {
    let (world, node) = limited_world().await;
    for id in ["p1", "p2"] {
        world.replicas.set_behaviour(id, Behaviour::Slow(20));
    }
    relay(&node, "slow1", "/plain/x").await;
    relay(&node, "slow2", "/plain/x").await;
    let (mut refused, mut answered) = (0, 0);
    let outcomes = join_all(spawn_requests(&node, "r", "/once/x", 300)).await;
    for (i, outcome) in outcomes.into_iter().enumerate() {
        let runs = world.replicas.runs().iter().filter(|r| *r.id == *format!("r{i}")).count();
        assert!(runs <= 1);
        let (response, took) = outcome.unwrap();
        match response {
            RelayResponse::Complete { .. } => answered += 1,
            RelayResponse::Refused(refusal) if refusal.run() == RunStatus::NotRun => {
                assert_eq!(refusal.kind, Kind::DeadlineUnreachable);
                assert!(refusal.retry_after.is_some());
                assert!(took <= Duration::from_millis(1_950), "{took:?}");
                refused += 1;
            }
            other => panic!("{other:?}"),
        }
    }
    // 16 slots can answer 64 requests of 0.5 s within two seconds.
    assert!(answered >= 40, "{answered}");
    assert_eq!(answered + refused, 300);
    assert_eq!(runs_with_prefix(&world, "r"), answered);
    let label = "mulberry_calls_refused_total{service=\"plain\",kind=\"deadline_unreachable\"}";
    assert_eq!(metric(&node, label), refused as u64);
    assert_eq!(metric(&node, "mulberry_calls_waiting{service=\"plain\"}"), 0);
}

/// Guards against a request that is sent although its client has disconnected, and against one that
/// keeps its place in the queue.
#[tokio::test(start_paused = true)]
async fn a_waiting_request_whose_client_disconnects_is_not_sent() {
    let (world, node) = limited_world().await;
    for id in ["p1", "p2"] {
        world.replicas.set_behaviour(id, Behaviour::Slow(20));
    }
    let running = spawn_requests(&node, "r", "/plain/x", CAPACITY);
    sleep_ms(5).await;
    let waiting = spawn_requests(&node, "gone", "/plain/x", 10);
    sleep_ms(5).await;
    assert_eq!(metric(&node, "mulberry_calls_waiting{service=\"plain\"}"), 10);
    waiting.iter().for_each(|w| w.abort());
    sleep_ms(5).await;
    assert_eq!(metric(&node, "mulberry_calls_waiting{service=\"plain\"}"), 0);
    for outcome in join_all(running).await {
        assert!(matches!(outcome.unwrap().0, RelayResponse::Complete { .. }));
    }
    assert_eq!(runs_with_prefix(&world, "gone"), 0);
}

/// Guards against waiting requests that are dropped without a response at SIGTERM.
#[tokio::test(start_paused = true)]
async fn all_waiting_requests_are_answered_while_the_node_drains() {
    let (world, node) = limited_world().await;
    for id in ["p1", "p2"] {
        world.replicas.set_behaviour(id, Behaviour::Slow(8));
    }
    let requests = spawn_requests(&node, "r", "/once/x", 80);
    sleep_ms(5).await;
    assert_eq!(metric(&node, "mulberry_calls_waiting{service=\"plain\"}"), 80 - CAPACITY as u64);
    node.entry.drain().await;
    for outcome in join_all(requests).await {
        let response = outcome.unwrap().0;
        assert!(matches!(response, RelayResponse::Complete { .. }), "{response:?}");
    }
}

/// Guards against a change of the configuration that loses requests that were accepted before: the
/// organisation that sent them has no key any more.
#[tokio::test(start_paused = true)]
async fn waiting_requests_are_answered_after_a_change_of_the_configuration() {
    let (world, node) = limited_world().await;
    for id in ["p1", "p2"] {
        world.replicas.set_behaviour(id, Behaviour::Slow(8));
    }
    let key = KeyDigest::of(b"key");
    let holder = Organisation { name: "acme".into(), priority: None, keys: vec![key] };
    let holders = Organisations::new(vec![holder]).0;
    world.write_routes(routes(2, Vec::new()).for_organisations(holders), "");
    wait_until(|| node.app().routes().unwrap().version == 2).await;
    let current = node.app().routes().unwrap();
    assert_eq!(current.caller(Some(key)).organisation(), Some(&"acme".into()));
    let route = current.find(HOST, "/once/x").cloned().unwrap();
    let send = |i| {
        let (app, route) = (node.app().clone(), route.clone());
        let mut request = relay_request(&format!("r{i}"), "/once/x");
        request.organisation = Some("acme".into());
        tokio::spawn(async move { app.relay(&route, request).await })
    };
    let requests: Vec<_> = (0..60).map(send).collect();
    sleep_ms(5).await;
    assert_eq!(metric(&node, "mulberry_calls_waiting{service=\"plain\"}"), 60 - CAPACITY as u64);
    let no_holders = Organisations::new(Vec::new()).0;
    world.write_routes(routes(3, Vec::new()).for_organisations(no_holders), "");
    sleep_ms(50).await;
    let current = node.app().routes().unwrap();
    assert_eq!((current.version, current.caller(Some(key))), (3, Caller::Unknown));
    assert!(metric(&node, "mulberry_calls_waiting{service=\"plain\"}") > 0);
    for outcome in join_all(requests).await {
        let response = outcome.unwrap();
        assert!(matches!(response, RelayResponse::Complete { .. }), "{response:?}");
    }
}

/// Guards against requests that wait for replicas that no longer accept work.
#[tokio::test(start_paused = true)]
async fn waiting_requests_are_refused_when_all_replicas_are_lost() {
    let (world, node) = limited_world().await;
    for id in ["p1", "p2"] {
        world.replicas.set_behaviour(id, Behaviour::Slow(40));
    }
    let running = spawn_requests(&node, "r", "/plain/x", CAPACITY);
    sleep_ms(5).await;
    let waiting = spawn_requests(&node, "w", "/plain/x", 10);
    sleep_ms(5).await;
    for id in ["p1", "p2"] {
        world.replicas.write_entry("plain", id, true);
    }
    for outcome in join_all(waiting).await {
        let (response, took) = outcome.unwrap();
        let RelayResponse::Refused(refusal) = response else { panic!("{response:?}") };
        assert_eq!((refusal.kind, refusal.run()), (Kind::NoUpstream, RunStatus::NotRun));
        assert!(took <= Duration::from_millis(300), "{took:?}");
    }
    assert_eq!(runs_with_prefix(&world, "w"), 0);
    drop(running);
}

/// Guards against requests that wait for replicas that refuse connections.
#[tokio::test(start_paused = true)]
async fn requests_are_refused_at_once_while_all_replicas_are_excluded() {
    let (world, node) = limited_world().await;
    for id in ["p1", "p2"] {
        world.replicas.set_behaviour(id, Behaviour::Unreachable);
    }
    for round in 0..3 {
        for outcome in join_all(spawn_requests(&node, &format!("r{round}-"), "/once/x", 40)).await {
            let (response, took) = outcome.unwrap();
            let RelayResponse::Refused(refusal) = response else { panic!("{response:?}") };
            assert_eq!(refusal.run(), RunStatus::NotRun);
            assert!(took <= Duration::from_millis(200), "{took:?}");
        }
    }
    for id in ["p1", "p2"] {
        world.replicas.set_behaviour(id, Behaviour::Normal);
    }
    sleep_ms(3_000).await;
    let response = relay(&node, "later", "/once/x").await;
    assert!(matches!(response, RelayResponse::Complete { .. }), "{response:?}");
}

/// Guards against replicas whose figures are false, and that get nothing because of them although
/// they have free slots.
#[tokio::test(start_paused = true)]
async fn false_load_figures_delay_requests_by_a_fraction_of_a_second_at_most() {
    for (running, waiting) in [(u32::MAX, u32::MAX), (8, 40), (0, 0)] {
        let (world, node) = limited_world().await;
        for id in ["p1", "p2"] {
            world.replicas.report_load(id, ReplicaLoad { running, waiting, slowdown: None });
        }
        for round in 0..5 {
            let requests = spawn_requests(&node, &format!("r{round}-"), "/once/x", 10);
            for outcome in join_all(requests).await {
                let (response, took) = outcome.unwrap();
                assert!(matches!(response, RelayResponse::Complete { .. }), "{response:?}");
                assert!(took <= Duration::from_millis(450), "{took:?} for {running}, {waiting}");
            }
        }
        let ignored = metric(&node, "mulberry_load_reports_ignored_total");
        assert_eq!(ignored > 0, running == u32::MAX, "{ignored}");
    }
}

/// Guards against an organisation that sends a hundred times its share and has the requests of
/// another refused or delayed.
#[tokio::test(start_paused = true)]
async fn an_organisation_with_a_hundred_times_its_share_does_not_delay_others() {
    let (world, node) = limited_world().await;
    for id in ["p1", "p2"] {
        world.replicas.set_behaviour(id, Behaviour::Slow(4));
    }
    let route = node.app().routes().unwrap().find(HOST, "/plain/x").cloned().unwrap();
    let send = |id: String, organisation: &str| {
        let (app, route) = (node.app().clone(), route.clone());
        let mut request = relay_request(&id, "/plain/x");
        request.organisation = Some(organisation.into());
        tokio::spawn(async move {
            let started_at = Instant::now();
            (app.relay(&route, request).await, started_at.elapsed())
        })
    };
    let large: Vec<_> = (0..500).map(|i| send(format!("large{i}"), "large")).collect();
    sleep_ms(5).await;
    let small: Vec<_> = (0..5).map(|i| send(format!("small{i}"), "small")).collect();
    for outcome in join_all(small).await {
        let (response, took) = outcome.unwrap();
        assert!(matches!(response, RelayResponse::Complete { .. }), "{response:?}");
        assert!(took <= Duration::from_millis(400), "{took:?}");
    }
    drop(large);
}

/// Guards against two nodes that hold back their requests for each other's.
#[tokio::test(start_paused = true)]
async fn two_nodes_share_full_replicas_without_refusals() {
    let (world, first) = limited_world().await;
    let second = world.node("b").await;
    relay(&second, "warm", "/plain/x").await;
    let started_at = Instant::now();
    let requests =
        [spawn_requests(&first, "a", "/once/x", 100), spawn_requests(&second, "b", "/once/x", 100)];
    for outcome in join_all(requests.into_iter().flatten()).await {
        let response = outcome.unwrap().0;
        assert!(matches!(response, RelayResponse::Complete { .. }), "{response:?}");
    }
    // 200 requests of 25 ms in 16 slots take 0.32 s.
    assert!(started_at.elapsed() <= Duration::from_millis(600), "{:?}", started_at.elapsed());
    assert_eq!((runs_with_prefix(&world, "a"), runs_with_prefix(&world, "b")), (100, 100));
}

/// Guards against a node that refuses its few requests, or holds them for long, because of what it
/// knows of the load of others: 16 nodes have a lookup now and then while three send bursts of 300
/// requests per second together, to replicas that run 320.
#[tokio::test(start_paused = true)]
async fn nodes_with_few_requests_are_served_beside_nodes_with_bursts() {
    let world = World::new();
    for id in ["p1", "p2", "p3", "p4"] {
        world.replicas.add("plain", id, &[]);
        world.replicas.limit_slots(id);
        world.replicas.set_behaviour(id, Behaviour::Slow(4));
    }
    let mut nodes = Vec::new();
    for i in 0..20 {
        nodes.push(world.node(&format!("n{i}")).await);
    }
    let (mut lookups, mut bursts) = (Vec::new(), Vec::new());
    for second in 0..5 {
        for node in [0, 5, 10] {
            bursts.extend(spawn_requests(
                &nodes[node],
                &format!("b{second}-{node}-"),
                "/once/x",
                100,
            ));
        }
        for i in (0..20).filter(|i| i % 5 != 0) {
            lookups.extend(spawn_requests(&nodes[i], &format!("l{second}-{i}-"), "/once/x", 2));
            sleep_ms(60).await;
        }
    }
    let mut times = Vec::new();
    for outcome in join_all(lookups).await {
        let (response, took) = outcome.unwrap();
        assert!(matches!(response, RelayResponse::Complete { .. }), "{response:?}");
        times.push(took);
    }
    times.sort_unstable();
    let slow = times[times.len() * 95 / 100];
    assert!(slow <= Duration::from_millis(1_000), "{slow:?}");
    let answered = join_all(bursts)
        .await
        .into_iter()
        .filter(|outcome| matches!(outcome, Ok((RelayResponse::Complete { .. }, _))));
    let answered = answered.count();
    // What is left of the replicas' capacity in five seconds is about 1,440.
    assert!(answered >= 1_350, "{answered}");
}

/// Guards against a lasting figure that is false: requests are refused or held while slots are free.
#[tokio::test(start_paused = true)]
async fn lasting_false_load_figures_do_not_take_the_capacity_of_a_service() {
    for (running, waiting) in [(8, 8), (8, 24), (8, 40)] {
        let (world, node) = limited_world().await;
        for id in ["p1", "p2"] {
            world.replicas.report_load(id, ReplicaLoad { running, waiting, slowdown: None });
        }
        // 200 requests per second to replicas that run 640.
        let mut requests = Vec::new();
        for i in 0..800 {
            requests.extend(spawn_requests(&node, &format!("r{i}-"), "/once/x", 1));
            sleep_ms(5).await;
        }
        let mut refused = 0;
        for outcome in join_all(requests).await {
            refused += usize::from(matches!(outcome.unwrap().0, RelayResponse::Refused(_)));
        }
        // Some are refused until enough calls have contradicted the figure.
        assert!(refused <= 40, "{refused} of 800 refused for {running}, {waiting}");
    }
}

/// Guards against requests that use up their attempts within milliseconds while all replicas say
/// that they are full.
#[tokio::test(start_paused = true)]
async fn requests_wait_while_all_replicas_say_that_they_are_full() {
    let (world, node) = limited_world().await;
    for id in ["p1", "p2"] {
        world.replicas.set_behaviour(id, Behaviour::Full);
    }
    let requests = spawn_requests(&node, "r", "/once/x", 20);
    sleep_ms(1_000).await;
    assert!(requests.iter().all(|request| !request.is_finished()));
    for id in ["p1", "p2"] {
        world.replicas.set_behaviour(id, Behaviour::Normal);
    }
    for outcome in join_all(requests).await {
        let (response, took) = outcome.unwrap();
        assert!(matches!(response, RelayResponse::Complete { .. }), "{response:?}");
        assert!(took <= Duration::from_millis(1_250), "{took:?}");
    }
    assert_eq!(runs_with_prefix(&world, "r"), 20);
}

/// Guards against requests that wait beyond their deadline for replicas that stay full.
#[tokio::test(start_paused = true)]
async fn requests_are_refused_by_their_deadline_while_all_replicas_stay_full() {
    let (world, node) = limited_world().await;
    for id in ["p1", "p2"] {
        world.replicas.set_behaviour(id, Behaviour::Full);
    }
    for outcome in join_all(spawn_requests(&node, "r", "/once/x", 40)).await {
        let (response, took) = outcome.unwrap();
        let RelayResponse::Refused(refusal) = response else { panic!("{response:?}") };
        assert_eq!(refusal.run(), RunStatus::NotRun);
        assert!(took <= Duration::from_millis(2_010), "{took:?}");
    }
    assert_eq!(runs_with_prefix(&world, "r"), 0);
}

/// Guards against a slot that stays taken because the future of a request was dropped after a slot
/// was assigned at once, and before it received it.
#[tokio::test(start_paused = true)]
async fn a_slot_that_was_assigned_at_once_is_released_if_the_request_is_dropped() {
    let (world, node) = limited_world().await;
    world.replicas.add("other", "o1", &[]);
    world.replicas.limit_slots("o1");
    world.write_routes(routes(2, vec![route("/other/", "other", RetryPolicy::Never)]), "");
    wait_until(|| node.app().routes().unwrap().version == 2).await;
    wait_until(|| node.app().replica_count() == 6).await;
    relay(&node, "other", "/other/x").await;
    // While requests to one service wait, those to another one pass through its queue.
    for id in ["p1", "p2"] {
        world.replicas.set_behaviour(id, Behaviour::Slow(20));
    }
    let running = spawn_requests(&node, "r", "/plain/x", CAPACITY + 4);
    sleep_ms(5).await;
    assert_eq!(metric(&node, "mulberry_calls_waiting{service=\"plain\"}"), 4);
    for i in 0..CAPACITY {
        // Without budget, the request is suspended when it receives its slot.
        while poll!(pin!(tokio::task::consume_budget())).is_ready() {}
        assert!(poll!(pin!(relay(&node, &format!("dropped{i}"), "/other/x"))).is_pending());
        tokio::task::yield_now().await;
    }
    for outcome in join_all(spawn_requests(&node, "later", "/other/x", 8)).await {
        let (response, took) = outcome.unwrap();
        assert!(matches!(response, RelayResponse::Complete { .. }), "{response:?}");
        assert!(took <= Duration::from_millis(30), "{took:?}");
    }
    drop(running);
}

/// Guards against a slot that stays taken because the future of a waiting request was dropped after
/// a slot was assigned.
#[tokio::test(start_paused = true)]
async fn a_slot_that_was_assigned_after_a_wait_is_released_if_the_request_is_dropped() {
    let (world, node) = limited_world().await;
    for id in ["p1", "p2"] {
        world.replicas.set_behaviour(id, Behaviour::Slow(4));
    }
    let running = spawn_requests(&node, "r", "/plain/x", CAPACITY);
    sleep_ms(5).await;
    let mut dropped: Vec<_> =
        (0..4).map(|i| Box::pin(relay(&node, ["d0", "d1", "d2", "d3"][i], "/plain/x"))).collect();
    for request in &mut dropped {
        assert!(poll!(request).is_pending());
    }
    assert_eq!(metric(&node, "mulberry_calls_waiting{service=\"plain\"}"), 4);
    join_all(running).await;
    assert_eq!(metric(&node, "mulberry_calls_waiting{service=\"plain\"}"), 0);
    drop(dropped);
    let later = spawn_requests(&node, "later", "/plain/x", CAPACITY);
    sleep_ms(5).await;
    assert_eq!(metric(&node, "mulberry_calls_waiting{service=\"plain\"}"), 0);
    join_all(later).await;
    assert_eq!(runs_with_prefix(&world, "d"), 0);
}
