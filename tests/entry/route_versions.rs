//! Tests of jobs whose owner has an older configuration than the node that accepted them.

use std::time::Duration;

use mulberrycourse::decide::job::ItemState;
use mulberrycourse::decide::{RetryPolicy, Route};
use mulberrycourse::entry::SubmitResult;
use standins::kv::Faults;

use crate::links::Link;
use crate::world::{
    MODEL, Node, World, assert_completed, config_reads, job_spec, route, routes, sleep_ms,
    wait_until,
};

/// Routes that a configuration adds: enough for each of two nodes to own the jobs of some.
const ADDED_ROUTES: [&str; 6] = ["/d1/", "/d2/", "/d3/", "/d4/", "/d5/", "/d6/"];
/// What a node misses whose watch of the configuration returns no changes.
const MISSED_CONFIG: Faults = Faults {
    outage: None,
    lost_writes: 0,
    write_delay: Duration::ZERO,
    leases_end: false,
    refuses_dropped: false,
    refused_range: None,
    silent_watch: Some("operators/config"),
};

/// Returns the version of the configuration that a node has.
fn version(node: &Node) -> u64 {
    node.app().routes().unwrap().version
}

/// Returns whether a node owns a job.
fn is_owned_by(world: &World, job: &str, node: &str) -> bool {
    let items = world.kv.items(&format!("mulberry/home/{job}"));
    String::from_utf8_lossy(&items[0].value).contains(&format!("\"{node}."))
}

/// Starts two nodes that know each other. The second one gets no changes of the configuration.
async fn start_nodes(world: &World) -> (Node, Node) {
    let (a, b) = (world.linked_node("a").await, world.linked_node("b").await);
    sleep_ms(2_000).await;
    set_faults(&b, MISSED_CONFIG).await;
    (a, b)
}

/// Sets the faults of a node's store calls. Open watches are cut, so the node reads the store again.
async fn set_faults(node: &Node, faults: Faults) {
    node.store.set_faults(faults);
    sleep_ms(500).await;
}

/// Writes a configuration with further routes, which only the first node gets.
async fn add_routes(world: &World, a: &Node, b: &Node) {
    let added = ADDED_ROUTES.map(|prefix| (prefix, 1));
    world.configure_batch_routes(4, &added);
    wait_until(|| version(a) == 4).await;
    assert!(version(b) < 4);
}

/// Submits a job for each of the added routes at a node. Returns the ids of the jobs.
async fn submit_jobs(node: &Node) -> Vec<String> {
    let mut jobs = Vec::new();
    for (index, prefix) in ADDED_ROUTES.into_iter().enumerate() {
        let job = format!("j{index}");
        let mut spec = job_spec(&job, &[&format!("i{index}-1"), &format!("i{index}-2")]);
        spec.path = format!("{prefix}{job}").into();
        assert_eq!(node.app().submit(spec).await, SubmitResult::Accepted);
        jobs.push(job);
    }
    jobs
}

/// Guards against an owner that lists the items of a route as dead because it has an older
/// configuration, without the route.
#[tokio::test(start_paused = true)]
async fn jobs_of_added_routes_are_completed_by_an_owner_with_an_older_configuration() {
    let world = World::new();
    let (a, b) = start_nodes(&world).await;
    add_routes(&world, &a, &b).await;
    for job in submit_jobs(&a).await {
        a.read_all(&job, 2).await.iter().for_each(|result| assert_completed(result, 5));
    }
}

#[tokio::test(start_paused = true)]
async fn all_samples_of_an_owner_with_an_older_configuration_wait_for_one_read() {
    let world = World::new();
    let (a, b) = start_nodes(&world).await;
    add_routes(&world, &a, &b).await;
    let before = config_reads(&b);
    let jobs = submit_jobs(&a).await;
    for job in &jobs {
        a.read_all(job, 2).await;
    }
    assert!(jobs.iter().filter(|job| is_owned_by(&world, job, "b")).count() > 1);
    assert_eq!(config_reads(&b) - before, 1);
}

