//! Tests of requests between entry nodes: one owner for all jobs of a route, reads from the owner,
//! and calls to the store through another node.

use std::collections::BTreeSet;
use std::time::Duration;

use mulberrycourse::edge::store::Store;
use mulberrycourse::entry::{Lookup, PeerRequest, ReadResult, StoreRequest, SubmitResult};
use standins::kv::{Faults, Outage};

use crate::links::Link;
use crate::world::{Node, World, answered_calls, job_spec, sleep_ms, wait_until};

/// Returns the incarnations that own jobs according to the store.
fn owners(world: &World) -> BTreeSet<String> {
    let items = world.kv.items("mulberry/home/");
    let incarnation = |value: &[u8]| {
        let value: serde_json::Value = serde_json::from_slice(value).unwrap();
        value["life"].as_str().unwrap().to_owned()
    };
    items.iter().map(|item| incarnation(&item.value)).collect()
}

/// Starts three linked nodes that know each other. The first one is the owner of all jobs.
async fn start_three(world: &World) -> [Node; 3] {
    let mut nodes = Vec::new();
    for name in ["a", "b", "c"] {
        nodes.push(world.linked_node(name).await);
    }
    sleep_ms(1_000).await;
    assert_eq!(nodes[0].submit("first", &["f1"]).await, SubmitResult::Accepted);
    let owner = owners(world).first().unwrap().split('.').next().unwrap().to_owned();
    nodes.sort_by_key(|node| *node.app().settings.name != *owner);
    let nodes: [Node; 3] = nodes.try_into().unwrap_or_else(|_| unreachable!());
    nodes[0].read_all("first", 1).await;
    nodes
}

fn with_outage(outage: Outage) -> Faults {
    Faults { outage: Some(outage), ..Faults::default() }
}

/// Guards against each training step getting a new owner, which knows nothing of the replicas or of
/// the previous step and opens all connections again. That made 3,300 connections on a day of low
/// load, compared with 2,200 with one owner.
#[tokio::test(start_paused = true)]
async fn the_jobs_of_a_route_have_one_owner() {
    let world = World::new();
    let nodes = start_three(&world).await;
    for (i, node) in nodes.iter().enumerate() {
        assert_eq!(
            node.submit(&format!("j{i}"), &[&format!("i{i}")]).await,
            SubmitResult::Accepted
        );
    }
    assert_eq!(owners(&world).len(), 1);
    for (i, node) in nodes.iter().enumerate() {
        node.read_all(&format!("j{i}"), 1).await;
    }
}

#[tokio::test(start_paused = true)]
async fn jobs_are_accepted_when_their_owner_does_not_answer() {
    for link in [Link::Refusing, Link::Silent, Link::RepliesLost] {
        let world = World::new();
        let [owner, other, _third] = start_three(&world).await;
        owner.set_link(link);
        for (job, item) in [("j1", "i1"), ("j2", "i2")] {
            assert_eq!(other.submit(job, &[item]).await, SubmitResult::Accepted, "{link:?}");
            other.read_all(job, 1).await;
        }
        let runs = world.replicas.runs().iter().filter(|r| &*r.id == "i1").count();
        assert_eq!(runs, 1, "{link:?}");
    }
}

