//! Entry nodes on machines of uneven size: which of them own jobs, and how much they hold for their
//! callers.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use mulberrycourse::decide::job::{ItemSpec, JobSpec};
use mulberrycourse::decide::load::{MAX_ADDRESSES, NodeCapacity};
use mulberrycourse::edge::replica::BodyStream;
use mulberrycourse::entry::{NO_MEMORY, RelayResponse, SubmitResult, TOO_LARGE_FOR_MEMORY};
use standins::replicas::ReplicaFleet;

use crate::world::{HOST, Node, World, job_spec, relay_request, sleep_ms, wait_until};

/// A machine that is large enough to own jobs.
const LARGE: NodeCapacity = NodeCapacity {
    millicores: Some(500),
    memory_mb: Some(512),
    descriptors: Some(8_192),
    link_mbps: Some(200),
};
/// The smallest machine of a customer.
const SMALL: NodeCapacity = NodeCapacity {
    millicores: Some(90),
    memory_mb: Some(120),
    descriptors: Some(3_075),
    link_mbps: Some(45),
};

/// Returns the name of the node that owns a job according to the store.
fn owner(world: &World, job: &str) -> String {
    let items = world.kv.items(&format!("mulberry/home/{job}"));
    let value: serde_json::Value = serde_json::from_slice(&items[0].value).unwrap();
    value["life"].as_str().unwrap().split('.').next().unwrap().to_owned()
}

/// Starts a linked node for each name and capacity.
async fn start(world: &World, machines: &[(&str, NodeCapacity)]) -> Vec<Node> {
    let mut nodes = Vec::new();
    for (name, limits) in machines {
        nodes.push(world.linked_node_with_limits(name, *limits).await);
    }
    sleep_ms(1_000).await;
    nodes
}

/// Guards against a step on a machine that has neither the processor nor the memory for it.
#[tokio::test(start_paused = true)]
async fn jobs_go_to_the_machine_that_is_large_enough() {
    for large in ["a", "b", "c"] {
        let world = World::new();
        let limits = |name| if name == large { LARGE } else { SMALL };
        let nodes = start(&world, &["a", "b", "c"].map(|name| (name, limits(name)))).await;
        for (i, node) in nodes.iter().enumerate() {
            let job = format!("j{i}");
            assert_eq!(node.submit(&job, &[&format!("i{i}")]).await, SubmitResult::Accepted);
            assert_eq!(owner(&world, &job), large);
            node.read_all(&job, 1).await;
        }
    }
}

/// Guards against the smallest machines taking over the steps of the largest.
#[tokio::test(start_paused = true)]
async fn the_jobs_of_a_lost_large_machine_go_to_another_large_one() {
    for second in ["b", "c", "d", "e"] {
        let world = World::new();
        let limits = |name| if name == "a" || name == second { LARGE } else { SMALL };
        let machines = ["a", "b", "c", "d", "e"].map(|name| (name, limits(name)));
        let mut nodes = start(&world, &machines).await;
        world.replicas.set_event_count("i1", 200);
        nodes[0].submit("j", &["i1"]).await;
        let first = owner(&world, "j");
        nodes.retain(|node| *node.app().settings.name != *first);
        wait_until(|| owner(&world, "j") != first).await;
        let expected = if first == "a" { second } else { "a" };
        assert_eq!(owner(&world, "j"), expected);
        nodes[0].read_all("j", 1).await;
    }
}

/// Guards against a record that isn't read at all because of one wrong value, and against trust in
/// such a value.
#[tokio::test(start_paused = true)]
async fn a_node_with_an_invalid_capacity_is_still_a_node() {
    let world = World::new();
    let nodes = start(&world, &[("a", SMALL), ("b", LARGE)]).await;
    for (i, capacity) in [
        r#"{"millicores":-5,"memory_mb":"much","link_mbps":1e300}"#,
        r#"{"millicores":99999999999,"memory_mb":0}"#,
        r#""large""#,
        "[7]",
    ]
    .iter()
    .enumerate()
    {
        let record = format!(
            r#"{{"life":"x{i}.1","callers":"127.0.0.1:{}","zone":{i},"capacity":{capacity}}}"#,
            9 + i
        );
        world.kv.put(&format!("mulberry/live/node/x{i}"), record);
    }
    wait_until(|| nodes[0].app().client_addresses("z").len() == 6).await;
    assert!(nodes[0].app().metrics().contains("mulberry_invalid_capacities 4"));
    assert_eq!(nodes[0].submit("j", &["i1"]).await, SubmitResult::Accepted);
    assert_eq!(owner(&world, "j"), "b");
}

