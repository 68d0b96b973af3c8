//! Reads are never older than what was shown before.

use standins::kv::Faults;

use crate::world::{World, pass, until};

/// Guards: an empty page came from a view that was older than another node's.
#[tokio::test(start_paused = true)]
async fn a_read_without_a_wait_asks_the_store() {
    let world = World::new();
    let (a, b) = (world.node("a").await, world.node("b").await);
    world.replicas.length("i2", 200);
    a.submit("j", &["i1", "i2"]).await;
    assert!(b.page("j", 0).await.is_empty());
    until(|| !world.kv.items("mulberry/job/j/results").is_empty()).await;
    assert_eq!(b.page("j", 0).await.len(), 1);
}

/// Guards: a home that lost the answer of its last write showed fewer results than the store
/// once the job was ended.
#[tokio::test(start_paused = true)]
async fn an_ended_home_shows_what_the_store_has() {
    let world = World::new();
    let (a, b) = (world.node("a").await, world.node("b").await);
    world.replicas.length("i2", 500);
    a.submit("j", &["i1", "i2"]).await;
    a.line.fail(Faults { lose: 100, ..Faults::default() });
    until(|| !world.kv.items("mulberry/job/j/results").is_empty()).await;
    let shown = b.page("j", 0).await;
    assert_eq!(shown.len(), 1);
    a.app().end_job("j").await;
    a.line.fail(Faults::default());
    pass(3_000).await;
    assert_eq!(a.page("j", 0).await, shown);
}

/// Guards: a view went on from a history that was gone, and heard nothing.
#[tokio::test(start_paused = true)]
async fn a_dropped_history_hides_no_results() {
    let world = World::new();
    let (a, b) = (world.node("a").await, world.node("b").await);
    world.replicas.length("i2", 40);
    a.submit("j", &["i1", "i2"]).await;
    until(|| !world.kv.items("mulberry/job/j/results").is_empty()).await;
    assert_eq!(b.page("j", 0).await.len(), 1);
    until(|| world.kv.items("mulberry/job/j/results").len() == 2).await;
    world.kv.compact();
    pass(300).await;
    assert_eq!(b.page("j", 1).await.len(), 1);
}

/// Guards: a view that had rested for longer than the store keeps its history went on from
/// there and heard nothing (112 results read, none at the last position).
#[tokio::test(start_paused = true)]
async fn a_view_that_rested_for_long_reads_the_whole_again() {
    let world = World::new();
    let (a, b) = (world.node("a").await, world.node("b").await);
    world.replicas.length("i2", 40);
    a.submit("j", &["i1", "i2"]).await;
    until(|| !world.kv.items("mulberry/job/j/results").is_empty()).await;
    assert_eq!(b.page("j", 0).await.len(), 1);
    until(|| world.kv.items("mulberry/job/j/results").len() == 2).await;
    pass(18_000).await;
    world.kv.age();
    assert_eq!(b.page("j", 1).await.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_node_that_cannot_be_sure_says_so() {
    use std::time::Duration;

    use mulberrycourse::entry::Read;
    use standins::kv::Away;

    let world = World::new();
    let a = world.node("a").await;
    a.line.fail(Faults { away: Some(Away::Refusing), ..Faults::default() });
    assert_eq!(a.app().read("j", 0, Duration::ZERO).await, Read::Unsure);
}
