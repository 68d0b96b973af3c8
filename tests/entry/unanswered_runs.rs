//! Runs of a text or reward call that bring no response: their replicas may carry them out late, and
//! then fail or reject them.

use std::time::Duration;

use http::StatusCode;
use mulberrycourse::decide::job::ItemState;
use mulberrycourse::entry::Lookup;
use standins::kv::Faults;
use standins::replicas::Behaviour;
use tokio::time::Instant;

use crate::world::{HOST, Node, World, relay_request, sleep_ms, wait_until};

/// The runs after which a request that may have failed at each of them must not run again, for the
/// three attempts of all routes.
const MAX_RUNS: usize = 9;
/// The same for a request that may have been rejected at each of them.
const MAX_REJECTED_RUNS: usize = 3;
/// The owners or jobs that a request has in turn: enough for twice the runs.
const OWNERS: usize = 18;
/// Within which time a sound call is answered once its replicas go on, so that its step, due in
/// 7.5 s, is not lost to a pause that was chosen before.
const ANSWER_TIME: Duration = Duration::from_millis(4_000);

/// The replicas that run a request.
fn replicas(id: &str) -> &'static [&'static str] {
    if id.starts_with("score-") { &["p1", "p2"] } else { &["e1", "e2", "e3"] }
}

fn set_behaviour(world: &World, id: &str, behaviour: Behaviour) {
    for replica in replicas(id) {
        world.replicas.set_behaviour(replica, behaviour);
    }
}

/// Returns how often a request has run.
fn runs(world: &World, id: &str) -> usize {
    world.replicas.runs().iter().filter(|run| &*run.id == id).count()
}

async fn start_node(world: &World, number: usize) -> Node {
    world.node(&format!("n{number}")).await
}

/// Guards against runs at replicas that hang, which are not counted before a failure is known.
#[tokio::test(start_paused = true)]
async fn runs_at_hanging_replicas_are_limited() {
    for id in ["i1", "score-i1"] {
        let world = World::new();
        set_behaviour(&world, id, Behaviour::Unresponsive);
        let node = start_node(&world, 0).await;
        node.submit("j", &["i1"]).await;
        sleep_ms(39_000).await;
        let runs = runs(&world, id);
        assert!((1..=MAX_RUNS).contains(&runs), "{id}: {runs}");
    }
}

/// Guards against more than three runs that a hanging replica may all reject later.
#[tokio::test(start_paused = true)]
async fn runs_at_replicas_that_hang_for_some_seconds_may_all_be_rejected() {
    for id in ["i1", "score-i1"] {
        let world = World::new();
        set_behaviour(&world, id, Behaviour::Unresponsive);
        let node = start_node(&world, 0).await;
        node.submit("j", &["i1"]).await;
        sleep_ms(8_000).await;
        let runs = runs(&world, id);
        assert!((1..=MAX_REJECTED_RUNS).contains(&runs), "{id}: {runs}");
    }
}

/// Guards against a next owner, or a next job, that does not count the open runs of the one before.
#[tokio::test(start_paused = true)]
async fn runs_before_and_after_an_owner_or_job_ends_may_all_be_rejected() {
    for id in ["i1", "score-i1"] {
        for job_ends in [false, true] {
            let world = World::new();
            set_behaviour(&world, id, Behaviour::Unresponsive);
            let mut owner = start_node(&world, 0).await;
            owner.submit("j", &["i1"]).await;
            sleep_ms(4_500).await;
            if job_ends {
                assert_eq!(owner.app().end_job("j").await, Lookup::Found(()));
                owner.submit("k", &["i1"]).await;
            } else {
                drop(owner);
                owner = start_node(&world, 1).await;
            }
            sleep_ms(4_500).await;
            let runs = runs(&world, id);
            assert!((2..=MAX_REJECTED_RUNS).contains(&runs), "{id} {job_ends}: {runs}");
            drop(owner);
        }
    }
}

/// Guards against limits that cost a sound request its result after its replicas hung.
#[tokio::test(start_paused = true)]
async fn a_sound_sample_is_completed_once_its_replicas_go_on() {
    for id in ["i1", "score-i1"] {
        let world = World::new();
        set_behaviour(&world, id, Behaviour::Hangs);
        let node = start_node(&world, 0).await;
        node.submit("j", &["i1"]).await;
        sleep_ms(6_000).await;
        set_behaviour(&world, id, Behaviour::Normal);
        let goes_on = Instant::now();
        let result = node.read_all("j", 1).await.remove(0);
        assert!(matches!(result.state, ItemState::Completed { .. }), "{id}");
        assert!(goes_on.elapsed() < ANSWER_TIME, "{id}: {:?}", goes_on.elapsed());
    }
}