/// Guards against a release in which nodes of an older version, whose records have no capacity and
/// that don't know the field, are left out or can't read the records of new ones.
#[tokio::test(start_paused = true)]
async fn nodes_of_an_older_version_are_known() {
    let world = World::new();
    let nodes = start(&world, &[("a", LARGE), ("b", NodeCapacity::default())]).await;
    world.kv.put("mulberry/live/node/x", r#"{"life":"x.1","callers":"127.0.0.1:9"}"#);
    wait_until(|| nodes[0].app().client_addresses("z").len() == 3).await;
    assert!(nodes[0].app().metrics().contains("mulberry_invalid_capacities 0"));
    let items = world.kv.items("mulberry/live/node/");
    let record = |name: &str| {
        let item = items.iter().find(|item| item.key.ends_with(name)).unwrap();
        serde_json::from_slice::<serde_json::Value>(&item.value).unwrap()
    };
    // An older version reads these fields and ignores all others.
    assert!(record("/a")["life"].is_string() && record("/a")["callers"].is_string());
    assert_eq!(record("/a")["capacity"]["millicores"], 500);
    assert_eq!(record("/b").get("capacity"), None);
}

/// A machine that is just large enough to own jobs. It holds up to 26 MB of jobs.
const MIDDLE: NodeCapacity = NodeCapacity {
    millicores: Some(300),
    memory_mb: Some(160),
    descriptors: Some(4_100),
    link_mbps: Some(60),
};

/// Returns a job of one item with a body of this size.
fn large_job(job: &str, bytes: usize) -> JobSpec {
    let mut spec = job_spec(job, &[&format!("item-of-{job}")]);
    let item = ItemSpec { body: vec![0; bytes].into(), ..(*spec.items[0]).clone() };
    spec.items = vec![Arc::new(item)];
    spec
}

/// Guards against a node that takes jobs until its machine ends it, against a refusal while another
/// node has memory, and against memory that counts as held after its job has ended.
#[tokio::test(start_paused = true)]
async fn a_job_goes_to_a_node_that_can_hold_it() {
    let world = World::new();
    let nodes = start(&world, &[("a", MIDDLE), ("b", MIDDLE)]).await;
    for i in 0..8 {
        world.replicas.set_event_count(&format!("item-of-j{i}"), 2_000);
        let spec = large_job(&format!("j{i}"), 6 << 20);
        assert_eq!(nodes[0].app().submit(spec).await, SubmitResult::Accepted, "j{i}");
    }
    let owned = |name| (0..8).filter(|i| owner(&world, &format!("j{i}")) == name).count();
    assert_eq!((owned("a"), owned("b")), (4, 4));
    for node in &nodes {
        let refused = node.app().submit(large_job("j8", 6 << 20)).await;
        assert_eq!(refused, SubmitResult::Refused(NO_MEMORY.into()));
    }
    assert!(world.kv.items("mulberry/home/j8").is_empty());
    nodes[1].app().end_job("j3").await;
    let accepted = async {
        while nodes[0].app().submit(large_job("j8", 6 << 20)).await != SubmitResult::Accepted {
            sleep_ms(100).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), accepted).await.unwrap();
    for i in 0..=8 {
        nodes[0].app().end_job(&format!("j{i}")).await;
    }
    let holds_none =
        |node: &Node| node.app().metrics().contains("mulberry_held_bytes{purpose=\"Jobs\"} 0\n");
    wait_until(|| nodes.iter().all(holds_none)).await;
}

/// Guards against a node without memory taking over the jobs of a lost one while another has memory,
/// and against jobs that nobody takes over because all are full.
#[tokio::test(start_paused = true)]
async fn lost_jobs_go_to_a_node_that_can_hold_them() {
    // The rank of nodes depends on the random part of their names, so that either of two is first.
    for lost in [0, 1, 0, 1, 0, 1] {
        let world = World::new();
        let mut nodes = start(&world, &[("a", MIDDLE), ("b", MIDDLE), ("c", MIDDLE)]).await;
        let jobs: Vec<String> = (0..8).map(|i| format!("j{i}")).collect();
        for job in &jobs {
            // 25 MB of expected texts for the first four jobs.
            let items: Vec<String> = (0..780).map(|i| format!("{job}-{i}")).collect();
            let items: Vec<&str> = items.iter().map(|id| &**id).collect();
            // The node that is preferred as the owner of all jobs has the first one. The others go
            // through the same other node, which is the next one that is full.
            let first = (job != "j0").then(|| owner(&world, "j0"));
            let other = nodes.iter().find(|n| Some(&*n.app().settings.name) != first.as_deref());
            let by = other.unwrap();
            assert_eq!(by.submit(job, &items).await, SubmitResult::Accepted);
        }
        let owners: Vec<String> = jobs.iter().map(|job| owner(&world, job)).collect();
        let full: BTreeSet<&String> = owners.iter().collect();
        assert_eq!(full.len(), 2, "{owners:?}");
        let lost = full.iter().nth(lost).unwrap().to_string();
        let spare = ["a", "b", "c"].into_iter().find(|n| !full.contains(&n.to_string())).unwrap();
        let moving: Vec<&String> = jobs.iter().filter(|job| owner(&world, job) == lost).collect();
        nodes.retain(|node| *node.app().settings.name != *lost);
        wait_until(|| moving.iter().all(|job| owner(&world, job) == spare)).await;
        // The last node takes the jobs of all others.
        nodes.retain(|node| *node.app().settings.name == *spare);
        wait_until(|| jobs.iter().all(|job| owner(&world, job) == spare)).await;
    }
}

/// Guards against a trainer that submits a job again and again although no machine can hold it.
#[tokio::test(start_paused = true)]
async fn a_job_that_no_machine_can_hold_is_refused_for_good() {
    let world = World::new();
    let nodes = start(&world, &[("a", MIDDLE), ("b", SMALL)]).await;
    for node in &nodes {
        let refused = node.app().submit(large_job("j", 27 << 20)).await;
        assert_eq!(refused, SubmitResult::Refused(TOO_LARGE_FOR_MEMORY.into()));
    }
    assert!(world.kv.items("mulberry/home/j").is_empty());
}

/// Opens a stream of 60 events at a node whose memory for calls is in use but for a few bytes.
async fn open_stream(world: &World, node: &Node, id: &str) -> BodyStream {
    world.replicas.set_event_count(id, 60);
    let route = node.app().routes().unwrap().find(HOST, "/text/x").cloned().unwrap();
    let mut request = relay_request(id, "/text/x");
    request.deadline = Some(Duration::from_secs(60));
    match node.app().relay(&route, request).await {
        RelayResponse::Stream { body, .. } => body.0,
        other => panic!("{other:?}"),
    }
}

/// Guards against a node that buffers ever more for clients that don't read, against events that are
/// missing at one that reads in the end, and against memory that counts as held after a client has
/// gone.
#[tokio::test(start_paused = true)]
async fn a_stream_that_is_not_read_buffers_little_if_memory_is_short() {
    let world = World::new();
    let nodes = start(&world, &[("a", MIDDLE)]).await;
    let memory = &nodes[0].app().memory;
    let held_by_stream = async |limit: usize| {
        let filled = memory.charge(limit);
        let stream = open_stream(&world, &nodes[0], &format!("s{limit}")).await;
        sleep_ms(1_000).await;
        let held = memory.held() - limit;
        drop(filled);
        (stream, held)
    };
    let (stream, with_space) = held_by_stream(0).await;
    assert!(memory.held() > 0);
    drop(stream);
    wait_until(|| memory.held() == 0).await;
    let (stream, without_space) = held_by_stream(memory.limit().unwrap()).await;
    assert!(without_space * 8 <= with_space, "{without_space} bytes, {with_space} with space");
    let id = format!("s{}", memory.limit().unwrap());
    let pieces: Vec<_> = stream.collect().await;
    let text: String =
        pieces.into_iter().map(|p| String::from_utf8(p.unwrap().to_vec()).unwrap()).collect();
    assert_eq!(text.lines().filter(|l| l.starts_with("id: ")).count(), 60);
    assert!(text.contains(&ReplicaFleet::event_data(&id, 60)));
    wait_until(|| memory.held() == 0).await;
}

/// Guards against responses that ignore what the nodes publish: machines with a hundredth of the
/// processor share of the others.
#[tokio::test(start_paused = true)]
async fn addresses_are_weighted_by_what_nodes_publish() {
    let world = World::new();
    let nodes = start(&world, &[("a", LARGE)]).await;
    let put = |i: usize, zone: &str, millicores: u32| {
        let record = format!(
            r#"{{"life":"x{i}.1","callers":"127.0.0.2:{}","zone":"{zone}","capacity":{{"millicores":{millicores}}}}}"#,
            1_000 + i
        );
        world.kv.put(&format!("mulberry/live/node/x{i}"), record);
    };
    (0..100).for_each(|i| if i < 20 { put(i, "y", 5) } else { put(i, "z", 500) });
    let addresses = || nodes[0].app().client_addresses("z");
    wait_until(|| addresses().len() == MAX_ADDRESSES).await;
    sleep_ms(1_000).await;
    let small = addresses().iter().filter(|a| (1_000..1_020).contains(&a.port())).count();
    // 16 are of another zone in any case, if there are as many.
    assert_eq!(small, MAX_ADDRESSES / 4);
    (0..20).for_each(|i| put(i, "z", 5));
    wait_until(|| addresses().iter().all(|a| !(1_000..1_020).contains(&a.port()))).await;
    assert_eq!(addresses().len(), MAX_ADDRESSES);
}
