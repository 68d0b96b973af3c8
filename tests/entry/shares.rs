//! Tests of how organisations and trainers share the slots while they need more than there are.

use std::sync::Arc;
use std::time::Duration;

use mulberrycourse::decide::job::{ItemSpec, JobSpec};
use mulberrycourse::decide::load::{Share, ShareOrder, Trainer};
use mulberrycourse::entry::{PeerRequest, PeerResponder};
use standins::kv::{Faults, Outage};

use crate::links::Link;
use crate::world::{MODEL, Node, World, assert_completed, job_spec, sleep_ms, wait_until};

/// The prefix of the batch route of the less urgent trainer.
const LESS_URGENT: &str = "/later/";
/// The model of the less urgent trainer.
const OTHER_MODEL: &str = "other";

/// Starts a world whose engines serve two models, each with a batch route of its own.
fn two_trainers() -> World {
    let world = World::new();
    for id in ["e1", "e2", "e3"] {
        world.replicas.add("engines", id, &[MODEL, OTHER_MODEL]);
    }
    world.configure_batch_routes(2, &[(LESS_URGENT, 3)]);
    world
}

/// Returns a job of the less urgent trainer with this number of samples.
fn less_urgent_job(job: &str, count: usize) -> JobSpec {
    let spec = numbered_job(job, count);
    let items = spec.items.iter().map(|item| {
        let headers = vec![("model".into(), OTHER_MODEL.into())];
        Arc::new(ItemSpec { headers, ..(**item).clone() })
    });
    let items = items.collect();
    let path = format!("{LESS_URGENT}{job}").into();
    JobSpec { items, path, model: Some(OTHER_MODEL.into()), ..spec }
}

/// Returns a job with this number of samples, each named by the job and a number.
fn numbered_job(job: &str, count: usize) -> JobSpec {
    let ids: Vec<String> = (0..count).map(|i| format!("{job}-{i}")).collect();
    let ids: Vec<&str> = ids.iter().map(|id| &**id).collect();
    job_spec(job, &ids)
}

/// Waits until a node has the routes and replicas of [`two_trainers`].
async fn wait_for_routes(node: &Node) {
    wait_until(|| node.app().routes().is_some_and(|routes| routes.version == 2)).await;
}

/// A less urgent trainer submits a smaller step at the node of a more urgent one. Guards against
/// serving them strictly by priority, by which its step was completed after that of the other.
#[tokio::test(start_paused = true)]
async fn a_less_urgent_trainer_is_not_completed_last() {
    let world = two_trainers();
    let a = world.node("a").await;
    wait_for_routes(&a).await;
    a.app().submit(numbered_job("urgent", 300)).await;
    a.app().submit(less_urgent_job("later", 60)).await;
    let time_to_complete = async |job: &str, total: usize| {
        a.read_all(job, total).await;
        tokio::time::Instant::now()
    };
    let (urgent, later) =
        tokio::join!(time_to_complete("urgent", 300), time_to_complete("later", 60));
    assert!(later < urgent, "{later:?} {urgent:?}");
}

/// Guards against requests that preempt others at a replica, whose prompts are then read again.
#[tokio::test(start_paused = true)]
async fn all_samples_of_a_service_have_the_same_priority_at_replicas() {
    let world = two_trainers();
    let a = world.node("a").await;
    wait_for_routes(&a).await;
    a.app().submit(numbered_job("urgent", 3)).await;
    a.app().submit(less_urgent_job("later", 3)).await;
    a.read_all("urgent", 3).await;
    a.read_all("later", 3).await;
    let texts: Vec<_> =
        world.replicas.runs().into_iter().filter(|r| !r.id.contains("score")).collect();
    assert_eq!(texts.len(), 6);
    assert!(texts.iter().all(|run| run.priority == Some(0)), "{texts:?}");
}

/// One organisation submits ten training steps, and then another submits one. Guards against
/// running texts in order of submission, by which that one step was completed after all the others.
#[tokio::test(start_paused = true)]
async fn a_step_of_another_organisation_is_not_completed_last() {
    let world = World::new();
    let a = world.node("a").await;
    let submit = async |organisation: &str, job: &str| {
        let ids: Vec<String> = (0..40).map(|i| format!("{job}-{i}")).collect();
        let ids: Vec<&str> = ids.iter().map(|id| &**id).collect();
        let spec = JobSpec { organisation: Some(organisation.into()), ..job_spec(job, &ids) };
        a.app().submit(spec).await;
    };
    for i in 0..10 {
        submit("greedy", &format!("g{i}")).await;
    }
    submit("small", "s").await;
    let started = tokio::time::Instant::now();
    let time_to_complete = async |job: String| {
        a.read_all(&job, 40).await;
        started.elapsed()
    };
    let greedy = futures_util::future::join_all((0..10).map(|i| time_to_complete(format!("g{i}"))));
    let (small, mut greedy): (Duration, Vec<Duration>) =
        tokio::join!(time_to_complete("s".to_owned()), greedy);
    greedy.sort_unstable();
    assert!(small < greedy[3], "{small:?} of {greedy:?}");
}

