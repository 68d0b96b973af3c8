//! Tests of how organisations share the slots while one of them demands much more than the others.

use std::time::Duration;

use mulberrycourse::decide::job::JobSpec;

use crate::world::{World, job_spec};

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
