//! How often items that fail at every run reach replicas. A text or reward call may be given up
//! after the attempts of its route, and must not run again after three times as many failures, or
//! after three responses that say that it can never succeed.

use std::time::Duration;

use http::StatusCode;
use mulberrycourse::decide::job::{ItemResult, ItemState};
use mulberrycourse::entry::Lookup;
use standins::kv::{Faults, Outage};
use standins::replicas::Behaviour;
use tokio::time::Instant;

use crate::world::{Node, World, sleep_ms, take_owner, wait_until};

/// The failures after which a request must not run again, for the three attempts of all routes.
const MAX_FAILURES: usize = 9;
/// How long a reward call may be repeated, by its route.
const RETENTION: Duration = Duration::from_secs(40);
/// The same for responses that say that it can never succeed.
const MAX_REJECTIONS: usize = 3;
/// The owners that a job has in turn: enough for twice the failures, if each began to count anew.
const OWNERS: usize = 8;

/// Returns how often replicas have run a request to its failure.
fn failures(world: &World, id: &str) -> usize {
    let runs = world.replicas.runs();
    runs.iter().filter(|run| &*run.id == id && run.set_status.is_some()).count()
}

/// Starts a node under a name that no other had.
async fn next_node(world: &World, number: usize) -> Node {
    world.node(&format!("n{number}")).await
}

fn is_dead(result: &ItemResult) -> bool {
    matches!(result.state, ItemState::Dead)
}

/// Returns whether the job `j` has results in the store.
fn has_results(world: &World) -> bool {
    !world.kv.items("mulberry/job/j/results").is_empty()
}

/// Submits the job `j` with an item that fails at every run, and ends its owners one after the
/// other, each after it has seen two failures. Checks that the item is given up in the end.
async fn give_up_by_successive_owners<F>(id: &str, end: impl Fn(Node) -> F)
where
    F: Future<Output = ()>,
{
    let world = World::new();
    world.replicas.set_status(id, StatusCode::INTERNAL_SERVER_ERROR);
    let mut nodes = Vec::new();
    for number in 0..=OWNERS {
        nodes.push(next_node(&world, number).await);
    }
    nodes[0].submit("j", &["i1"]).await;
    for _ in 0..OWNERS {
        let before = failures(&world, id);
        wait_until(|| failures(&world, id) > before + 1 || has_results(&world)).await;
        if has_results(&world) {
            break;
        }
        end(take_owner(&world, &mut nodes).await).await;
    }
    assert!(is_dead(&nodes[0].read_all("j", 1).await[0]));
    let failed = failures(&world, id);
    assert!((3..=MAX_FAILURES).contains(&failed), "{id}: {failed}");
}

/// Guards against failures that a refused relay met and its caller did not count.
#[tokio::test(start_paused = true)]
async fn a_failing_reward_call_is_given_up_while_other_scorers_are_away() {
    for behaviour in [Behaviour::Unreachable, Behaviour::Unresponsive, Behaviour::BreaksAfter(0)] {
        let world = World::new();
        for id in ["p3", "p4"] {
            world.replicas.add("plain", id, &[]);
        }
        let node = world.node("a").await;
        world.replicas.set_status("score-i1", StatusCode::INTERNAL_SERVER_ERROR);
        for id in ["p2", "p3", "p4"] {
            world.replicas.set_behaviour(id, behaviour);
        }
        let submitted = Instant::now();
        node.submit("j", &["i1"]).await;
        assert!(is_dead(&node.read_all("j", 1).await[0]));
        let failed = failures(&world, "score-i1");
        assert!(failed <= MAX_FAILURES, "{behaviour:?}: {failed}");
        // A call with fewer failures than attempts may be given up after its retention only.
        assert!(failed >= 3 || submitted.elapsed() > RETENTION, "{behaviour:?}: {failed}");
    }
}

/// Guards against owners that each begin to count the failures of an item anew.
#[tokio::test(start_paused = true)]
async fn a_failing_item_is_given_up_by_successive_owners_that_crash() {
    for id in ["i1", "score-i1"] {
        give_up_by_successive_owners(id, async |owner| drop(owner)).await;
    }
}