/// Returns the number of texts of a job that run.
fn running(world: &World, job: &str) -> usize {
    let prefix = format!("{job}-");
    let runs = world.replicas.runs();
    runs.iter().filter(|run| run.unfinished && run.id.starts_with(&prefix)).count()
}

/// Returns the number of a node's orders of shares with this result.
fn share_orders(node: &Node, result: &str) -> u64 {
    metric(node, &format!("mulberry_share_orders_total{{result=\"{result}\"}}"))
}

/// Returns the number of jobs that a node runs.
fn open_jobs(node: &Node) -> u64 {
    metric(node, "mulberry_open_jobs")
}

/// Returns the value of a metric with its labels; 0 if there is none.
fn metric(node: &Node, name: &str) -> u64 {
    let text = node.app().metrics();
    let value = text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    value.map_or(0, |value| value.parse().unwrap())
}

/// Three nodes with the jobs of two trainers, which need far more slots than there are.
struct TwoOwners {
    world: World,
    nodes: Vec<Node>,
    leader: usize,
}

impl TwoOwners {
    /// Starts the nodes and submits a step of each trainer, `urgent` and `later`. Each owner sees
    /// all 24 slots as free, as the replicas report no load of other nodes.
    async fn start() -> Self {
        let world = two_trainers();
        let mut nodes = Vec::new();
        for name in ["a", "b", "c"] {
            nodes.push(world.linked_node(name).await);
        }
        for node in &nodes {
            wait_for_routes(node).await;
        }
        wait_until(|| !world.kv.items("mulberry/live/holder").is_empty()).await;
        // All nodes know all others by then.
        sleep_ms(2_000).await;
        let leader = world.leader(&nodes);
        nodes[0].app().submit(numbered_job("urgent", 3_000)).await;
        nodes[0].app().submit(less_urgent_job("later", 3_000)).await;
        let jobs: Vec<u64> = nodes.iter().map(open_jobs).collect();
        assert!(jobs.iter().sum::<u64>() == 2 && jobs.iter().all(|n| *n < 2), "{jobs:?}");
        Self { world, nodes, leader }
    }

    /// Returns the number of all nodes' orders of shares with this result.
    fn orders(&self, result: &str) -> u64 {
        self.nodes.iter().map(|node| share_orders(node, result)).sum()
    }

    /// Waits until the owners have had shares for some time.
    async fn wait_for_shares(&self) {
        let before = self.orders("Accepted");
        wait_until(|| self.orders("Accepted") >= before + 12).await;
    }

    /// Returns the highest numbers of running texts of both trainers over half a second.
    async fn most_running(&self) -> [usize; 2] {
        let mut most = [0; 2];
        for _ in 0..50 {
            sleep_ms(10).await;
            for (most, job) in most.iter_mut().zip(["urgent", "later"]) {
                *most = running(&self.world, job).max(*most);
            }
        }
        most
    }
}

/// Two owners compete for 24 slots. By weight, one may use 16 and the other 8; a few more are taken
/// beyond the shares, as each node sees the other's slots as free. Guards against owners that know
/// nothing of each other, of which each would use all 24.
#[tokio::test(start_paused = true)]
async fn owners_of_different_trainers_keep_to_their_shares() {
    let owners = TwoOwners::start().await;
    owners.wait_for_shares().await;
    let [urgent, later] = owners.most_running().await;
    assert!((15..=21).contains(&urgent), "{urgent} {later}");
    assert!((7..=13).contains(&later), "{urgent} {later}");
}

/// The other trainer's step ends. Guards against slots that stay free, and against a trainer that
/// never gets beyond its share again.
#[tokio::test(start_paused = true)]
async fn the_slots_of_a_step_that_ends_go_to_the_other_trainer() {
    let owners = TwoOwners::start().await;
    owners.wait_for_shares().await;
    owners.nodes[0].app().end_job("urgent").await;
    sleep_ms(1_500).await;
    assert_eq!(owners.most_running().await[1], 24);
}

/// The leader is cut off from its peers and the owners have no news of it. Guards against shares
/// that apply for ever.
#[tokio::test(start_paused = true)]
async fn there_are_no_shares_without_news_of_the_leader() {
    let owners = TwoOwners::start().await;
    owners.wait_for_shares().await;
    owners.nodes[owners.leader].isolate();
    sleep_ms(3_500).await;
    assert_eq!(owners.most_running().await, [24, 24]);
}

/// The owner of a step is frozen or cut off. Guards against slots that are kept for it.
#[tokio::test(start_paused = true)]
async fn a_silent_owner_gets_no_shares() {
    let owners = TwoOwners::start().await;
    owners.wait_for_shares().await;
    let owner = |i: &usize| *i != owners.leader && open_jobs(&owners.nodes[*i]) > 0;
    let silent = (0..3).find(owner).unwrap();
    owners.nodes[silent].set_link(Link::Silent);
    sleep_ms(3_500).await;
    assert_eq!(owners.most_running().await, [24, 24]);
}

