//! Requests that crash each replica that runs them, and come again at any node.

use std::time::Duration;

use http::StatusCode;
use mulberrycourse::entry::RelayResponse;
use standins::replicas::{Behaviour, Replacement};
use tokio::time::Instant;

use crate::world::{HOST, Node, World, relay_request, sleep_ms};

/// How long after the third crash the nodes have to stop such a request.
const NOTICE_TIME: Duration = Duration::from_millis(3_000);
/// How often it may reach replicas after that.
const MAX_LATE_RUNS: usize = 3;
/// How often its client sends it.
const CLIENT_ATTEMPTS: usize = 12;
/// How long a client sends such a request again and again.
const CLIENT_TIME: Duration = Duration::from_secs(60);
/// How long a node has run before what it sends counts.
const CONTACT_TIME: Duration = Duration::from_millis(3_000);
/// The path of the requests.
const CRASHING: &str = "/plain/crash";

/// How a request crashes replicas, and what becomes of them. Times are in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Crashes {
    replicas: usize,
    /// How long it runs at each.
    after: u64,
    /// When the entry of a crashed replica is gone and when another one is back. They come back under
    /// the same id if none.
    replaced: Option<(u64, u64)>,
    /// How long after each response its client sends it again, at the next node.
    interval: u64,
    /// Whether every 2.1 s another node is replaced.
    nodes_replaced: bool,
}

/// Sends a request through the nodes, one after the other, for [`CLIENT_TIME`]. Returns the number
/// of runs later than [`NOTICE_TIME`] after its third crash that nodes sent after [`CONTACT_TIME`].
async fn late_runs(crashes: Crashes) -> usize {
    let world = World::new();
    for number in 3..=crashes.replicas {
        world.replicas.add("plain", &format!("p{number}"), &[]);
    }
    world.replicas.crash_after(CRASHING, Duration::from_millis(crashes.after));
    if let Some((gone_after, back_after)) = crashes.replaced {
        let [gone_after, back_after] = [gone_after, back_after].map(Duration::from_millis);
        world.replicas.replace_crashed(Replacement { gone_after, back_after });
    }
    let mut nodes = Vec::new();
    for name in ["a", "b", "c", "d"] {
        nodes.push((world.linked_node(name).await, Instant::now()));
    }
    sleep_ms(3_000).await;
    let started = Instant::now();
    let mut replaced_at = started;
    for number in 0.. {
        if started.elapsed() > CLIENT_TIME {
            break;
        }
        if crashes.nodes_replaced && replaced_at.elapsed() > Duration::from_millis(2_100) {
            replaced_at = Instant::now();
            let (former, _) = nodes.remove(0);
            let name = former.app().settings.name.to_string();
            drop(former);
            nodes.push((world.linked_node(&name).await, Instant::now()));
        }
        let (node, since) = &nodes[number % nodes.len()];
        let phase = if since.elapsed() < CONTACT_TIME { "young" } else { "sent" };
        send(node, &format!("{phase}-{number}"), CRASHING).await;
        sleep_ms(crashes.interval).await;
    }
    count_late(&world, "", Duration::from_millis(crashes.after))
}

/// Sends a request through a node, and returns the status of the response, if there was one.
async fn send(node: &Node, id: &str, path: &str) -> Option<StatusCode> {
    let route = node.app().routes()?.find(HOST, path).cloned()?;
    match node.app().relay(&route, relay_request(id, path)).await {
        RelayResponse::Complete { status, .. } | RelayResponse::Stream { status, .. } => {
            Some(status)
        }
        RelayResponse::Refused(_) => None,
    }
}

/// Counts the runs later than [`NOTICE_TIME`] after the third crash, of requests with this id prefix
/// that crash replicas after this time.
fn count_late(world: &World, prefix: &str, after: Duration) -> usize {
    let runs = world.replicas.runs();
    let is_crashing = |id: &str| id.starts_with("sent") || id.starts_with("young");
    let runs: Vec<_> =
        runs.iter().filter(|r| is_crashing(&r.id) && r.id.contains(prefix)).collect();
    let Some(third) = runs.get(2) else { return 0 };
    let stopped_at = third.received_at + after + NOTICE_TIME;
    let late = runs.iter().filter(|r| r.received_at > stopped_at);
    late.filter(|run| run.id.starts_with("sent")).count()
}

