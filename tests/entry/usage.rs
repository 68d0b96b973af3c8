//! Tests that usage is reported once per window, whichever node fails meanwhile.

use std::collections::BTreeMap;
use std::time::Duration;

use mulberrycourse::decide::usage::Counts;
use mulberrycourse::entry::{PeerRequest, RelayRequest, RelayResponse};
use standins::duties::ReceivedReport;
use standins::kv::{Faults, Outage};
use standins::replicas::Behaviour;

use crate::links::Link;
use crate::world::{Node, World, relay_request, sleep_ms, wait_until};

/// The length of a usage window in the settings of the nodes.
const WINDOW: Duration = Duration::from_secs(5);

/// Sends a request of an organisation, and returns whether it succeeded.
async fn send_request(node: &Node, organisation: &str, id: &str) -> bool {
    let routes = node.app().routes().unwrap();
    let route = routes.find("host.example", "/plain/x").unwrap();
    let request =
        RelayRequest { organisation: Some(organisation.into()), ..relay_request(id, "/plain/x") };
    matches!(node.app().relay(route, request).await, RelayResponse::Complete { status, .. } if status.is_success())
}

/// Returns the accepted reports by window. Fails if a window was reported with different counts.
fn reports(world: &World) -> BTreeMap<u64, Counts> {
    let mut by_window: BTreeMap<u64, Counts> = BTreeMap::new();
    for ReceivedReport { report, accepted: taken, .. } in world.duties.reports() {
        if taken {
            let first = by_window.entry(report.window).or_insert_with(|| report.counts.clone());
            assert_eq!(*first, report.counts, "window {}", report.window);
        }
    }
    by_window
}

/// Returns the number of requests in all accepted reports.
fn total_reported(world: &World) -> u64 {
    reports(world).values().flat_map(|counts| counts.values()).sum()
}

/// Waits until every window up to the present one is reported.
async fn wait_until_reported(world: &World) {
    let window = (world.clock.true_time().as_secs() / WINDOW.as_secs()) + 1;
    wait_until(|| reports(world).contains_key(&window)).await;
}

/// Starts the nodes a, b and c, and returns them with the index of the leader.
async fn start_three(world: &World) -> (Vec<Node>, usize) {
    let mut nodes = Vec::new();
    for name in ["a", "b", "c"] {
        nodes.push(world.linked_node(name).await);
    }
    wait_until(|| !world.duties.reports().is_empty()).await;
    let leader_name = world.duties.reports()[0].term.leader.clone();
    let leader = nodes.iter().position(|n| n.app().settings.name == leader_name).unwrap();
    (nodes, leader)
}

#[tokio::test(start_paused = true)]
async fn each_request_that_ran_is_reported_once_by_one_leader() {
    let world = World::new().with_usage(WINDOW);
    let (nodes, _) = start_three(&world).await;
    for i in 0..40 {
        assert!(send_request(&nodes[i % 3], ["x", "y"][i % 2], &format!("r{i}")).await);
        sleep_ms(211).await;
    }
    wait_until_reported(&world).await;
    let mut totals = Counts::new();
    for (name, count) in reports(&world).values().flatten() {
        *totals.entry(name.clone()).or_default() += count;
    }
    assert_eq!(totals, Counts::from([("x".into(), 20), ("y".into(), 20)]));
    let reported = world.duties.reports();
    assert!(reported.iter().all(|r| r.term == reported[0].term));
    // The windows are reported in order, and none is left out.
    let windows: Vec<u64> = reported.iter().map(|r| r.report.window).collect();
    assert!(windows.windows(2).all(|w| w[1] == w[0] + 1), "{windows:?}");
}