/// A refusal means that no part of a job runs, so a job must not be refused if its owner may have
/// accepted it and only the reply is missing.
#[tokio::test(start_paused = true)]
async fn a_job_that_an_owner_may_have_accepted_is_not_refused() {
    let world = World::new();
    let [owner, other, third] = start_three(&world).await;
    owner.set_link(Link::RepliesLost);
    third.set_link(Link::Refusing);
    other.store.set_faults(with_outage(Outage::Refusing));
    let disconnect = async {
        sleep_ms(100).await;
        owner.set_link(Link::Refusing);
    };
    let (submitted, ()) = tokio::join!(other.submit("j", &["i1"]), disconnect);
    assert_eq!(submitted, SubmitResult::Unknown);
    assert_eq!(owner.read_all("j", 1).await.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_draining_owner_accepts_no_jobs() {
    let world = World::new();
    let [owner, other, _third] = start_three(&world).await;
    let draining = owner.entry.drain();
    let submitting = async {
        sleep_ms(1).await;
        assert_eq!(other.submit("j1", &["i1"]).await, SubmitResult::Accepted);
        other.read_all("j1", 1).await;
    };
    tokio::join!(draining, submitting);
}

/// Guards against reads on other nodes making two or three calls to the store each.
#[tokio::test(start_paused = true)]
async fn reads_on_other_nodes_make_no_call_to_the_store() {
    let world = World::new();
    let [_owner, other, _third] = start_three(&world).await;
    let items = ["i1", "i2", "i3", "i4"];
    for (i, item) in items.iter().enumerate() {
        world.replicas.set_event_count(item, 20 * (i as u64 + 1));
    }
    other.submit("j", &items).await;
    let before = answered_calls(&other, "Get") + answered_calls(&other, "Range");
    let watches = answered_calls(&other, "Watch");
    other.read_all("j", 4).await;
    assert_eq!(answered_calls(&other, "Get") + answered_calls(&other, "Range") - before, 0);
    assert!(answered_calls(&other, "Watch") - watches <= 1);
}

/// Guards against each node reading the results and bodies of an ended job from the store with two
/// to four calls, which made 1,800 of the 6,000 calls of a day with 73 nodes.
#[tokio::test(start_paused = true)]
async fn an_ended_job_is_read_from_the_node_where_it_ran() {
    let world = World::new();
    let [owner, other, third] = start_three(&world).await;
    world.replicas.set_event_count("i2", 2_000);
    owner.submit("j", &["i1", "i2"]).await;
    other.read_all("j", 1).await;
    assert_eq!(other.app().end_job("j").await, Lookup::Found(()));
    sleep_ms(1_000).await;
    let count = |node: &Node| {
        answered_calls(node, "Get") + answered_calls(node, "Range") + answered_calls(node, "Watch")
    };
    let before = count(&third);
    for _ in 0..5 {
        let page = third.read_page("j", 0).await;
        assert_eq!(page.iter().map(|l| &*l.id).collect::<Vec<_>>(), ["i1"]);
        let Lookup::Found(body) = third.app().sample_body("j", "i2").await else {
            panic!("no body")
        };
        assert_eq!(body, "body of i2");
        sleep_ms(4_000).await;
    }
    let calls = count(&third) - before;
    assert!(calls <= 6, "{calls} calls, including its own watches");
    drop(owner);
    sleep_ms(5_000).await;
    assert_eq!(third.read_page("j", 0).await.len(), 1, "the store has the results as well");
}

/// The results that a reader sees of an ended job are final: none is added later, although the
/// owner had more.
#[tokio::test(start_paused = true)]
async fn no_results_are_added_after_the_end_of_a_job() {
    let world = World::new();
    let [owner, other, third] = start_three(&world).await;
    for (item, length) in [("i1", 20), ("i2", 60), ("i3", 61), ("i4", 62)] {
        world.replicas.set_event_count(item, length);
    }
    owner.submit("j", &["i1", "i2", "i3", "i4"]).await;
    other.read_all("j", 1).await;
    owner.store.set_faults(with_outage(Outage::Refusing));
    owner.isolate();
    owner.set_link(Link::Refusing);
    sleep_ms(1_500).await;
    assert_eq!(other.app().end_job("j").await, Lookup::Found(()));
    let seen = third.read_page("j", 0).await;
    owner.store.set_faults(Faults::default());
    owner.set_link(Link::Open);
    sleep_ms(3_000).await;
    for node in [&owner, &other, &third] {
        assert_eq!(node.read_page("j", 0).await, seen);
    }
    let stored = world.kv.items("mulberry/job/j/results").len();
    sleep_ms(5_000).await;
    assert_eq!(world.kv.items("mulberry/job/j/results").len(), stored);
}

#[tokio::test(start_paused = true)]
async fn a_reader_follows_a_job_to_its_next_owner() {
    let world = World::new();
    let [owner, other, third] = start_three(&world).await;
    world.replicas.set_event_count("i2", 200);
    other.submit("j", &["i1", "i2"]).await;
    wait_until(|| !world.kv.items("mulberry/job/j/results").is_empty()).await;
    let first_page = other.read_page("j", 0).await;
    assert_eq!(first_page.len(), 1);
    owner.set_link(Link::Refusing);
    drop(owner);
    let results = other.read_all("j", 2).await;
    assert_eq!(results[..1], first_page[..]);
    assert_eq!(third.read_all("j", 2).await, results);
}

/// Guards against an owner whose lease has ended returning fewer results than the next owner has
/// already returned.
#[tokio::test(start_paused = true)]
async fn an_owner_without_a_lease_answers_no_reads() {
    let world = World::new();
    let [owner, other, third] = start_three(&world).await;
    world.replicas.set_event_count("i2", 150);
    other.submit("j", &["i1", "i2"]).await;
    wait_until(|| !world.kv.items("mulberry/job/j/results").is_empty()).await;
    // The owner reaches neither the store nor the other nodes, but they reach it.
    owner.store.set_faults(with_outage(Outage::Unresponsive));
    other.store.set_faults(with_outage(Outage::Refusing));
    third.store.set_faults(with_outage(Outage::Refusing));
    sleep_ms(400).await;
    other.store.set_faults(Faults::default());
    third.store.set_faults(Faults::default());
    owner.isolate();
    sleep_ms(4_000).await;
    let request = PeerRequest::Read { job: "j".into(), after: 0, wait: Duration::ZERO };
    assert_eq!(other.request_results(&owner, request).await, Some(None));
    assert_eq!(other.read_all("j", 2).await.len(), 2);
}

/// Guards against results whose write was not answered being visible on nodes that read the store,
/// but not on the owner that wrote them.
#[tokio::test(start_paused = true)]
async fn an_owner_that_is_unsure_of_a_write_answers_from_the_store() {
    let world = World::new();
    let [owner, other, _third] = start_three(&world).await;
    world.replicas.set_event_count("i2", 500);
    other.submit("j", &["i1", "i2"]).await;
    owner.store.set_faults(Faults { lost_writes: 3, ..Faults::default() });
    wait_until(|| !world.kv.items("mulberry/job/j/results").is_empty()).await;
    sleep_ms(1_200).await;
    assert_eq!(owner.read_page("j", 0).await.len(), 1);
    assert_eq!(other.read_page("j", 0).await.len(), 1);
}

/// Guards against a node that does not reach the store losing its lease, so that its jobs make no
/// progress until other nodes take them over.
#[tokio::test(start_paused = true)]
async fn a_disconnected_owner_reaches_the_store_through_other_nodes() {
    for outage in [Outage::Refusing, Outage::Unresponsive] {
        let world = World::new();
        let [owner, other, _third] = start_three(&world).await;
        world.replicas.set_event_count("i2", 300);
        other.submit("j", &["i1", "i2"]).await;
        let before = owners(&world);
        owner.store.set_faults(with_outage(outage));
        assert_eq!(other.read_all("j", 2).await.len(), 2, "{outage:?}");
        assert_eq!(owners(&world), before, "{outage:?}");
        assert_eq!(owner.submit("k", &["k1"]).await, SubmitResult::Accepted, "{outage:?}");
        let count_before = world.links.requests().len();
        owner.store.set_faults(Faults::default());
        sleep_ms(3_000).await;
        owner.app().read("j", 0, Duration::ZERO).await;
        sleep_ms(5_000).await;
        let requests = world.links.requests();
        let peer_calls =
            requests[count_before..].iter().filter(|r| matches!(r, PeerRequest::Store(_))).count();
        assert!(
            peer_calls < 20,
            "{outage:?}: {peer_calls} calls through other nodes although the store is reachable"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_configuration_reaches_a_disconnected_node() {
    let world = World::new();
    let [_owner, other, _third] = start_three(&world).await;
    other.store.set_faults(with_outage(Outage::Refusing));
    sleep_ms(1_000).await;
    world.configure(7);
    sleep_ms(1_500).await;
    assert_eq!(other.app().routes().unwrap().version, 7);
}

/// Guards against a node that keeps waiting for its watches although its other calls to the store
/// are no longer answered. On a day with 63 nodes one waited for 7 s, and sent no orders for the
/// versions that were announced meanwhile.
#[tokio::test(start_paused = true)]
async fn hanging_watches_are_given_up_once_the_store_is_unreachable() {
    let world = World::new();
    let [_owner, other, _third] = start_three(&world).await;
    other.store.set_faults(with_outage(Outage::Hanging));
    sleep_ms(1_000).await;
    world.configure(7);
    sleep_ms(2_000).await;
    assert_eq!(other.app().routes().unwrap().version, 7);
}

/// Guards against waiting for calls that began in an outage until 2 s after its end. Leases ended
/// by then that could have been renewed.
#[tokio::test(start_paused = true)]
async fn nodes_use_the_store_within_a_second_after_an_outage() {
    for extra_ms in [0, 100, 200, 300, 400] {
        let world = World::new();
        let nodes = start_three(&world).await;
        world.replicas.set_event_count("i1", 10);
        nodes[1].submit("j", &["i1"]).await;
        nodes.iter().for_each(|node| node.store.set_faults(with_outage(Outage::Unresponsive)));
        sleep_ms(2_900 + extra_ms).await;
        nodes.iter().for_each(|node| node.store.set_faults(Faults::default()));
        sleep_ms(1_000).await;
        assert!(!world.kv.items("mulberry/job/j/results").is_empty(), "after {extra_ms} ms");
        assert_eq!(world.kv.items("mulberry/live/node/").len(), 3, "after {extra_ms} ms");
    }
}

/// Only the caller can decide about a write that may have been executed. If the write were
/// repeated, a removal or a second put could undo a change made in between.
#[tokio::test(start_paused = true)]
async fn a_write_without_an_answer_is_not_repeated_through_another_node() {
    let world = World::new();
    let [owner, other, _third] = start_three(&world).await;
    let writes = || {
        let requests = world.links.requests();
        requests.iter().filter(|r| matches!(r, PeerRequest::Store(StoreRequest::Txn(_)))).count()
    };
    owner.store.set_faults(Faults { lost_writes: 1, ..Faults::default() });
    assert_eq!(owner.submit("j", &["i1"]).await, SubmitResult::Accepted);
    assert!(writes() <= 1, "only the retry may go through another node");
    other.read_all("j", 1).await;
    let runs = world.replicas.runs().iter().filter(|r| &*r.id == "i1").count();
    assert_eq!(runs, 1);
}

/// Guards against every call being made twice in an outage for all nodes, directly and through
/// another node.
#[tokio::test(start_paused = true)]
async fn an_outage_for_all_nodes_does_not_multiply_calls() {
    let world = World::new();
    let nodes = start_three(&world).await;
    nodes.iter().for_each(|node| node.store.set_faults(with_outage(Outage::Refusing)));
    sleep_ms(1_000).await;
    let before = world.links.requests().len();
    sleep_ms(10_000).await;
    let count = world.links.requests().len() - before;
    assert!(count <= 3 * 10 * 5, "{count} requests of three nodes in ten seconds");
    nodes.iter().for_each(|node| node.store.set_faults(Faults::default()));
    sleep_ms(3_000).await;
    assert_eq!(nodes[1].submit("j", &["i1"]).await, SubmitResult::Accepted);
}

#[tokio::test(start_paused = true)]
async fn an_unknown_job_is_unknown_on_linked_nodes() {
    let world = World::new();
    let [_owner, other, _third] = start_three(&world).await;
    assert_eq!(other.app().read("none", 0, Duration::ZERO).await, ReadResult::Unknown);
}

/// Requests between nodes work over sockets as well.
#[tokio::test]
async fn nodes_send_requests_over_sockets() {
    use std::sync::Arc;

    use mulberrycourse::entry::{HttpPeers, PeerReply, PeerServer, Peers, StoreReply};

    let world = World::new();
    let node = world.node("a").await;
    let server = PeerServer::bind(node.app().clone(), ([127, 0, 0, 1], 0).into()).await.unwrap();
    let client = HttpPeers::new(Arc::default());
    let timeout = Duration::from_secs(20);
    world.kv.put("some/key", "value");
    let get = PeerRequest::Store(StoreRequest::Get("some/key".into()));
    let item = node.store.get("some/key").await.unwrap();
    let got = client.request(server.address(), get, timeout).await.unwrap();
    assert_eq!(got, PeerReply::Store(Ok(StoreReply::KeyValue(item))));
    let submitted = client
        .request(server.address(), PeerRequest::Submit(job_spec("j", &["i1"])), timeout)
        .await;
    assert_eq!(submitted.unwrap(), PeerReply::Submitted(SubmitResult::Accepted));
    node.read_all("j", 1).await;
    let read = PeerRequest::Read { job: "j".into(), after: 0, wait: Duration::ZERO };
    let PeerReply::Read(Some(ReadResult::Page { total: 1, results })) =
        client.request(server.address(), read, timeout).await.unwrap()
    else {
        panic!("no page");
    };
    assert_eq!(results, node.read_page("j", 0).await);
}