/// Checks that requests are stopped in time, whatever the time until they crash a replica.
async fn assert_stopped(plays: impl IntoIterator<Item = Crashes>) {
    let mut broken = Vec::new();
    for crashes in plays {
        let late = late_runs(crashes).await;
        if late > MAX_LATE_RUNS {
            broken.push((late, crashes));
        }
    }
    assert!(broken.is_empty(), "{} plays: {broken:#?}", broken.len());
}

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

/// Guards against a limit that depends on how long a request runs before it crashes its replica.
#[tokio::test(start_paused = true)]
async fn requests_that_crash_replicas_after_a_while_are_stopped() {
    let plays = [50, 165, 300, 600].into_iter().flat_map(|after| {
        [(2, 700), (5, 700), (5, 4_000)].map(|(replicas, interval)| Crashes {
            replicas,
            after,
            replaced: None,
            interval,
            nodes_replaced: false,
        })
    });
    assert_stopped(plays).await;
}

/// Guards against crashes that no attempt sees, as each has ended just before its replica crashes.
#[tokio::test(start_paused = true)]
async fn requests_that_crash_replicas_after_their_attempts_have_ended_are_stopped() {
    let plays = [900, 950, 990, 1_010, 1_100, 1_500]
        .into_iter()
        .flat_map(|after| [700, 2_000].map(|interval| silent_crashes(5, after, interval)));
    assert_stopped(plays).await;
}

/// Guards against the same at a service of two replicas, which are both away for most of the time.
#[tokio::test(start_paused = true)]
async fn requests_that_crash_both_replicas_after_two_seconds_are_stopped() {
    let plays = [1_900, 1_990, 2_010, 2_500].map(|after| silent_crashes(2, after, 700));
    assert_stopped(plays).await;
}

/// Crashes of replicas that come back under the same ids.
fn silent_crashes(replicas: usize, after: u64, interval: u64) -> Crashes {
    Crashes { replicas, after, replaced: None, interval, nodes_replaced: false }
}

/// Guards against crashes that are missed because the entry of the replica is gone when it is
/// checked.
#[tokio::test(start_paused = true)]
async fn requests_are_stopped_if_crashed_replicas_come_back_under_new_ids() {
    let plays = [50, 165, 300].into_iter().flat_map(|after| {
        let times = [(0, 2_000), (10, 3_000), (100, 2_000), (1_000, 3_000), (1_900, 2_000)];
        times.map(|replaced| Crashes {
            replicas: 5,
            after,
            replaced: Some(replaced),
            interval: 700,
            nodes_replaced: false,
        })
    });
    assert_stopped(plays).await;
}

/// Guards against knowledge of crashes that is lost with the nodes that saw them.
#[tokio::test(start_paused = true)]
async fn requests_that_crash_replicas_are_stopped_while_nodes_are_replaced() {
    let plays = [50, 165, 300].into_iter().flat_map(|after| {
        [(2, None), (5, None), (5, Some((1_000, 3_000)))].map(|(replicas, replaced)| Crashes {
            replicas,
            after,
            replaced,
            interval: 700,
            nodes_replaced: true,
        })
    });
    assert_stopped(plays).await;
}

/// Guards against knowledge of crashes that is lost when all nodes end at the same time.
#[tokio::test(start_paused = true)]
async fn requests_that_crash_replicas_stay_stopped_if_all_nodes_restart() {
    let world = World::new();
    let after = Duration::from_millis(100);
    world.replicas.crash_after(CRASHING, after);
    for round in 0..3 {
        let nodes = [world.linked_node("a").await, world.linked_node("b").await];
        sleep_ms(3_000).await;
        for number in 0..20 {
            send(&nodes[number % 2], &format!("sent-{round}-{number}"), CRASHING).await;
            sleep_ms(700).await;
        }
    }
    let late = count_late(&world, "", after);
    assert!(late <= MAX_LATE_RUNS, "{late} runs");
}

