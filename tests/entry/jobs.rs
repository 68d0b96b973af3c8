//! What a trainer receives when nodes, replicas or the store fail.

use std::time::Duration;

use mulberrycourse::entry::{Lookup, ReadResult, SubmitResult};
use standins::kv::{Faults, Outage};
use standins::replicas::Behaviour;

use crate::world::{World, assert_completed, job_spec, sleep_ms, wait_until};

/// Number of events of a text that takes about two seconds.
const LONG_TEXT_EVENTS: u64 = 60;

#[tokio::test(start_paused = true)]
async fn a_completed_job_reads_the_same_on_every_node() {
    let world = World::new();
    let (a, b) = (world.node("a").await, world.node("b").await);
    assert_eq!(a.submit("j", &["i1", "i2", "i3"]).await, SubmitResult::Accepted);
    let at_a = a.read_all("j", 3).await;
    let at_b = b.read_all("j", 3).await;
    assert_eq!(at_a, at_b);
    at_a.iter().for_each(|result| assert_completed(result, 5));
}

#[tokio::test(start_paused = true)]
async fn a_job_that_is_submitted_to_two_nodes_runs_once() {
    let world = World::new();
    let (a, b) = (world.node("a").await, world.node("b").await);
    assert_eq!(a.submit("j", &["i1"]).await, SubmitResult::Accepted);
    assert_eq!(b.submit("j", &["i1"]).await, SubmitResult::Accepted);
    a.read_all("j", 1).await;
    let texts = world.replicas.runs().iter().filter(|r| &*r.id == "i1").count();
    assert_eq!(texts, 1);
}

#[tokio::test(start_paused = true)]
async fn a_submission_whose_answer_was_lost_is_accepted() {
    let world = World::new();
    let a = world.node("a").await;
    a.store.set_faults(Faults { lost_writes: 1, ..Faults::default() });
    assert_eq!(a.submit("j", &["i1"]).await, SubmitResult::Accepted);
    a.read_all("j", 1).await.iter().for_each(|result| assert_completed(result, 5));
}

#[tokio::test(start_paused = true)]
async fn a_refused_job_never_runs() {
    let world = World::new();
    let a = world.node("a").await;
    a.store.set_faults(Faults { outage: Some(Outage::Refusing), ..Faults::default() });
    assert_eq!(a.submit("j", &["i1"]).await, SubmitResult::Refused("store_away".into()));
    a.store.set_faults(Faults::default());
    sleep_ms(20_000).await;
    assert!(world.replicas.runs().is_empty());
    assert_eq!(a.app().read("j", 0, Duration::ZERO).await, ReadResult::Unknown);
}

#[tokio::test(start_paused = true)]
async fn a_submission_that_takes_effect_late_is_run_by_its_owner() {
    let world = World::new();
    let a = world.node("a").await;
    a.store.set_faults(Faults {
        lost_writes: 100,
        write_delay: Duration::from_secs(4),
        ..Faults::default()
    });
    assert_eq!(a.submit("j", &["i1"]).await, SubmitResult::Unknown);
    a.store.set_faults(Faults::default());
    a.read_all("j", 1).await.iter().for_each(|result| assert_completed(result, 5));
}

#[tokio::test(start_paused = true)]
async fn a_crashed_owner_is_replaced_and_its_texts_are_continued() {
    let world = World::new();
    let (a, b) = (world.node("a").await, world.node("b").await);
    world.replicas.set_event_count("i1", LONG_TEXT_EVENTS);
    a.submit("j", &["i1", "i2"]).await;
    sleep_ms(1_500).await;
    drop(a);
    let results = b.read_all("j", 2).await;
    results.iter().for_each(|result| {
        assert_completed(result, if &*result.id == "i1" { LONG_TEXT_EVENTS } else { 5 })
    });
    let ran = world.replicas.runs();
    let continued = ran.iter().filter(|r| &*r.id == "i1").nth(1).unwrap();
    assert!(continued.last_event.is_some_and(|after| after > 10), "{continued:?}");
}

