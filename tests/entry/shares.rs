//! Tests of how organisations and trainers share the slots while they need more than there are.

use std::sync::Arc;
use std::time::Duration;

use mulberrycourse::decide::job::{ItemSpec, JobSpec};

use crate::world::{MODEL, Node, World, job_spec, wait_until};

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
    world.configure_batch_route(2, LESS_URGENT, 3);
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
