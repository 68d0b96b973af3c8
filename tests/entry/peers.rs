//! What nodes do for each other: homes that stay the same, reads at the home, and the store
//! through another node.

use std::collections::BTreeSet;
use std::time::Duration;

use mulberrycourse::edge::store::Store;
use mulberrycourse::entry::{Found, PeerRequest, Read, StoreRequest, Submitted};
use standins::kv::{Away, Faults};

use crate::links::Link;
use crate::world::{Node, World, calls, pass, spec, until};

/// The incarnations that the store has as homes.
fn homes(world: &World) -> BTreeSet<String> {
    let items = world.kv.items("mulberry/home/");
    let life = |value: &[u8]| {
        let value: serde_json::Value = serde_json::from_slice(value).unwrap();
        value["life"].as_str().unwrap().to_owned()
    };
    items.iter().map(|item| life(&item.value)).collect()
}

/// Three linked nodes that know each other, the home of all jobs first.
async fn three(world: &World) -> [Node; 3] {
    let mut nodes = Vec::new();
    for name in ["a", "b", "c"] {
        nodes.push(world.linked(name).await);
    }
    pass(1_000).await;
    assert_eq!(nodes[0].submit("first", &["f1"]).await, Submitted::Kept);
    let home = homes(world).first().unwrap().split('.').next().unwrap().to_owned();
    nodes.sort_by_key(|node| *node.app().settings.name != *home);
    let nodes: [Node; 3] = nodes.try_into().unwrap_or_else(|_| unreachable!());
    nodes[0].whole("first", 1).await;
    nodes
}

fn away(how: Away) -> Faults {
    Faults { away: Some(how), ..Faults::default() }
}