/// Guards against owners that hand a job over without the failures of its items.
#[tokio::test(start_paused = true)]
async fn a_failing_item_is_given_up_by_successive_owners_that_drain() {
    for id in ["i1", "score-i1"] {
        let drain = async |owner: Node| {
            tokio::spawn(async move { owner.entry.drain().await });
        };
        give_up_by_successive_owners(id, drain).await;
    }
}

/// Guards against failures that are counted only in memory while the store is away.
#[tokio::test(start_paused = true)]
async fn a_failing_item_is_given_up_by_owners_that_crash_during_outages() {
    for (id, status) in
        [("i1", StatusCode::INTERNAL_SERVER_ERROR), ("score-i1", StatusCode::INTERNAL_SERVER_ERROR)]
    {
        let world = World::new();
        world.replicas.set_status(id, status);
        let mut owner = next_node(&world, 0).await;
        owner.submit("j", &["i1"]).await;
        for number in 1..=OWNERS {
            owner.store.set_faults(Faults { outage: Some(Outage::Refusing), ..Faults::default() });
            sleep_ms(1_500).await;
            drop(owner);
            owner = next_node(&world, number).await;
            let before = failures(&world, id);
            wait_until(|| failures(&world, id) > before || has_results(&world)).await;
            if has_results(&world) {
                break;
            }
        }
        assert!(is_dead(&owner.read_all("j", 1).await[0]));
        let failed = failures(&world, id);
        assert!((3..=MAX_FAILURES).contains(&failed), "{id}: {failed}");
    }
}

/// Guards against a reward call that is repeated although it can never succeed.
#[tokio::test(start_paused = true)]
async fn a_reward_call_that_can_never_succeed_is_given_up() {
    let world = World::new();
    let node = world.node("a").await;
    world.replicas.set_status("score-i1", StatusCode::UNPROCESSABLE_ENTITY);
    node.submit("j", &["i1"]).await;
    assert!(is_dead(&node.read_all("j", 1).await[0]));
    let rejected = failures(&world, "score-i1");
    assert!((1..=MAX_REJECTIONS).contains(&rejected), "{rejected}");
}

/// Guards against jobs that each begin to count the failures of an item anew: a trainer submits
/// incomplete groups again under the same ids.
#[tokio::test(start_paused = true)]
async fn a_failing_item_that_comes_in_several_jobs_is_given_up() {
    for id in ["i1", "score-i1"] {
        let world = World::new();
        let node = world.node("a").await;
        world.replicas.set_status(id, StatusCode::INTERNAL_SERVER_ERROR);
        for number in 0..OWNERS {
            let job = format!("j{number}");
            node.submit(&job, &["i1"]).await;
            sleep_ms(3_000).await;
            assert_eq!(node.app().end_job(&job).await, Lookup::Found(()));
        }
        let failed = failures(&world, id);
        assert!((3..=MAX_FAILURES).contains(&failed), "{id}: {failed}");
    }
}

/// Guards against two owners that count apart while the former one is paused and goes on.
#[tokio::test(start_paused = true)]
async fn a_failing_item_is_given_up_by_owners_that_lose_the_store() {
    for id in ["i1", "score-i1"] {
        let world = World::new();
        world.replicas.set_status(id, StatusCode::INTERNAL_SERVER_ERROR);
        world.replicas.set_behaviour("p2", Behaviour::Unresponsive);
        let mut nodes = vec![next_node(&world, 0).await];
        nodes[0].submit("j", &["i1"]).await;
        for number in 1..=OWNERS {
            let before = failures(&world, id);
            nodes.push(next_node(&world, number).await);
            let cut = Faults { outage: Some(Outage::Hanging), ..Faults::default() };
            nodes[number - 1].store.set_faults(cut);
            wait_until(|| failures(&world, id) > before || has_results(&world)).await;
            if has_results(&world) {
                break;
            }
        }
        sleep_ms(60_000).await;
        let failed = failures(&world, id);
        assert!((3..=MAX_FAILURES).contains(&failed), "{id}: {failed}");
    }
}