#[tokio::test(start_paused = true)]
async fn requests_that_did_not_run_are_not_reported() {
    let world = World::new().with_usage(WINDOW);
    let (nodes, _) = start_three(&world).await;
    for (behaviour, ran) in
        [(Behaviour::Full, 0), (Behaviour::Unreachable, 0), (Behaviour::Normal, 1)]
    {
        for id in ["p1", "p2"] {
            world.replicas.set_behaviour(id, behaviour);
        }
        let before = total_reported(&world);
        send_request(&nodes[0], "x", &format!("{behaviour:?}")).await;
        wait_until_reported(&world).await;
        assert_eq!(total_reported(&world) - before, ran, "{behaviour:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn the_counts_of_a_crashed_node_are_reported() {
    let world = World::new().with_usage(WINDOW);
    let (mut nodes, leader) = start_three(&world).await;
    let other = (leader + 1) % 3;
    for i in 0..5 {
        send_request(&nodes[other], "x", &format!("r{i}")).await;
    }
    // Its counts are shared within a few hundred milliseconds, not at the end of the window.
    sleep_ms(300).await;
    drop(nodes.remove(other));
    wait_until_reported(&world).await;
    assert_eq!(total_reported(&world), 5);
}

/// The leader crashes at different moments of the report of a window: before the window ends, as
/// the report is written to the store, and before and after it is sent, with and without lost
/// replies of the platform.
#[tokio::test(start_paused = true)]
async fn every_window_is_reported_correctly_after_a_crash_of_the_leader() {
    for crash_after_ms in [0, 900, 2_000, 2_090, 2_105, 2_110, 2_114, 2_118, 2_125, 2_200, 4_000] {
        let world = World::new().with_usage(WINDOW);
        let (mut nodes, leader) = start_three(&world).await;
        for i in 0..6 {
            send_request(&nodes[i % 3], "x", &format!("r{i}")).await;
        }
        let elapsed_ms = world.clock.true_time().as_millis() as u64 % 5_000;
        sleep_ms(5_000 - elapsed_ms + 3_000 + crash_after_ms).await;
        world.duties.lose_responses(u32::from(crash_after_ms % 2 == 0));
        drop(nodes.remove(leader));
        wait_until_reported(&world).await;
        assert_eq!(total_reported(&world), 6, "after {crash_after_ms} ms");
        let received = world.duties.reports();
        let fencing_tokens: Vec<u64> = received.iter().map(|r| r.term.fencing_token).collect();
        assert!(fencing_tokens.is_sorted(), "after {crash_after_ms} ms: {fencing_tokens:?}");
        let change = received.windows(2).find(|r| r[0].term.leader != r[1].term.leader).unwrap();
        assert!(
            change[1].received_at - change[0].received_at >= Duration::from_secs(3),
            "after {crash_after_ms} ms"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn an_unanswered_or_refused_report_is_repeated_unchanged() {
    let world = World::new().with_usage(WINDOW);
    let (nodes, _) = start_three(&world).await;
    for (lost, refused) in [(1, 0), (0, 2), (2, 1)] {
        let before = total_reported(&world);
        send_request(&nodes[0], "x", &format!("r{lost}{refused}")).await;
        world.duties.lose_responses(lost);
        world.duties.refuse_calls(refused);
        wait_until_reported(&world).await;
        assert_eq!(total_reported(&world) - before, 1);
    }
}

#[tokio::test(start_paused = true)]
async fn windows_are_reported_after_an_outage_of_the_store() {
    let world = World::new().with_usage(WINDOW);
    let (nodes, _) = start_three(&world).await;
    for i in 0..6 {
        send_request(&nodes[i % 3], "x", &format!("r{i}")).await;
    }
    for node in &nodes {
        node.store.set_faults(Faults { outage: Some(Outage::Unresponsive), ..Faults::default() });
    }
    sleep_ms(6_000).await;
    for node in &nodes {
        node.store.set_faults(Faults::default());
    }
    wait_until_reported(&world).await;
    assert_eq!(total_reported(&world), 6);
}

/// A node that reaches no other node shares its counts late, but before the report is due.
#[tokio::test(start_paused = true)]
async fn the_leader_waits_for_the_counts_of_a_disconnected_node() {
    let world = World::new().with_usage(WINDOW);
    let (nodes, leader) = start_three(&world).await;
    let (other, third) = ((leader + 1) % 3, (leader + 2) % 3);
    for to in [leader, third] {
        nodes[to].set_link(Link::Silent);
    }
    for i in 0..6 {
        send_request(&nodes[other], "x", &format!("r{i}")).await;
    }
    let elapsed_ms = world.clock.true_time().as_millis() as u64 % 5_000;
    sleep_ms(5_000 - elapsed_ms + 3_000).await;
    for to in [leader, third] {
        nodes[to].set_link(Link::Open);
    }
    wait_until_reported(&world).await;
    assert_eq!(total_reported(&world), 6);
}

/// The clock of one node is set seven seconds ahead and back again. Its requests are counted in the
/// windows of the true time.
#[tokio::test(start_paused = true)]
async fn requests_stay_in_their_windows_while_a_clock_is_wrong() {
    let mut world = World::new().with_usage(WINDOW);
    let true_clock = world.clock.clone();
    let (mut nodes, _) = start_three(&world).await;
    world.clock = true_clock.other_vm();
    let clock = world.clock.clone();
    nodes.push(world.linked_node("d").await);
    clock.set_offset(Duration::from_secs(7));
    world.clock = true_clock;
    let elapsed_ms = world.clock.true_time().as_millis() as u64 % 5_000;
    sleep_ms(5_000 - elapsed_ms + 100).await;
    let window = world.clock.true_time().as_secs() / 5;
    for i in 0..4 {
        assert!(send_request(&nodes[3], "x", &format!("r{i}")).await);
    }
    clock.set_offset(Duration::ZERO);
    wait_until_reported(&world).await;
    assert_eq!(reports(&world)[&window], Counts::from([("x".into(), 4)]));
}

/// Guards against incomplete reports of a leader whose clock has been seven seconds ahead since its
/// start. In a simulated day such a leader wrote the report of a window one second before the
/// window ended, with only the requests that were counted by then.
#[tokio::test(start_paused = true)]
async fn a_leader_with_a_wrong_clock_from_its_start_reports_whole_windows() {
    let mut world = World::new().with_usage(WINDOW);
    let (mut nodes, leader) = start_three(&world).await;
    let wrong = world.clock.other_vm();
    wrong.set_offset(Duration::from_secs(7));
    let true_clock = std::mem::replace(&mut world.clock, wrong);
    // With two nodes that have the wrong clock, one of them becomes the next leader.
    for name in ["d", "e"] {
        nodes.push(world.linked_node(name).await);
    }
    world.clock = true_clock;
    sleep_ms(6_000).await;
    drop(nodes.remove(leader));
    for i in 0..60 {
        send_request(&nodes[i % 4], "x", &format!("r{i}")).await;
        sleep_ms(211).await;
    }
    wait_until_reported(&world).await;
    assert_eq!(total_reported(&world), 60);
    let window_end = |r: &ReceivedReport| (r.report.window + 1) * WINDOW.as_secs();
    let finished_ms = world.clock.true_time().as_millis() as u64;
    let now = tokio::time::Instant::now();
    for report in world.duties.reports() {
        let at = finished_ms - (now - report.received_at).as_millis() as u64;
        assert!(at >= window_end(&report) * 1_000, "window {} at {at}", report.report.window);
    }
}

/// Nodes that have counted no requests send no messages. In a simulation with 300 nodes, their
/// messages at the end of each window and after a power loss cost trainers two of five steps.
#[tokio::test(start_paused = true)]
async fn nodes_without_counts_send_nothing() {
    let world = World::new().with_usage(WINDOW);
    let nodes = world.start_large_fleet(60);
    wait_until(|| nodes.iter().all(|n| n.app().ready())).await;
    let usage_messages = || {
        let requests = world.links.requests();
        requests.iter().filter(|request| matches!(request, PeerRequest::Usage { .. })).count()
    };
    sleep_ms(20_000).await;
    assert_eq!(usage_messages(), 0);
    send_request(&nodes[7], "x", "r").await;
    wait_until_reported(&world).await;
    assert_eq!(total_reported(&world), 1);
    // One message with the count, and one at the end of its window, each to at most two nodes.
    assert!((2..=4).contains(&usage_messages()), "{}", usage_messages());
}

/// Guards against counts that are lost with a node that stops just after its last request.
#[tokio::test(start_paused = true)]
async fn the_last_requests_of_a_node_that_stops_are_reported() {
    let world = World::new().with_usage(WINDOW);
    let (mut nodes, leader) = start_three(&world).await;
    let stopping = nodes.remove((leader + 1) % 3);
    stopping.entry.drain().await;
    for i in 0..5 {
        assert!(send_request(&stopping, "x", &format!("r{i}")).await);
    }
    let began = tokio::time::Instant::now();
    stopping.entry.flush_usage().await;
    assert!(began.elapsed() < Duration::from_millis(250), "{:?}", began.elapsed());
    drop(stopping);
    wait_until_reported(&world).await;
    assert_eq!(total_reported(&world), 5);
}
