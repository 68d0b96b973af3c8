//! Tests that no node returns fewer results of a job than the store has confirmed, when the node's
//! view of the job or of its ownership is old, deaf or cut at any step of a read and of a takeover.

use std::sync::Arc;
use std::time::Duration;

use mulberrycourse::decide::job::ItemResult;
use mulberrycourse::entry::{Lookup, PeerRequest, ReadResult};
use standins::kv::{Faults, Outage};

use crate::links::Link;
use crate::world::{Node, World, sleep_ms, wait_until};

/// Events of the second sample: its result comes 1.4 s after the first one's.
const SECOND_EVENTS: u64 = 45;
/// Events of the third sample: its result comes 3.5 s after the first one's.
const THIRD_EVENTS: u64 = 105;
const JOB: &str = "j";
const ITEMS: [&str; 3] = ["i1", "i2", "i3"];

/// What happens to a node's view of the store, and to the history from which it could catch up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    /// Nothing.
    None,
    /// The history is dropped, and no watch is told.
    SilentCompaction,
    /// The history is dropped, and all watches are cut.
    Compaction,
    /// The node's watches stay open without an answer for two and a half seconds, after which the
    /// history is gone.
    Hanging,
    /// The node's calls are refused for two and a half seconds, after which the history is gone.
    Refused,
    /// The other nodes do not reach the node, and it does not reach them.
    Isolated,
}

const DISTURBANCES: [Disturbance; 6] = [
    Disturbance::None,
    Disturbance::SilentCompaction,
    Disturbance::Compaction,
    Disturbance::Hanging,
    Disturbance::Refused,
    Disturbance::Isolated,
];

/// When the disturbance begins.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// Before the node has read the job.
    BeforeRead,
    /// Right after the node has read the first result.
    AfterRead,
    /// Right after the second result was written.
    AfterWrite,
    /// Right after the job was ended.
    AfterEnd,
}

const STEPS: [Step; 4] = [Step::BeforeRead, Step::AfterRead, Step::AfterWrite, Step::AfterEnd];

/// Returns the results that the store has.
fn confirmed(world: &World) -> Vec<Arc<ItemResult>> {
    let batches = world.kv.items("mulberry/job/j/results");
    let decode = |value: &[u8]| {
        let config = bincode::config::standard();
        let decoded = bincode::serde::decode_from_slice::<Vec<Arc<ItemResult>>, _>(value, config);
        decoded.unwrap().0
    };
    batches.iter().flat_map(|batch| decode(&batch.value)).collect()
}

async fn wait_for_results(world: &World, count: usize) {
    wait_until(|| confirmed(world).len() >= count).await;
}

/// Reads each position that the store has results for. A node may say that it is not sure, but not
/// that there is no job, no result, or another result.
async fn assert_reads_all(world: &World, node: &Node, case: &str) {
    let stored = confirmed(world);
    for (position, result) in stored.iter().enumerate() {
        match node.app().read(JOB, position, Duration::ZERO).await {
            ReadResult::Unsure => {}
            ReadResult::Page { results, .. } => {
                assert_eq!(results.first(), Some(result), "{case}, position {position}");
            }
            ReadResult::Unknown => panic!("{case}: the job is unknown"),
        }
    }
    assert_ne!(node.app().sample_body(JOB, "i3").await, Lookup::Unknown, "{case}");
}

async fn disturb(world: &World, node: &Node, disturbance: Disturbance) {
    let outage = match disturbance {
        Disturbance::None => return,
        Disturbance::SilentCompaction => return world.kv.compact_silently(),
        Disturbance::Compaction => return world.kv.compact(),
        Disturbance::Isolated => {
            node.isolate();
            return node.set_link(Link::Silent);
        }
        Disturbance::Hanging => Outage::Hanging,
        Disturbance::Refused => Outage::Refusing,
    };
    node.store.set_faults(Faults { outage: Some(outage), ..Faults::default() });
    sleep_ms(2_500).await;
    world.kv.compact_silently();
    node.store.set_faults(Faults::default());
}

/// Starts three linked nodes and submits a job of three samples. The first node is its owner.
async fn start_job(world: &World) -> [Node; 3] {
    let mut nodes = Vec::new();
    for name in ["a", "b", "c"] {
        nodes.push(world.linked_node(name).await);
    }
    sleep_ms(1_000).await;
    world.replicas.set_event_count("i2", SECOND_EVENTS);
    world.replicas.set_event_count("i3", THIRD_EVENTS);
    nodes[0].submit(JOB, &ITEMS).await;
    let key = world.kv.items("mulberry/home/j").remove(0);
    let text = String::from_utf8(key.value.to_vec()).unwrap();
    nodes.sort_by_key(|node| !text.contains(&format!("\"{}.", node.app().settings.name)));
    nodes.try_into().unwrap_or_else(|_| unreachable!())
}

