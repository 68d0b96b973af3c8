//! Usage is reported once a window, whichever node is lost meanwhile.

use std::collections::BTreeMap;
use std::time::Duration;

use mulberrycourse::decide::usage::Counts;
use mulberrycourse::entry::{Ask, Given, PeerRequest};
use standins::duties::Reported;
use standins::kv::{Away, Faults};
use standins::replicas::Mood;

use crate::links::Link;
use crate::world::{Node, World, ask, pass, until};

/// The window of the nodes' settings here.
const WINDOW: Duration = Duration::from_secs(5);

/// Sends a request of an organisation. True if it was served.
async fn call(node: &Node, organisation: &str, id: &str) -> bool {
    let routes = node.app().routes().unwrap();
    let route = routes.find("host.example", "/plain/x").unwrap();
    let ask = Ask { organisation: Some(organisation.into()), ..ask(id, "/plain/x") };
    matches!(node.app().relay(route, ask).await, Given::Whole { status, .. } if status.is_success())
}

/// Reports that were taken, by window; a window that was reported with two counts fails.
fn reports(world: &World) -> BTreeMap<u64, Counts> {
    let mut by_window: BTreeMap<u64, Counts> = BTreeMap::new();
    for Reported { report, taken, .. } in world.duties.reported() {
        if taken {
            let first = by_window.entry(report.window).or_insert_with(|| report.counts.clone());
            assert_eq!(*first, report.counts, "window {}", report.window);
        }
    }
    by_window
}

fn sum(world: &World) -> u64 {
    reports(world).values().flat_map(|counts| counts.values()).sum()
}

/// Waits until every window up to the present one was reported.
async fn settle(world: &World) {
    let window = (world.clock.truth().as_secs() / WINDOW.as_secs()) + 1;
    until(|| reports(world).contains_key(&window)).await;
}

/// The nodes a, b and c, and which of them has the duty.
async fn three(world: &World) -> (Vec<Node>, usize) {
    let mut nodes = Vec::new();
    for name in ["a", "b", "c"] {
        nodes.push(world.linked(name).await);
    }
    until(|| !world.duties.reported().is_empty()).await;
    let holder = world.duties.reported()[0].term.holder.clone();
    let index = nodes.iter().position(|n| n.app().settings.name == holder).unwrap();
    (nodes, index)
}

#[tokio::test(start_paused = true)]
async fn each_request_that_ran_is_reported_once_by_one_holder() {
    let world = World::new().with_usage(WINDOW);
    let (nodes, _) = three(&world).await;
    for i in 0..40 {
        assert!(call(&nodes[i % 3], ["x", "y"][i % 2], &format!("r{i}")).await);
        pass(211).await;
    }
    settle(&world).await;
    let mut totals = Counts::new();
    for (name, count) in reports(&world).values().flatten() {
        *totals.entry(name.clone()).or_default() += count;
    }
    assert_eq!(totals, Counts::from([("x".into(), 20), ("y".into(), 20)]));
    let reported = world.duties.reported();
    assert!(reported.iter().all(|r| r.term == reported[0].term));
    // One after the other, none left out.
    let windows: Vec<u64> = reported.iter().map(|r| r.report.window).collect();
    assert!(windows.windows(2).all(|w| w[1] == w[0] + 1), "{windows:?}");
}

