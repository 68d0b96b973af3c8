//! What organisations receive while one of them asks for much more than the others.

use std::time::Duration;

use mulberrycourse::decide::job::JobSpec;

use crate::world::{World, spec};

/// A greedy organisation hands in ten steps, then another hands in one. In the order in which
/// they came it was whole after all of them.
#[tokio::test(start_paused = true)]
async fn a_step_of_another_organisation_is_not_whole_last() {
    let world = World::new();
    let a = world.node("a").await;
    let submit = async |owner: &str, job: &str| {
        let ids: Vec<String> = (0..40).map(|i| format!("{job}-{i}")).collect();
        let ids: Vec<&str> = ids.iter().map(|id| &**id).collect();
        let spec = JobSpec { organisation: Some(owner.into()), ..spec(job, &ids) };
        a.app().submit(spec).await;
    };
    for i in 0..10 {
        submit("greedy", &format!("g{i}")).await;
    }
    submit("small", "s").await;
    let begun = tokio::time::Instant::now();
    let took = async |job: String| {
        a.whole(&job, 40).await;
        begun.elapsed()
    };
    let greedy = futures_util::future::join_all((0..10).map(|i| took(format!("g{i}"))));
    let (small, mut greedy): (Duration, Vec<Duration>) = tokio::join!(took("s".to_owned()), greedy);
    greedy.sort_unstable();
    assert!(small < greedy[3], "{small:?} of {greedy:?}");
}