/// Guards against a reader that answers from its view of the store although the view has missed
/// changes, and says that there is no result at a position that was read before.
#[tokio::test(start_paused = true)]
async fn a_reader_with_a_disturbed_view_hides_no_results() {
    for disturbance in DISTURBANCES {
        for step in STEPS {
            // With the owner out of reach, the reader depends on its view of the store.
            for owner_reached in [true, false] {
                let world = World::new();
                let [owner, reader, other] = start_job(&world).await;
                let case = format!("{disturbance:?} {step:?} owner reached {owner_reached}");
                if !owner_reached {
                    owner.set_link(Link::Refusing);
                }
                wait_for_results(&world, 1).await;
                if step == Step::BeforeRead {
                    disturb(&world, &reader, disturbance).await;
                }
                assert_reads_all(&world, &reader, &case).await;
                if step == Step::AfterRead {
                    disturb(&world, &reader, disturbance).await;
                }
                wait_for_results(&world, 2).await;
                if step == Step::AfterWrite {
                    disturb(&world, &reader, disturbance).await;
                }
                assert_reads_all(&world, &reader, &case).await;
                wait_for_results(&world, 3).await;
                other.app().end_job(JOB).await;
                if step == Step::AfterEnd {
                    disturb(&world, &reader, disturbance).await;
                }
                assert_reads_all(&world, &reader, &case).await;
                sleep_ms(4_000).await;
                assert_reads_all(&world, &reader, &case).await;
            }
        }
    }
}

/// Guards against an owner that has lost its job to another node and still answers for it, itself or
/// to other nodes, with fewer results than the new owner has written.
#[tokio::test(start_paused = true)]
async fn a_replaced_owner_hides_no_results() {
    for outage in [Outage::Hanging, Outage::Refusing, Outage::Unresponsive] {
        let world = World::new();
        let [owner, b, c] = start_job(&world).await;
        wait_for_results(&world, 1).await;
        // The owner reaches neither the store nor other nodes, so that its lease ends.
        owner.isolate();
        owner.store.set_faults(Faults { outage: Some(outage), ..Faults::default() });
        wait_for_results(&world, 3).await;
        for (name, node) in [("owner", &owner), ("b", &b), ("c", &c)] {
            assert_reads_all(&world, node, &format!("{outage:?}, {name}, cut")).await;
        }
        world.kv.compact_silently();
        owner.store.set_faults(Faults::default());
        for wait in [0, 20, 100, 500, 1_000, 2_000, 4_000] {
            sleep_ms(wait).await;
            for (name, node) in [("owner", &owner), ("b", &b), ("c", &c)] {
                assert_reads_all(&world, node, &format!("{outage:?}, {name}, {wait} ms")).await;
            }
            let request = PeerRequest::Read { job: JOB.into(), after: 2, wait: Duration::ZERO };
            let read = b.request_results(&owner, request).await;
            if let Some(Some(ReadResult::Page { results, .. })) = read {
                assert_eq!(results.len(), 1, "{outage:?}, peer read after {wait} ms");
            }
        }
    }
}

/// Guards against a replaced owner that keeps its own results as those of an ended job, because its
/// trainer ends the job there: the new owner has written more.
#[tokio::test(start_paused = true)]
async fn a_job_that_is_ended_at_a_replaced_owner_keeps_all_results() {
    let world = World::new();
    let [owner, b, c] = start_job(&world).await;
    wait_for_results(&world, 1).await;
    owner.isolate();
    owner.store.set_faults(Faults { outage: Some(Outage::Hanging), ..Faults::default() });
    wait_for_results(&world, 2).await;
    let ended = async {
        // The store answers again while the trainer's request is under way.
        let end = owner.app().end_job(JOB);
        let heal = async {
            sleep_ms(1).await;
            owner.store.set_faults(Faults::default());
        };
        tokio::join!(end, heal).0
    };
    assert_eq!(ended.await, Lookup::Found(()));
    for wait in [0, 100, 1_000, 4_000] {
        sleep_ms(wait).await;
        for (name, node) in [("owner", &owner), ("b", &b), ("c", &c)] {
            assert_reads_all(&world, node, &format!("{name}, {wait} ms")).await;
        }
    }
}

/// Guards against an owner that says that there is no result while the store has taken its write of
/// that result and has not answered yet: other nodes read it from the store.
#[tokio::test(start_paused = true)]
async fn an_owner_with_an_unanswered_write_hides_no_results() {
    let world = World::new();
    let [owner, b, _c] = start_job(&world).await;
    b.isolate();
    owner.store.set_faults(Faults { lost_writes: 100, ..Faults::default() });
    wait_for_results(&world, 1).await;
    assert_reads_all(&world, &b, "b").await;
    for _ in 0..40 {
        assert_reads_all(&world, &owner, "owner").await;
        sleep_ms(50).await;
    }
}
