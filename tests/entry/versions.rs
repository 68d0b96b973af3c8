//! Tests of the weight versions that nodes assume replicas to serve.

use standins::replicas::Behaviour;

use crate::world::{MODEL, World, assert_completed, job_spec_from, sleep_ms};

/// Guards against assuming that every replica that continues a text serves the newer version with
/// which another replica generated part of it (330 futile attempts in a day).
#[tokio::test(start_paused = true)]
async fn a_version_of_a_text_is_not_assumed_for_other_replicas_that_continue_it() {
    let world = World::new();
    let a = world.node("a").await;
    world.replicas.set_version("e1", MODEL, 2);
    world.replicas.set_behaviour("e2", Behaviour::Unreachable);
    world.replicas.set_behaviour("e3", Behaviour::Unreachable);
    sleep_ms(2_000).await;
    world.replicas.set_behaviour("e1", Behaviour::BreaksAfter(3));
    world.replicas.set_event_count("i1", 9);
    a.submit("j", &["i1"]).await;
    sleep_ms(60).await;
    world.replicas.set_behaviour("e3", Behaviour::Normal);
    world.replicas.set_behaviour("e1", Behaviour::Unresponsive);
    a.read_all("j", 1).await.iter().for_each(|l| assert_completed(l, 9));
    let ran = world.replicas.runs();
    assert!(ran.iter().any(|r| &*r.replica == "e3" && r.last_event.is_some()), "{ran:?}");
    world.replicas.set_behaviour("e1", Behaviour::Normal);
    sleep_ms(6_000).await;
    a.app().submit(job_spec_from("k", &["k1", "k2"], 2)).await;
    a.read_all("k", 2).await;
    let ran = world.replicas.runs();
    let futile = ran.iter().filter(|r| r.id.starts_with('k') && &*r.replica == "e3");
    assert_eq!(futile.count(), 0);
}

/// Guards against repeated attempts at a replica that has shown to serve an older version than
/// assumed, for as long as it has the most free slots.
#[tokio::test(start_paused = true)]
async fn a_version_in_a_response_overrides_the_assumed_one() {
    let world = World::new();
    let a = world.node("a").await;
    world.replicas.set_version("e1", MODEL, 2);
    // The entries of e2 and e3 state a newer version than they serve.
    for id in ["e2", "e3"] {
        world.replicas.set_version(id, MODEL, 2);
        world.replicas.set_unlisted_version(id, MODEL, 1);
    }
    sleep_ms(2_000).await;
    let items: Vec<String> = (0..60).map(|i| format!("i{i}")).collect();
    let items: Vec<&str> = items.iter().map(|i| &**i).collect();
    a.app().submit(job_spec_from("j", &items, 2)).await;
    a.read_all("j", 60).await.iter().for_each(|l| assert_completed(l, 5));
    let futile = world
        .replicas
        .runs()
        .iter()
        .filter(|r| r.id.starts_with('i') && &*r.replica != "e1")
        .count();
    assert!(futile <= 16, "{futile} futile attempts");
}

/// Guards against the loss of events that were generated with allowed versions when a later event
/// has a version that is not allowed.
#[tokio::test(start_paused = true)]
async fn earlier_events_are_kept_when_a_response_has_an_older_version() {
    let world = World::new();
    let a = world.node("a").await;
    world.replicas.set_version("e1", MODEL, 2);
    world.replicas.set_version("e2", MODEL, 2);
    world.replicas.set_unlisted_version("e2", MODEL, 1);
    world.replicas.set_behaviour("e2", Behaviour::Unreachable);
    world.replicas.set_behaviour("e1", Behaviour::BreaksAfter(3));
    sleep_ms(2_000).await;
    world.replicas.set_event_count("i1", 9);
    a.app().submit(job_spec_from("j", &["i1"], 2)).await;
    sleep_ms(60).await;
    world.replicas.set_behaviour("e2", Behaviour::Normal);
    a.read_all("j", 1).await.iter().for_each(|l| assert_completed(l, 9));
    let ran = world.replicas.runs();
    let runs = ran.iter().filter(|r| &*r.id == "i1");
    let runs: Vec<(&str, Option<u64>)> = runs.map(|r| (&*r.replica, r.last_event)).collect();
    let futile = runs.iter().position(|(replica, _)| *replica == "e2").unwrap();
    assert!(futile > 0, "{runs:?}");
    assert_eq!(runs[futile + 1].1, runs[futile].1, "{runs:?}");
}

/// Guards against a replica that restarted with the same id and an older version being assumed to
/// serve the current one. It got requests that it could not serve, and was never ordered to load
/// the current version.
#[tokio::test(start_paused = true)]
async fn a_replica_that_restarts_with_its_id_is_ordered_to_load_again() {
    let world = World::new();
    for id in ["e1", "e2", "e3"] {
        world.replicas.restart("engines", id, 1, &[(MODEL, 1)]);
    }
    let a = world.node("a").await;
    world.name_version(2);
    sleep_ms(20_000).await;
    let before = world.replicas.orders().len();
    // One replica restarts while idle, one during a load, and one while it runs a text.
    world.replicas.restart("engines", "e1", 2, &[(MODEL, 1)]);
    sleep_ms(5_000).await;
    let first: Vec<_> = world.replicas.orders().split_off(before);
    assert!(first.iter().any(|o| &*o.replica == "e1" && o.version == 2), "{first:?}");
    a.app().submit(job_spec_from("j", &["i1", "i2", "i3", "i4"], 2)).await;
    world.name_version(3);
    sleep_ms(300).await;
    for id in ["e2", "e3"] {
        world.replicas.restart("engines", id, 3, &[(MODEL, 1)]);
    }
    a.read_all("j", 4).await;
    sleep_ms(20_000).await;
    let orders = world.replicas.orders();
    let again: Vec<_> = orders[before..].iter().filter(|o| o.accepted).collect();
    for id in ["e1", "e2", "e3"] {
        let newest = again.iter().filter(|o| &*o.replica == id).map(|o| o.version).max();
        assert_eq!(newest, Some(3), "{id}: {again:?}");
    }
}