/// Guards against calls that wait for answers that their replicas will never give.
#[tokio::test(start_paused = true)]
async fn a_sound_call_is_made_again_where_replicas_lost_its_runs() {
    let world = World::new();
    set_behaviour(&world, "score-i1", Behaviour::Unresponsive);
    let node = start_node(&world, 0).await;
    node.submit("j", &["i1"]).await;
    sleep_ms(6_000).await;
    set_behaviour(&world, "score-i1", Behaviour::Normal);
    let goes_on = Instant::now();
    let route = node.app().routes().unwrap().find(HOST, "/plain/x").unwrap().clone();
    for number in 0..20 {
        node.app().relay(&route, relay_request(&format!("lookup-{number}"), "/plain/x")).await;
        sleep_ms(100).await;
    }
    let result = node.read_all("j", 1).await.remove(0);
    assert!(matches!(result.state, ItemState::Completed { .. }));
    assert!(goes_on.elapsed() < ANSWER_TIME, "{:?}", goes_on.elapsed());
}

/// Guards against owners that end with runs of which the next owner does not know.
#[tokio::test(start_paused = true)]
async fn runs_of_successive_owners_that_crash_are_limited() {
    for id in ["i1", "score-i1"] {
        let world = World::new();
        set_behaviour(&world, id, Behaviour::Unresponsive);
        let mut owner = start_node(&world, 0).await;
        owner.submit("j", &["i1"]).await;
        for number in 1..=OWNERS {
            let before = runs(&world, id);
            // A request that must not run again ends the wait by the time.
            let rerun = wait_until(|| runs(&world, id) > before + 1);
            let _ = tokio::time::timeout(Duration::from_secs(5), rerun).await;
            drop(owner);
            owner = start_node(&world, number).await;
        }
        let runs = runs(&world, id);
        assert!((1..=MAX_RUNS).contains(&runs), "{id}: {runs}");
    }
}

/// Guards against jobs that end with runs of which the next job does not know, also where the owner
/// has recorded no failure of its own.
#[tokio::test(start_paused = true)]
async fn runs_of_successive_jobs_that_are_taken_over_and_ended_are_limited() {
    for id in ["i1", "score-i1"] {
        let world = World::new();
        set_behaviour(&world, id, Behaviour::Unresponsive);
        let mut owner = start_node(&world, 0).await;
        for number in 1..=OWNERS {
            let job = format!("j{number}");
            owner.submit(&job, &["i1"]).await;
            let before = runs(&world, id);
            let rerun = wait_until(|| runs(&world, id) > before + 1);
            let _ = tokio::time::timeout(Duration::from_secs(5), rerun).await;
            drop(owner);
            owner = start_node(&world, number).await;
            let before = runs(&world, id);
            let rerun = wait_until(|| runs(&world, id) > before);
            let _ = tokio::time::timeout(Duration::from_secs(8), rerun).await;
            assert_eq!(owner.app().end_job(&job).await, Lookup::Found(()));
        }
        let runs = runs(&world, id);
        assert!((1..=MAX_RUNS).contains(&runs), "{id}: {runs}");
    }
}

/// Guards against a job that runs requests without the failures of earlier jobs, which it could
/// not read when it was submitted.
#[tokio::test(start_paused = true)]
async fn a_job_whose_store_reads_fail_counts_earlier_failures() {
    for id in ["i1", "score-i1"] {
        let world = World::new();
        world.replicas.set_status(id, StatusCode::INTERNAL_SERVER_ERROR);
        let node = start_node(&world, 0).await;
        for number in 0..OWNERS {
            let job = format!("j{number}");
            let refused = Faults { refused_range: Some("mulberry/failed/"), ..Faults::default() };
            node.store.set_faults(refused);
            node.submit(&job, &["i1"]).await;
            node.store.set_faults(Faults::default());
            sleep_ms(2_000).await;
            assert_eq!(node.app().end_job(&job).await, Lookup::Found(()));
        }
        let runs = runs(&world, id);
        assert!((3..=MAX_RUNS).contains(&runs), "{id}: {runs}");
    }
}

/// Guards against two open jobs with the same request that each use up its runs.
#[tokio::test(start_paused = true)]
async fn open_jobs_with_the_same_request_count_its_runs_together() {
    for id in ["i1", "score-i1"] {
        let world = World::new();
        set_behaviour(&world, id, Behaviour::BreaksAfter(0));
        let node = start_node(&world, 0).await;
        for job in ["j0", "j1", "j2"] {
            node.submit(job, &["i1"]).await;
        }
        sleep_ms(39_000).await;
        let runs = runs(&world, id);
        assert!((1..=MAX_RUNS).contains(&runs), "{id}: {runs}");
    }
}