#[tokio::test(start_paused = true)]
async fn a_draining_owner_hands_its_texts_over() {
    let world = World::new();
    let (a, b) = (world.node("a").await, world.node("b").await);
    world.replicas.set_event_count("i1", LONG_TEXT_EVENTS);
    a.submit("j", &["i1"]).await;
    sleep_ms(1_000).await;
    a.entry.drain().await;
    b.read_all("j", 1).await.iter().for_each(|result| assert_completed(result, LONG_TEXT_EVENTS));
    let ran = world.replicas.runs();
    let texts: Vec<_> = ran.iter().filter(|r| &*r.id == "i1").collect();
    assert_eq!(texts.len(), 2);
    // 28 events are generated in 1 s. The last of them may not have arrived.
    assert!(texts[1].last_event.is_some_and(|after| after >= 26), "{texts:?}");
    let pause = texts[1].received_at - texts[0].received_at;
    assert!(pause < Duration::from_millis(1_500), "{pause:?}");
}

#[tokio::test(start_paused = true)]
async fn a_repeated_submission_at_the_new_owner_loses_no_results() {
    let world = World::new();
    let (a, b) = (world.node("a").await, world.node("b").await);
    world.replicas.set_event_count("i2", LONG_TEXT_EVENTS);
    a.submit("j", &["i1", "i2"]).await;
    wait_until(|| !world.kv.items("mulberry/job/j/results").is_empty()).await;
    let first_page = b.read_page("j", 0).await;
    assert_eq!(first_page.len(), 1);
    // The repeated submission arrives when the new owner has taken the job over, but has not read
    // it yet.
    let resubmit = async {
        let key = "mulberry/home/j";
        while !String::from_utf8_lossy(&world.kv.items(key)[0].value).contains("\"b.") {
            sleep_ms(1).await;
        }
        b.app().submit(job_spec("j", &["i1", "i2"])).await
    };
    let ((), submitted) = tokio::join!(a.entry.drain(), resubmit);
    assert_eq!(submitted, SubmitResult::Accepted);
    let results = b.read_all("j", 2).await;
    assert_eq!(results[0], first_page[0]);
    let runs = world.replicas.runs().iter().filter(|r| &*r.id == "i1").count();
    assert_eq!(runs, 1);
}

#[tokio::test(start_paused = true)]
async fn an_accepted_job_survives_the_crash_of_all_nodes() {
    let world = World::new();
    let (a, b) = (world.node("a").await, world.node("b").await);
    assert_eq!(a.submit("j", &["i1", "i2"]).await, SubmitResult::Accepted);
    drop((a, b));
    let c = world.node("a").await;
    c.read_all("j", 2).await.iter().for_each(|result| assert_completed(result, 5));
}

#[tokio::test(start_paused = true)]
async fn an_ended_job_starts_no_more_runs() {
    let world = World::new();
    let (a, b) = (world.node("a").await, world.node("b").await);
    for id in ["i1", "i2", "i3"] {
        world.replicas.set_event_count(id, 500);
    }
    a.submit("j", &["i1", "i2", "i3"]).await;
    sleep_ms(500).await;
    assert_eq!(b.app().end_job("j").await, Lookup::Found(()));
    sleep_ms(300).await;
    let ran = world.replicas.runs().len();
    sleep_ms(10_000).await;
    assert_eq!(world.replicas.runs().len(), ran);
    assert_eq!(b.app().end_job("j").await, Lookup::Found(()));
    assert_eq!(a.app().end_job("none").await, Lookup::Unknown);
}

#[tokio::test(start_paused = true)]
async fn texts_survive_replicas_that_disconnect_stall_or_refuse() {
    let world = World::new();
    let a = world.node("a").await;
    world.replicas.set_behaviour("e1", Behaviour::BreaksAfter(3));
    world.replicas.set_behaviour("e2", Behaviour::Unresponsive);
    let items: Vec<String> = (0..12).map(|i| format!("i{i}")).collect();
    let names: Vec<&str> = items.iter().map(String::as_str).collect();
    a.submit("j", &names).await;
    a.read_all("j", 12).await.iter().for_each(|result| assert_completed(result, 5));
}