#[tokio::test(start_paused = true)]
async fn what_was_refused_or_not_reached_is_not_reported() {
    let world = World::new().with_usage(WINDOW);
    let (nodes, _) = three(&world).await;
    for (mood, ran) in [(Mood::Full, 0), (Mood::Unreachable, 0), (Mood::Good, 1)] {
        for id in ["p1", "p2"] {
            world.replicas.mood(id, mood);
        }
        let before = sum(&world);
        call(&nodes[0], "x", &format!("{mood:?}")).await;
        settle(&world).await;
        assert_eq!(sum(&world) - before, ran, "{mood:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn the_counts_of_a_node_that_is_killed_are_reported() {
    let world = World::new().with_usage(WINDOW);
    let (mut nodes, holder) = three(&world).await;
    let other = (holder + 1) % 3;
    for i in 0..5 {
        call(&nodes[other], "x", &format!("r{i}")).await;
    }
    // Its counts are told within some hundred milliseconds, not at the window's end.
    pass(300).await;
    drop(nodes.remove(other));
    settle(&world).await;
    assert_eq!(sum(&world), 5);
}

/// The holder goes at a moment of a window's report: before its end, as it is being fixed,
/// before and after it is sent, with answers of the platform lost.
#[tokio::test(start_paused = true)]
async fn a_holder_that_is_killed_at_any_moment_leaves_no_window_wrong() {
    for cut in [0, 900, 2_000, 2_090, 2_105, 2_110, 2_114, 2_118, 2_125, 2_200, 4_000] {
        let world = World::new().with_usage(WINDOW);
        let (mut nodes, holder) = three(&world).await;
        for i in 0..6 {
            call(&nodes[i % 3], "x", &format!("r{i}")).await;
        }
        let into = world.clock.truth().as_millis() as u64 % 5_000;
        pass(5_000 - into + 3_000 + cut).await;
        world.duties.lose(u32::from(cut % 2 == 0));
        drop(nodes.remove(holder));
        settle(&world).await;
        assert_eq!(sum(&world), 6, "cut {cut}");
        let taken = world.duties.reported();
        let fences: Vec<u64> = taken.iter().map(|r| r.term.fencing_token).collect();
        assert!(fences.is_sorted(), "cut {cut}: {fences:?}");
        let change = taken.windows(2).find(|r| r[0].term.holder != r[1].term.holder).unwrap();
        assert!(change[1].at - change[0].at >= Duration::from_secs(3), "cut {cut}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_report_that_gets_no_answer_or_is_refused_is_repeated_unchanged() {
    let world = World::new().with_usage(WINDOW);
    let (nodes, _) = three(&world).await;
    for (lost, refused) in [(1, 0), (0, 2), (2, 1)] {
        let before = sum(&world);
        call(&nodes[0], "x", &format!("r{lost}{refused}")).await;
        world.duties.lose(lost);
        world.duties.refuse(refused);
        settle(&world).await;
        assert_eq!(sum(&world) - before, 1);
    }
}

#[tokio::test(start_paused = true)]
async fn windows_are_reported_after_an_outage_of_the_store() {
    let world = World::new().with_usage(WINDOW);
    let (nodes, _) = three(&world).await;
    for i in 0..6 {
        call(&nodes[i % 3], "x", &format!("r{i}")).await;
    }
    for node in &nodes {
        node.line.fail(Faults { away: Some(Away::Silent), ..Faults::default() });
    }
    pass(6_000).await;
    for node in &nodes {
        node.line.fail(Faults::default());
    }
    settle(&world).await;
    assert_eq!(sum(&world), 6);
}

/// A node that reaches nobody tells its counts late, but before they are due.
#[tokio::test(start_paused = true)]
async fn a_node_that_is_cut_off_is_waited_for() {
    let world = World::new().with_usage(WINDOW);
    let (nodes, holder) = three(&world).await;
    let (other, third) = ((holder + 1) % 3, (holder + 2) % 3);
    for to in [holder, third] {
        nodes[to].link(Link::Silent);
    }
    for i in 0..6 {
        call(&nodes[other], "x", &format!("r{i}")).await;
    }
    let into = world.clock.truth().as_millis() as u64 % 5_000;
    pass(5_000 - into + 3_000).await;
    for to in [holder, third] {
        nodes[to].link(Link::Open);
    }
    settle(&world).await;
    assert_eq!(sum(&world), 6);
}

/// The time of day of one node jumps and jumps back: its requests stay in their windows.
#[tokio::test(start_paused = true)]
async fn requests_stay_in_their_windows_while_a_clock_is_wrong() {
    let mut world = World::new().with_usage(WINDOW);
    let true_clock = world.clock.clone();
    let (mut nodes, _) = three(&world).await;
    world.clock = true_clock.beside();
    let clock = world.clock.clone();
    nodes.push(world.linked("d").await);
    clock.step(Duration::from_secs(7));
    world.clock = true_clock;
    let into = world.clock.truth().as_millis() as u64 % 5_000;
    pass(5_000 - into + 100).await;
    let window = world.clock.truth().as_secs() / 5;
    for i in 0..4 {
        assert!(call(&nodes[3], "x", &format!("r{i}")).await);
    }
    clock.step(Duration::ZERO);
    settle(&world).await;
    assert_eq!(reports(&world)[&window], Counts::from([("x".into(), 4)]));
}

/// A node that starts with a clock seven seconds ahead becomes holder. On a played day it fixed a
/// window one second before its end, with what had been counted by then.
#[tokio::test(start_paused = true)]
async fn a_holder_whose_clock_is_wrong_from_its_start_reports_whole_windows() {
    let mut world = World::new().with_usage(WINDOW);
    let (mut nodes, holder) = three(&world).await;
    let wrong = world.clock.beside();
    wrong.step(Duration::from_secs(7));
    let truth = std::mem::replace(&mut world.clock, wrong);
    // Until one of those with the wrong clock is next in rank.
    for name in ["d", "e"] {
        nodes.push(world.linked(name).await);
    }
    world.clock = truth;
    pass(6_000).await;
    drop(nodes.remove(holder));
    for i in 0..60 {
        call(&nodes[i % 4], "x", &format!("r{i}")).await;
        pass(211).await;
    }
    settle(&world).await;
    assert_eq!(sum(&world), 60);
    let ends = |r: &Reported| (r.report.window + 1) * WINDOW.as_secs();
    let began = world.clock.truth().as_millis() as u64;
    let now = tokio::time::Instant::now();
    for report in world.duties.reported() {
        let at = began - (now - report.at).as_millis() as u64;
        assert!(at >= ends(&report) * 1_000, "window {} at {at}", report.report.window);
    }
}

/// Nodes that have counted nothing say nothing. Played with 300 of them, their notes at each
/// window's end and as all came back after a loss of power cost trainers two steps of five.
#[tokio::test(start_paused = true)]
async fn nodes_without_counts_tell_nothing() {
    let world = World::new().with_usage(WINDOW);
    let nodes = world.crowd(60);
    until(|| nodes.iter().all(|n| n.app().ready())).await;
    let told = || {
        let asked = world.links.asked();
        asked.iter().filter(|ask| matches!(ask, PeerRequest::Usage { .. })).count()
    };
    pass(20_000).await;
    assert_eq!(told(), 0);
    call(&nodes[7], "x", "r").await;
    settle(&world).await;
    assert_eq!(sum(&world), 1);
    // The count, and that its window is over, to two nodes.
    assert!((2..=4).contains(&told()), "{}", told());
}