/// The owner of a step ends, and another node takes the step over. Guards against a share that
/// stays with the owner that is gone, and against a step that has none at the next one.
#[tokio::test(start_paused = true)]
async fn a_step_that_is_taken_over_gets_its_share_at_its_next_owner() {
    let mut owners = TwoOwners::start().await;
    owners.wait_for_shares().await;
    let owner = owners.nodes.iter().position(|node| open_jobs(node) > 0).unwrap();
    drop(owners.nodes.remove(owner));
    sleep_ms(8_000).await;
    let begun = |job: &str| {
        let prefix = format!("{job}-");
        owners.world.replicas.runs().iter().filter(|run| run.id.starts_with(&prefix)).count()
    };
    let before = [begun("urgent"), begun("later")];
    sleep_ms(2_000).await;
    let (urgent, later) = (begun("urgent") - before[0], begun("later") - before[1]);
    assert!(later > 40 && later < urgent && urgent < 3 * later, "{urgent} {later}");
}

/// Two nodes believe that they lead, and the message of the earlier leader arrives last. Guards
/// against its shares replacing those of its successor.
#[tokio::test(start_paused = true)]
async fn shares_of_an_earlier_leader_are_ignored() {
    let world = World::new();
    let a = world.node("a").await;
    let trainer =
        Trainer { service: "engines".into(), model: Some(MODEL.into()), organisation: None };
    let send = async |fence, sequence, slots| {
        let shares = vec![Share { trainer: trainer.clone(), slots }];
        let (age, contended) = (Duration::ZERO, vec!["engines".into()]);
        let order = ShareOrder { fence, sequence, age, shares, contended };
        PeerResponder::new(a.app().clone()).answer(PeerRequest::Demand(Some(order))).await;
    };
    send(9, 2, 24).await;
    send(8, 7, 1).await;
    send(9, 1, 1).await;
    let results = ["Accepted", "OldTerm", "OldSequence"].map(|result| share_orders(&a, result));
    assert_eq!(results, [1, 1, 1]);
    a.app().submit(numbered_job("j", 50)).await;
    sleep_ms(150).await;
    assert_eq!(running(&world, "j"), 24);
}

/// The store does not answer, so that no node can be sure that it leads. Guards against shares of
/// a term that may be over, and against steps that stop.
#[tokio::test(start_paused = true)]
async fn shares_end_with_the_term_of_the_leader_while_the_store_is_unavailable() {
    let owners = TwoOwners::start().await;
    owners.wait_for_shares().await;
    for node in &owners.nodes {
        node.store.set_faults(Faults { outage: Some(Outage::Refusing), ..Faults::default() });
    }
    sleep_ms(8_000).await;
    let orders = owners.orders("Accepted");
    assert_eq!(owners.most_running().await, [24, 24]);
    assert_eq!(owners.orders("Accepted"), orders);
}

/// Guards against samples that are lost or refused when the configuration no longer has the
/// organisation that submitted them, or has another priority for their route.
#[tokio::test(start_paused = true)]
async fn samples_wait_on_when_keys_are_removed_and_priorities_change() {
    let world = two_trainers();
    let a = world.node("a").await;
    wait_for_routes(&a).await;
    let spec = JobSpec { organisation: Some("gone".into()), ..numbered_job("urgent", 60) };
    a.app().submit(spec).await;
    a.app().submit(less_urgent_job("later", 60)).await;
    sleep_ms(50).await;
    world.configure_batch_routes(3, &[(LESS_URGENT, 0)]);
    for job in ["urgent", "later"] {
        a.read_all(job, 60).await.iter().for_each(|result| assert_completed(result, 5));
    }
    let runs = world.replicas.runs();
    let mut texts = runs.iter().filter(|r| r.id.starts_with("urgent-"));
    assert!(texts.all(|run| run.organisation.as_deref() == Some("gone")));
}

/// There are more batch routes than nodes. Guards against a node that is asked twice per poll, whose
/// demand then counts twice.
#[tokio::test(start_paused = true)]
async fn a_node_that_owns_several_routes_is_asked_once() {
    let world = World::new();
    let mut nodes = Vec::new();
    for name in ["a", "b", "c"] {
        nodes.push(world.linked_node(name).await);
    }
    let routes: Vec<String> = (0..12).map(|i| format!("/more{i}/")).collect();
    let routes: Vec<(&str, u8)> = routes.iter().map(|prefix| (&**prefix, 1)).collect();
    world.configure_batch_routes(2, &routes);
    sleep_ms(8_000).await;
    let orders = |result| nodes.iter().map(|node| share_orders(node, result)).sum::<u64>();
    assert!(orders("Accepted") > 9);
    assert_eq!(orders("OldSequence"), 0);
}