/// Guards against silence that counts as a run that its replica survived.
#[tokio::test(start_paused = true)]
async fn a_silent_request_clears_no_suspect() {
    let world = World::new();
    let ids = ["p1", "p2", "p3", "p4", "p5"];
    ids[2..].iter().for_each(|id| world.replicas.add("plain", id, &[]));
    world.replicas.set_restart_time(Duration::from_secs(60));
    world.replicas.crash_times(CRASHING, Duration::from_millis(50), 2);
    let node = world.linked_node("a").await;
    ids.iter().for_each(|id| world.replicas.set_behaviour(id, Behaviour::Unresponsive));
    send(&node, "sent-1", CRASHING).await;
    assert_eq!(world.replicas.runs().len(), 3);
    sleep_ms(2_500).await;
    assert!(node.app().metrics().contains("mulberry_suspect_requests 1"));
}

/// Guards against crashes that nobody sees, as the client of the request leaves before each.
#[tokio::test(start_paused = true)]
async fn a_request_whose_client_leaves_before_the_crash_is_stopped() {
    let world = World::new();
    for number in 3..=5 {
        world.replicas.add("plain", &format!("p{number}"), &[]);
    }
    let after = Duration::from_millis(100);
    world.replicas.crash_after(CRASHING, after);
    let [gone_after, back_after] = [1_000, 3_000].map(Duration::from_millis);
    world.replicas.replace_crashed(Replacement { gone_after, back_after });
    let nodes = [world.linked_node("a").await, world.linked_node("b").await];
    for number in 0..60 {
        let id = format!("sent-{number}");
        let sent = send(&nodes[number % 2], &id, CRASHING);
        assert!(tokio::time::timeout(after / 2, sent).await.is_err() || number > 3);
        sleep_ms(700).await;
    }
    let late = count_late(&world, "", after);
    assert!(late <= MAX_LATE_RUNS, "{late} runs");
}

/// Guards against a crash that is taken for a stop, as the entry of the replica is gone when it is
/// checked.
#[tokio::test(start_paused = true)]
async fn a_crash_counts_if_the_entry_of_the_replica_is_gone_soon_after() {
    for gone_after in [10, 30] {
        let world = World::new();
        world.replicas.crash_after(CRASHING, Duration::from_millis(100));
        let [gone_after, back_after] = [gone_after, 3_000].map(Duration::from_millis);
        world.replicas.replace_crashed(Replacement { gone_after, back_after });
        let node = world.linked_node("a").await;
        send(&node, "sent", CRASHING).await;
        let metrics = node.app().metrics();
        assert!(metrics.contains("mulberry_replica_crashes_total 2"), "{gone_after:?}");
    }
}

/// Guards against two such requests of which each explains the crashes of the other.
#[tokio::test(start_paused = true)]
async fn two_requests_that_crash_the_same_replicas_are_both_stopped() {
    let world = World::new();
    for id in ["p3", "p4", "p5"] {
        world.replicas.add("plain", id, &[]);
    }
    let after = Duration::from_millis(100);
    for path in ["/plain/x1", "/plain/x2"] {
        world.replicas.crash_after(path, after);
    }
    world.replicas.replace_crashed(Replacement {
        gone_after: Duration::from_millis(1_000),
        back_after: Duration::from_millis(3_000),
    });
    let nodes =
        [world.linked_node("a").await, world.linked_node("b").await, world.linked_node("c").await];
    for number in 0..80 {
        let (first, second) = (&nodes[number % 3], &nodes[(number + 1) % 3]);
        let ids = [format!("sent-x1-{number}"), format!("sent-x2-{number}")];
        tokio::join!(send(first, &ids[0], "/plain/x1"), send(second, &ids[1], "/plain/x2"),);
        sleep_ms(700).await;
    }
    let late = ["-x1-", "-x2-"].map(|id| count_late(&world, id, after));
    assert!(late.iter().all(|late| *late <= MAX_LATE_RUNS), "{late:?}");
}
