//! Tests that a read never returns fewer results than an earlier read.

use standins::kv::Faults;

use crate::world::{World, sleep_ms, wait_until};

/// Guards against an empty page from a cached view that is older than another node's.
#[tokio::test(start_paused = true)]
async fn a_read_without_a_wait_checks_the_store() {
    let world = World::new();
    let (a, b) = (world.node("a").await, world.node("b").await);
    world.replicas.set_event_count("i2", 200);
    a.submit("j", &["i1", "i2"]).await;
    assert!(b.read_page("j", 0).await.is_empty());
    wait_until(|| !world.kv.items("mulberry/job/j/results").is_empty()).await;
    assert_eq!(b.read_page("j", 0).await.len(), 1);
}

/// Guards against an owner that, after the answer to its last write was lost and the job was
/// ended, returned fewer results than the store has.
#[tokio::test(start_paused = true)]
async fn an_owner_of_an_ended_job_returns_what_the_store_has() {
    let world = World::new();
    let (a, b) = (world.node("a").await, world.node("b").await);
    world.replicas.set_event_count("i2", 500);
    a.submit("j", &["i1", "i2"]).await;
    a.store.set_faults(Faults { lost_writes: 100, ..Faults::default() });
    wait_until(|| !world.kv.items("mulberry/job/j/results").is_empty()).await;
    let first_page = b.read_page("j", 0).await;
    assert_eq!(first_page.len(), 1);
    a.app().end_job("j").await;
    a.store.set_faults(Faults::default());
    sleep_ms(3_000).await;
    assert_eq!(a.read_page("j", 0).await, first_page);
}

/// Guards against a cached view that continued its watch from a compacted history and got no
/// results.
#[tokio::test(start_paused = true)]
async fn a_compacted_history_hides_no_results() {
    let world = World::new();
    let (a, b) = (world.node("a").await, world.node("b").await);
    world.replicas.set_event_count("i2", 40);
    a.submit("j", &["i1", "i2"]).await;
    wait_until(|| !world.kv.items("mulberry/job/j/results").is_empty()).await;
    assert_eq!(b.read_page("j", 0).await.len(), 1);
    wait_until(|| world.kv.items("mulberry/job/j/results").len() == 2).await;
    world.kv.compact();
    sleep_ms(300).await;
    assert_eq!(b.read_page("j", 1).await.len(), 1);
}

/// Guards against a cached view that had not been updated for longer than the store keeps its
/// history, and continued its watch from there without getting any results (112 results were read
/// before, and none after that position).
#[tokio::test(start_paused = true)]
async fn a_view_without_recent_updates_is_read_again() {
    let world = World::new();
    let (a, b) = (world.node("a").await, world.node("b").await);
    world.replicas.set_event_count("i2", 40);
    a.submit("j", &["i1", "i2"]).await;
    wait_until(|| !world.kv.items("mulberry/job/j/results").is_empty()).await;
    assert_eq!(b.read_page("j", 0).await.len(), 1);
    wait_until(|| world.kv.items("mulberry/job/j/results").len() == 2).await;
    sleep_ms(18_000).await;
    world.kv.compact_silently();
    assert_eq!(b.read_page("j", 1).await.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_read_without_an_answer_of_the_store_is_unsure() {
    use std::time::Duration;

    use mulberrycourse::entry::ReadResult;
    use standins::kv::Outage;

    let world = World::new();
    let a = world.node("a").await;
    a.store.set_faults(Faults { outage: Some(Outage::Refusing), ..Faults::default() });
    assert_eq!(a.app().read("j", 0, Duration::ZERO).await, ReadResult::Unsure);
}

/// Guards against clients that ask for jobs that don't exist, each of which the node remembered.
#[tokio::test(start_paused = true)]
async fn jobs_that_do_not_exist_leave_nothing() {
    use std::time::Duration;

    use mulberrycourse::entry::{Lookup, ReadResult};

    let world = World::new();
    let a = world.node("a").await;
    for number in 0..20 {
        let job = format!("unknown-{number}");
        assert_eq!(a.app().read(&job, 0, Duration::ZERO).await, ReadResult::Unknown);
        assert_eq!(a.app().sample_body(&job, "i").await, Lookup::Unknown);
    }
    assert!(a.app().metrics().contains("mulberry_remote_jobs 0\n"), "{}", a.app().metrics());
}