/// Guards against a job that is taken over, from a crashed owner or one that drains, by a node with
/// an older configuration.
#[tokio::test(start_paused = true)]
async fn jobs_of_added_routes_are_completed_by_a_later_owner_with_an_older_configuration() {
    for drains in [false, true] {
        let world = World::new();
        let (a, b) = start_nodes(&world).await;
        add_routes(&world, &a, &b).await;
        // The second node accepts nothing, so that it gets the jobs of the first one only later.
        b.set_link(Link::Refusing);
        (0..6).for_each(|i| world.replicas.set_event_count(&format!("i{i}-1"), 60));
        let jobs = submit_jobs(&a).await;
        sleep_ms(500).await;
        if drains {
            a.entry.drain().await;
        }
        drop(a);
        for job in jobs {
            for result in b.read_all(&job, 2).await {
                assert_completed(&result, if result.id.ends_with("-1") { 60 } else { 5 });
            }
        }
    }
}

/// Guards against items that are given up while the store does not answer the owner.
#[tokio::test(start_paused = true)]
async fn items_wait_while_the_configuration_of_their_job_cannot_be_read() {
    let world = World::new();
    let (a, b) = start_nodes(&world).await;
    add_routes(&world, &a, &b).await;
    let refused_range = Some("operators/config");
    // Neither does the other node read it for the owner.
    a.store.set_faults(Faults { refused_range, ..Faults::default() });
    set_faults(&b, Faults { refused_range, ..MISSED_CONFIG }).await;
    let jobs = submit_jobs(&a).await;
    sleep_ms(6_000).await;
    let total: usize =
        jobs.iter().map(|job| world.kv.items(&format!("mulberry/job/{job}/results")).len()).sum();
    assert!(total > 0 && total < jobs.len(), "{total} jobs have results");
    a.store.set_faults(Faults::default());
    b.store.set_faults(MISSED_CONFIG);
    for job in jobs {
        a.read_all(&job, 2).await.iter().for_each(|result| assert_completed(result, 5));
    }
}

/// Guards against samples that run at the former service of their route because the owner has not
/// seen the change under which their job was accepted.
#[tokio::test(start_paused = true)]
async fn samples_run_where_the_configuration_of_their_job_sends_them() {
    let world = World::new();
    for id in ["f1", "f2"] {
        world.replicas.add("further", id, &[MODEL]);
    }
    let prefixes = ADDED_ROUTES;
    let batch = |prefix: &str, service: &str| Route {
        batch: true,
        ..route(prefix, service, RetryPolicy::Never)
    };
    let (a, b) = start_nodes(&world).await;
    let further = prefixes.map(|prefix| batch(prefix, "engines")).to_vec();
    let moved = prefixes.map(|prefix| batch(prefix, "further")).to_vec();
    set_faults(&b, Faults::default()).await;
    world.write_routes(routes(3, further), "");
    wait_until(|| version(&a) == 3 && version(&b) == 3).await;
    set_faults(&b, MISSED_CONFIG).await;
    world.write_routes(routes(4, moved), "");
    wait_until(|| version(&a) == 4).await;
    assert_eq!(version(&b), 3);
    for job in submit_jobs(&a).await {
        a.read_all(&job, 2).await.iter().for_each(|result| assert_completed(result, 5));
    }
    let runs = world.replicas.runs();
    let texts = runs.iter().filter(|run| run.id.starts_with('i'));
    assert!(
        texts.clone().all(|run| run.replica.starts_with('f')),
        "{:?}",
        texts.collect::<Vec<_>>()
    );
}

#[tokio::test(start_paused = true)]
async fn items_of_a_route_that_was_removed_are_given_up_without_a_run() {
    let world = World::new();
    let (a, b) = (world.linked_node("a").await, world.linked_node("b").await);
    world.configure_batch_routes(4, &ADDED_ROUTES.map(|prefix| (prefix, 1)));
    sleep_ms(2_000).await;
    assert_eq!((version(&a), version(&b)), (4, 4));
    set_faults(&b, MISSED_CONFIG).await;
    world.configure_batch_routes(5, &[]);
    wait_until(|| version(&a) == 5).await;
    let jobs = submit_jobs(&b).await;
    let of_a: Vec<_> = jobs.iter().filter(|job| is_owned_by(&world, job, "a")).collect();
    assert!(!of_a.is_empty());
    for job in of_a {
        for result in a.read_all(job, 2).await {
            assert!(matches!(result.state, ItemState::Dead));
            assert!(world.replicas.runs().iter().all(|run| run.id != result.id));
        }
    }
}