/// Guards: each step had another home, which knew nothing of the replicas or of the step
/// before and opened all connections anew (3,300 of them in a quiet day, 2,200 after).
#[tokio::test(start_paused = true)]
async fn the_jobs_of_a_route_have_one_home() {
    let world = World::new();
    let nodes = three(&world).await;
    for (i, node) in nodes.iter().enumerate() {
        assert_eq!(node.submit(&format!("j{i}"), &[&format!("i{i}")]).await, Submitted::Kept);
    }
    assert_eq!(homes(&world).len(), 1);
    for (i, node) in nodes.iter().enumerate() {
        node.whole(&format!("j{i}"), 1).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_home_that_does_not_answer_costs_no_job() {
    for link in [Link::Cut, Link::Silent, Link::Deaf] {
        let world = World::new();
        let [home, other, _third] = three(&world).await;
        home.link(link);
        for (job, item) in [("j1", "i1"), ("j2", "i2")] {
            assert_eq!(other.submit(job, &[item]).await, Submitted::Kept, "{link:?}");
            other.whole(job, 1).await;
        }
        let runs = world.replicas.ran().iter().filter(|r| &*r.id == "i1").count();
        assert_eq!(runs, 1, "{link:?}");
    }
}

/// A refusal says that no part of a job runs: it may not be said where the home may have
/// taken the job and only its answer is missing.
#[tokio::test(start_paused = true)]
async fn a_job_that_a_home_may_have_taken_is_not_refused() {
    let world = World::new();
    let [home, other, third] = three(&world).await;
    home.link(Link::Deaf);
    third.link(Link::Cut);
    other.line.fail(away(Away::Refusing));
    let cut = async {
        pass(100).await;
        home.link(Link::Cut);
    };
    let (submitted, ()) = tokio::join!(other.submit("j", &["i1"]), cut);
    assert_eq!(submitted, Submitted::Unknown);
    assert_eq!(home.whole("j", 1).await.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_home_that_leaves_takes_no_jobs() {
    let world = World::new();
    let [home, other, _third] = three(&world).await;
    let leaving = home.entry.drain();
    let submitting = async {
        pass(1).await;
        assert_eq!(other.submit("j1", &["i1"]).await, Submitted::Kept);
        other.whole("j1", 1).await;
    };
    tokio::join!(leaving, submitting);
}

/// Guards: each read at another node took two or three calls to the store.
#[tokio::test(start_paused = true)]
async fn reads_at_other_nodes_take_no_call_to_the_store() {
    let world = World::new();
    let [_home, other, _third] = three(&world).await;
    let items = ["i1", "i2", "i3", "i4"];
    for (i, item) in items.iter().enumerate() {
        world.replicas.length(item, 20 * (i as u64 + 1));
    }
    other.submit("j", &items).await;
    let before = calls(&other, "Get") + calls(&other, "Range");
    let watches = calls(&other, "Watch");
    other.whole("j", 4).await;
    assert_eq!(calls(&other, "Get") + calls(&other, "Range") - before, 0);
    assert!(calls(&other, "Watch") - watches <= 1);
}

/// Guards: results and bodies of a job that its trainer had ended were read from the store at
/// each node, two to four calls each: 1,800 of 6,000 calls of a day with 73 nodes.
#[tokio::test(start_paused = true)]
async fn an_ended_job_is_read_where_it_ran() {
    let world = World::new();
    let [home, other, third] = three(&world).await;
    world.replicas.length("i2", 2_000);
    home.submit("j", &["i1", "i2"]).await;
    other.whole("j", 1).await;
    assert_eq!(other.app().end_job("j").await, Found::There(()));
    pass(1_000).await;
    let count = |node: &Node| calls(node, "Get") + calls(node, "Range") + calls(node, "Watch");
    let before = count(&third);
    for _ in 0..5 {
        let page = third.page("j", 0).await;
        assert_eq!(page.iter().map(|l| &*l.id).collect::<Vec<_>>(), ["i1"]);
        let Found::There(body) = third.app().body("j", "i2").await else { panic!("no body") };
        assert_eq!(body, "body of i2");
        pass(4_000).await;
    }
    let polled = count(&third) - before;
    assert!(polled <= 6, "{polled} calls, its own watches among them");
    drop(home);
    pass(5_000).await;
    assert_eq!(third.page("j", 0).await.len(), 1, "the store has it as well");
}

/// What a reader has once seen of a job that is ended is all of it: nothing is listed later,
/// though its home had more.
#[tokio::test(start_paused = true)]
async fn nothing_is_listed_after_the_end() {
    let world = World::new();
    let [home, other, third] = three(&world).await;
    for (item, length) in [("i1", 20), ("i2", 60), ("i3", 61), ("i4", 62)] {
        world.replicas.length(item, length);
    }
    home.submit("j", &["i1", "i2", "i3", "i4"]).await;
    other.whole("j", 1).await;
    home.line.fail(away(Away::Refusing));
    home.isolate();
    home.link(Link::Cut);
    pass(1_500).await;
    assert_eq!(other.app().end_job("j").await, Found::There(()));
    let seen = third.page("j", 0).await;
    home.line.fail(Faults::default());
    home.link(Link::Open);
    pass(3_000).await;
    for node in [&home, &other, &third] {
        assert_eq!(node.page("j", 0).await, seen);
    }
    let stored = world.kv.items("mulberry/job/j/results").len();
    pass(5_000).await;
    assert_eq!(world.kv.items("mulberry/job/j/results").len(), stored);
}

#[tokio::test(start_paused = true)]
async fn a_reader_follows_a_job_to_its_next_home() {
    let world = World::new();
    let [home, other, third] = three(&world).await;
    world.replicas.length("i2", 200);
    other.submit("j", &["i1", "i2"]).await;
    until(|| !world.kv.items("mulberry/job/j/results").is_empty()).await;
    let shown = other.page("j", 0).await;
    assert_eq!(shown.len(), 1);
    home.link(Link::Cut);
    drop(home);
    let whole = other.whole("j", 2).await;
    assert_eq!(whole[..1], shown[..]);
    assert_eq!(third.whole("j", 2).await, whole);
}

/// Guards: a home whose lease has ended shows less than the next one has shown.
#[tokio::test(start_paused = true)]
async fn a_home_without_a_lease_answers_no_reads() {
    let world = World::new();
    let [home, other, third] = three(&world).await;
    world.replicas.length("i2", 150);
    other.submit("j", &["i1", "i2"]).await;
    until(|| !world.kv.items("mulberry/job/j/results").is_empty()).await;
    // The home reaches neither the store nor the others, which reach it.
    home.line.fail(away(Away::Silent));
    other.line.fail(away(Away::Refusing));
    third.line.fail(away(Away::Refusing));
    pass(400).await;
    other.line.fail(Faults::default());
    third.line.fail(Faults::default());
    home.isolate();
    pass(4_000).await;
    let ask = PeerRequest::Read { job: "j".into(), after: 0, wait: Duration::ZERO };
    assert_eq!(other.ask(&home, ask).await, Some(None));
    assert_eq!(other.whole("j", 2).await.len(), 2);
}

/// Guards: results whose write was not answered show at nodes that read the store, not yet
/// at the home that wrote them.
#[tokio::test(start_paused = true)]
async fn a_home_that_is_unsure_of_a_write_answers_from_the_store() {
    let world = World::new();
    let [home, other, _third] = three(&world).await;
    world.replicas.length("i2", 500);
    other.submit("j", &["i1", "i2"]).await;
    home.line.fail(Faults { lose: 3, ..Faults::default() });
    until(|| !world.kv.items("mulberry/job/j/results").is_empty()).await;
    pass(1_200).await;
    assert_eq!(home.page("j", 0).await.len(), 1);
    assert_eq!(other.page("j", 0).await.len(), 1);
}

/// Guards: a node that the store turned away lost its lease, and its jobs stood still until
/// others took them.
#[tokio::test(start_paused = true)]
async fn a_home_that_is_turned_away_goes_on_through_others() {
    for how in [Away::Refusing, Away::Silent] {
        let world = World::new();
        let [home, other, _third] = three(&world).await;
        world.replicas.length("i2", 300);
        other.submit("j", &["i1", "i2"]).await;
        let before = homes(&world);
        home.line.fail(away(how));
        assert_eq!(other.whole("j", 2).await.len(), 2, "{how:?}");
        assert_eq!(homes(&world), before, "{how:?}");
        assert_eq!(home.submit("k", &["k1"]).await, Submitted::Kept, "{how:?}");
        let asked = world.links.asked().len();
        home.line.fail(Faults::default());
        pass(3_000).await;
        home.app().read("j", 0, Duration::ZERO).await;
        pass(5_000).await;
        let after = world.links.asked();
        let detours = after[asked..].iter().filter(|a| matches!(a, PeerRequest::Store(_))).count();
        assert!(detours < 20, "{how:?}: {detours} calls through others with the own way open");
    }
}

#[tokio::test(start_paused = true)]
async fn a_configuration_reaches_a_node_that_is_turned_away() {
    let world = World::new();
    let [_home, other, _third] = three(&world).await;
    other.line.fail(away(Away::Refusing));
    pass(1_000).await;
    world.configure(7);
    pass(1_500).await;
    assert_eq!(other.app().routes().unwrap().version, 7);
}

/// Guards: a node whose calls were no longer answered went on waiting for its watches, 7 s on
/// a day with 63 nodes, and gave no orders for the versions that were named meanwhile.
#[tokio::test(start_paused = true)]
async fn watches_that_hang_are_given_up_with_the_way_to_the_store() {
    let world = World::new();
    let [_home, other, _third] = three(&world).await;
    other.line.fail(away(Away::Hanging));
    pass(1_000).await;
    world.configure(7);
    pass(2_000).await;
    assert_eq!(other.app().routes().unwrap().version, 7);
}

/// Guards: calls that had begun in an outage were waited for up to 2 s after it, and leases
/// that could have been renewed ended.
#[tokio::test(start_paused = true)]
async fn the_return_of_the_store_is_used_within_a_second() {
    for quiet in [0, 100, 200, 300, 400] {
        let world = World::new();
        let nodes = three(&world).await;
        world.replicas.length("i1", 10);
        nodes[1].submit("j", &["i1"]).await;
        nodes.iter().for_each(|node| node.line.fail(away(Away::Silent)));
        pass(2_900 + quiet).await;
        nodes.iter().for_each(|node| node.line.fail(Faults::default()));
        pass(1_000).await;
        assert!(!world.kv.items("mulberry/job/j/results").is_empty(), "after {quiet} ms");
        assert_eq!(world.kv.items("mulberry/live/node/").len(), 3, "after {quiet} ms");
    }
}

/// A write that may have taken effect is the caller's to settle: made again, a removal or
/// a second put could undo what came between.
#[tokio::test(start_paused = true)]
async fn a_write_without_an_answer_is_not_made_through_another() {
    let world = World::new();
    let [home, other, _third] = three(&world).await;
    let writes = || {
        let asked = world.links.asked();
        asked.iter().filter(|a| matches!(a, PeerRequest::Store(StoreRequest::Txn(_)))).count()
    };
    home.line.fail(Faults { lose: 1, ..Faults::default() });
    assert_eq!(home.submit("j", &["i1"]).await, Submitted::Kept);
    assert!(writes() <= 1, "the try after it may go through another");
    other.whole("j", 1).await;
    let runs = world.replicas.ran().iter().filter(|r| &*r.id == "i1").count();
    assert_eq!(runs, 1);
}

/// Guards: an outage for everybody doubled every call.
#[tokio::test(start_paused = true)]
async fn an_outage_for_all_is_no_storm() {
    let world = World::new();
    let nodes = three(&world).await;
    nodes.iter().for_each(|node| node.line.fail(away(Away::Refusing)));
    pass(1_000).await;
    let before = world.links.asked().len();
    pass(10_000).await;
    let asked = world.links.asked().len() - before;
    assert!(asked <= 3 * 10 * 5, "{asked} requests in ten seconds of three nodes");
    nodes.iter().for_each(|node| node.line.fail(Faults::default()));
    pass(3_000).await;
    assert_eq!(nodes[1].submit("j", &["i1"]).await, Submitted::Kept);
}

#[tokio::test(start_paused = true)]
async fn an_unknown_job_is_unknown_at_linked_nodes() {
    let world = World::new();
    let [_home, other, _third] = three(&world).await;
    assert_eq!(other.app().read("none", 0, Duration::ZERO).await, Read::Unknown);
}

/// The same over sockets.
#[tokio::test]
async fn nodes_ask_each_other_over_sockets() {
    use std::sync::Arc;

    use mulberrycourse::entry::{HttpPeers, PeerReply, PeerServer, Peers, StoreReply};

    let world = World::new();
    let node = world.node("a").await;
    let door = PeerServer::bind(node.app().clone(), ([127, 0, 0, 1], 0).into()).await.unwrap();
    let line = HttpPeers::new(Arc::default());
    let limit = Duration::from_secs(20);
    world.kv.put("some/key", "value");
    let get = PeerRequest::Store(StoreRequest::Get("some/key".into()));
    let item = node.line.get("some/key").await.unwrap();
    let got = line.request(door.address(), get, limit).await.unwrap();
    assert_eq!(got, PeerReply::Store(Ok(StoreReply::Item(item))));
    let submitted =
        line.request(door.address(), PeerRequest::Submit(spec("j", &["i1"])), limit).await;
    assert_eq!(submitted.unwrap(), PeerReply::Submitted(Submitted::Kept));
    node.whole("j", 1).await;
    let read = PeerRequest::Read { job: "j".into(), after: 0, wait: Duration::ZERO };
    let PeerReply::Read(Some(Read::Page { total: 1, results })) =
        line.request(door.address(), read, limit).await.unwrap()
    else {
        panic!("no page");
    };
    assert_eq!(results, node.page("j", 0).await);
}