#[tokio::test(start_paused = true)]
async fn a_long_text_moves_away_from_a_slow_replica() {
    let world = World::new();
    let a = world.node("a").await;
    a.submit("warm", &["w1", "w2", "w3", "w4"]).await;
    a.read_all("warm", 4).await;
    world.replicas.set_behaviour("e1", Behaviour::Slow(4));
    world.replicas.set_behaviour("e2", Behaviour::Slow(4));
    for id in ["i1", "i2", "i3"] {
        world.replicas.set_event_count(id, LONG_TEXT_EVENTS);
    }
    let started = tokio::time::Instant::now();
    a.submit("j", &["i1", "i2", "i3"]).await;
    a.read_all("j", 3).await.iter().for_each(|result| assert_completed(result, LONG_TEXT_EVENTS));
    // A fast replica needs 2.1 s; a slow one alone would need 8.4 s.
    let took = started.elapsed();
    assert!(took < Duration::from_millis(4_500), "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn an_item_that_always_fails_is_given_up_after_its_attempts() {
    let world = World::new();
    let a = world.node("a").await;
    for id in ["e1", "e2", "e3"] {
        world.replicas.set_behaviour(id, Behaviour::Fails);
    }
    a.submit("j", &["i1"]).await;
    let results = a.read_all("j", 1).await;
    assert_eq!(results[0].state, mulberrycourse::decide::job::ItemState::Dead);
    assert_eq!(world.replicas.runs().iter().filter(|r| &*r.id == "i1").count(), 3);
}

/// The retention counts system time, which passes even on a paused clock, so it is set to zero.
#[tokio::test(start_paused = true)]
async fn a_completed_job_is_removed_from_the_store_after_its_retention() {
    let world = World::new();
    let a = world.node_with_job_retention("a", Duration::ZERO).await;
    world.replicas.set_event_count("i2", 900);
    a.submit("j", &["i1"]).await;
    a.submit("k", &["i2"]).await;
    a.read_all("j", 1).await;
    sleep_ms(25_000).await;
    assert!(world.kv.items("mulberry/job/j/").is_empty());
    assert!(world.kv.items("mulberry/home/j").is_empty());
    assert_eq!(a.app().read("j", 0, Duration::ZERO).await, ReadResult::Unknown);
    // A job whose samples are still being generated is kept.
    assert!(!world.kv.items("mulberry/job/k/").is_empty());
    a.read_all("k", 1).await.iter().for_each(|result| assert_completed(result, 900));
}

#[tokio::test(start_paused = true)]
async fn an_outage_of_the_store_loses_no_results() {
    let world = World::new();
    let a = world.node("a").await;
    a.submit("j", &["i1", "i2"]).await;
    a.store.set_faults(Faults { outage: Some(Outage::Unresponsive), ..Faults::default() });
    sleep_ms(6_000).await;
    a.store.set_faults(Faults::default());
    a.read_all("j", 2).await.iter().for_each(|result| assert_completed(result, 5));
}

/// Guards against the results of an outage of the store being written as one value that exceeds the
/// store's limit. The write was refused until the training step timed out.
#[tokio::test(start_paused = true)]
async fn results_of_an_outage_are_written_in_parts() {
    let world = World::new();
    world.kv.set_max_value(16 << 10);
    let a = world.node_with_value_bytes("a", 16 << 10).await;
    let items: Vec<String> = (0..60).map(|i| format!("i{i:02}")).collect();
    let items: Vec<&str> = items.iter().map(|i| &**i).collect();
    items.iter().for_each(|item| world.replicas.set_event_count(item, LONG_TEXT_EVENTS));
    a.submit("j", &items).await;
    a.store.set_faults(Faults { outage: Some(Outage::Refusing), ..Faults::default() });
    sleep_ms(15_000).await;
    a.store.set_faults(Faults::default());
    a.read_all("j", 60).await.iter().for_each(|result| assert_completed(result, LONG_TEXT_EVENTS));
    assert!(world.kv.items("mulberry/job/j/results").len() > 1);
}

/// Guards against a submission whose retry time ends just as the store is reachable again, and that
/// is not tried once more. Its trainer did not submit it again.
#[tokio::test(start_paused = true)]
async fn a_submission_is_accepted_at_the_end_of_an_outage() {
    for before in [200, 500, 800, 1_100, 1_400, 1_700] {
        let world = World::new();
        let a = world.node("a").await;
        a.store.set_faults(Faults { outage: Some(Outage::Unresponsive), ..Faults::default() });
        sleep_ms(4_000 - before).await;
        let submitting = a.submit("j", &["i1"]);
        let recovering = async {
            sleep_ms(before).await;
            a.store.set_faults(Faults::default());
        };
        let (submitted, ()) = tokio::join!(submitting, recovering);
        assert_eq!(submitted, SubmitResult::Accepted, "{before} ms before the end of the outage");
        a.read_all("j", 1).await;
    }
}

/// Guards against an owner that drains during a write of results, writes the same results again and
/// counts them twice. That caused a panic while requests were in progress.
#[tokio::test(start_paused = true)]
async fn an_owner_may_drain_at_any_point_of_a_write() {
    for after in 590..625 {
        let world = World::new();
        let (a, b) = (world.node("a").await, world.node("b").await);
        world.replicas.set_event_count("i3", LONG_TEXT_EVENTS);
        a.submit("j", &["i1", "i2", "i3"]).await;
        sleep_ms(after).await;
        a.entry.drain().await;
        let results = b.read_all("j", 3).await;
        let mut ids: Vec<&str> = results.iter().map(|l| &*l.id).collect();
        ids.sort_unstable();
        assert_eq!(ids, ["i1", "i2", "i3"], "after {after} ms");
        assert_eq!(a.read_all("j", 3).await, results, "after {after} ms");
    }
}

/// Guards against a process that is stopped while the store does not answer and still drains at the
/// end of its grace period. It was killed with requests in progress.
#[tokio::test(start_paused = true)]
async fn a_node_that_drains_in_an_outage_has_time_left_for_requests() {
    for after in [0, 300, 900, 2_000] {
        let world = World::new();
        let a = world.node("a").await;
        a.submit("j", &["i1", "i2"]).await;
        sleep_ms(300).await;
        a.store.set_faults(Faults { outage: Some(Outage::Unresponsive), ..Faults::default() });
        sleep_ms(after).await;
        let started = tokio::time::Instant::now();
        a.entry.drain().await;
        let left = a.app().settings.stop_grace.saturating_sub(started.elapsed());
        assert!(left >= Duration::from_millis(3_200), "{after} ms into the outage: {left:?} left");
    }
}

/// Guards against each attempt at a sample being given the whole retention of its route: a replica
/// would work on it after the sample is given up.
#[tokio::test(start_paused = true)]
async fn an_attempt_has_what_is_left_of_the_retention() {
    let world = World::new();
    let a = world.node("a").await;
    for id in ["e1", "e2", "e3"] {
        world.replicas.set_behaviour(id, Behaviour::BreaksAfter(20));
    }
    world.replicas.set_event_count("i1", 90);
    let submitted = tokio::time::Instant::now();
    a.submit("j", &["i1"]).await;
    a.read_all("j", 1).await;
    let runs = world.replicas.runs();
    let runs: Vec<_> = runs.iter().filter(|run| &*run.id == "i1").collect();
    assert!(runs.len() > 3, "{runs:?}");
    for run in runs {
        let ends = run.received_at + run.timeout;
        assert!(ends <= submitted + Duration::from_millis(40_100), "{run:?}");
    }
}

/// Guards against timeout responses of replicas being counted as failures. Samples were given up
/// that could have been completed (seen with 300 nodes and slow scorers).
#[tokio::test(start_paused = true)]
async fn timeout_responses_do_not_fail_a_sample() {
    for slow in [["p1", "p2"].as_slice(), ["e1", "e2", "e3"].as_slice()] {
        let world = World::new();
        let a = world.node("a").await;
        slow.iter().for_each(|id| world.replicas.set_behaviour(id, Behaviour::TimesOut));
        a.submit("j", &["i1"]).await;
        sleep_ms(4_000).await;
        assert!(a.read_page("j", 0).await.is_empty(), "{slow:?}");
        slow.iter().for_each(|id| world.replicas.set_behaviour(id, Behaviour::Normal));
        a.read_all("j", 1).await.iter().for_each(|result| assert_completed(result, 5));
    }
}
