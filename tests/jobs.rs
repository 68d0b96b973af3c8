//! The state of a batch job at its home.
#![allow(clippy::unwrap_used)]

use std::collections::HashMap;
use std::sync::Arc;

use bytes::Bytes;
use mulberrycourse::Name;
use mulberrycourse::decide::job::{FinishEffect, ItemResult, ItemSpec, ItemState, Job, JobSpec};
use proptest::prelude::*;

fn spec(lengths: &[Option<u64>]) -> Arc<JobSpec> {
    let item = |(index, length): (usize, &Option<u64>)| {
        Arc::new(ItemSpec {
            id: format!("i{index}").into(),
            path: "/x".into(),
            headers: Vec::new(),
            body: Bytes::new(),
            group: "g".into(),
            length_hint: *length,
            scorer: None,
        })
    };
    Arc::new(JobSpec {
        id: "j".into(),
        host: "h".into(),
        path: "/jobs/j".into(),
        model: None,
        min_version: 0,
        items: lengths.iter().enumerate().map(item).collect(),
        wanted_groups: None,
        organisation: None,
    })
}

/// More places than any step has samples.
const ALL: usize = 10_000;

fn ids(job: &Job) -> Vec<Name> {
    job.pending_items(ALL).iter().map(|i| i.id.clone()).collect()
}

#[test]
fn the_longest_are_begun_first() {
    let job = Job::new(spec(&[Some(10), Some(900), None, Some(50)]), Vec::new());
    assert_eq!(ids(&job).iter().map(|i| &**i).collect::<Vec<_>>(), ["i1", "i3", "i0", "i2"]);
}

/// A step of ten groups of eight samples of differing length, one of each group far longer.
fn step() -> Job {
    let lengths: Vec<Option<u64>> =
        (0..80).map(|i| Some(if i % 8 == 3 { 50 } else { 6 + i * 7 % 9 })).collect();
    let mut spec = JobSpec::clone(&spec(&lengths));
    for (i, item) in spec.items.iter_mut().enumerate() {
        let group = format!("g{}", i / 8).into();
        *item = Arc::new(ItemSpec { group, ..ItemSpec::clone(item) });
    }
    Job::new(Arc::new(spec), Vec::new())
}

/// The groups that are whole at a time, and when all are, where so many samples run at once.
fn play(order: Vec<Arc<ItemSpec>>, places: usize, by: u64) -> (usize, u64) {
    let mut free = vec![0; places];
    let mut whole: HashMap<Name, u64> = HashMap::new();
    for item in order {
        let next = free.iter_mut().min().unwrap();
        *next += item.length_hint.unwrap();
        let end = whole.entry(item.group.clone()).or_default();
        *end = (*end).max(*next);
    }
    let last = whole.values().max().copied().unwrap();
    (whole.values().filter(|end| **end <= by).count(), last)
}

/// Load pattern: a step whose work is a quarter more than its places make in its time. Begun by
/// length hardly a group is whole then.
#[test]
fn a_step_that_is_late_brings_the_groups_that_fit() {
    let (in_time, last) = play(step().pending_items(12), 12, 80);
    assert!(last > 80, "the step is late: {last}");
    assert!(in_time >= 5, "{in_time} of 10 groups in time");
    let (by_length, _) = play(step().pending_items(ALL), 12, 80);
    assert!(by_length <= 2, "{by_length} of 10 groups in time");
}

/// Where there are places enough the long samples go first, and the step ends with them.
#[test]
fn a_step_with_places_enough_ends_with_its_longest_samples() {
    assert_eq!(play(step().pending_items(40), 40, 50), (10, 50));
}

#[test]
fn an_ended_job_has_nothing_to_do_and_takes_no_results() {
    let mut job = Job::new(spec(&[None, None]), Vec::new());
    job.end();
    assert!(job.pending_items(ALL).is_empty());
    assert_eq!(job.finish("i0", ItemState::Dead), FinishEffect::Unwanted);
}

#[test]
fn the_last_of_a_group_completes_it() {
    let mut spec = JobSpec::clone(&spec(&[None, None, None]));
    let mut other = ItemSpec::clone(&spec.items[2]);
    other.group = "h".into();
    spec.items[2] = Arc::new(other);
    let mut job = Job::new(Arc::new(spec), Vec::new());
    assert_eq!(job.finish("i1", ItemState::Dead), FinishEffect::Sample);
    assert_eq!(job.finish("i2", ItemState::Dead), FinishEffect::Group);
    assert_eq!(job.finish("i0", ItemState::Dead), FinishEffect::Group);
    assert_eq!(job.finish("i0", ItemState::Dead), FinishEffect::Unwanted);
}

proptest! {
    /// Results are written in part, lost, and taken up by another home: no sample has two
    /// positions, and a position never changes.
    #[test]
    fn positions_never_change(
        steps in proptest::collection::vec((0_u8..3, 0_usize..6), 1..40),
    ) {
        let spec = spec(&[None; 6]);
        let mut job = Job::new(spec.clone(), Vec::new());
        let mut lasting: Vec<Arc<ItemResult>> = Vec::new();
        for (step, n) in steps {
            match step {
                0 => {
                    job.finish(&format!("i{n}"), ItemState::Dead);
                }
                1 => {
                    let (position, batch) = job.next_batch(usize::MAX);
                    prop_assert_eq!(position, lasting.len());
                    let count = n.min(batch.len());
                    lasting.extend(batch.into_iter().take(count));
                    job.mark_written(count);
                }
                _ => job = Job::new(spec.clone(), lasting.clone()),
            }
            prop_assert_eq!(job.written_results(), &*lasting);
            let mut seen: Vec<&Name> = lasting.iter().map(|l| &l.id).collect();
            seen.sort_unstable();
            seen.dedup();
            prop_assert_eq!(seen.len(), lasting.len());
            prop_assert_eq!(job.all_written(), lasting.len() == 6);
        }
    }
}

/// Guards: all results of a step came at once after an outage, were larger than a value of
/// the store may be, and were refused for good.
#[test]
fn results_that_do_not_fit_one_value_are_written_in_turn() {
    let mut job = Job::new(spec(&[None; 6]), Vec::new());
    for i in 0..6 {
        let output = "x".repeat(1_000);
        let state = ItemState::Completed { output, versions: vec![1], score: None };
        job.finish(&format!("i{i}"), state);
    }
    let mut batches = Vec::new();
    while !job.all_written() {
        let (position, batch) = job.next_batch(3_000);
        assert_eq!(position, batches.iter().sum::<usize>());
        batches.push(batch.len());
        job.mark_written(batch.len());
    }
    assert_eq!(batches, [2, 2, 2]);
}

#[test]
fn a_result_that_does_not_fit_is_tried_alone() {
    let mut job = Job::new(spec(&[None; 2]), Vec::new());
    job.finish("i0", ItemState::Dead);
    job.finish("i1", ItemState::Dead);
    assert_eq!(job.next_batch(1).1.len(), 1);
}

fn in_groups(groups: usize, size: usize, wanted: usize) -> Arc<JobSpec> {
    let mut spec = JobSpec::clone(&spec(&vec![None; groups * size]));
    for (i, item) in spec.items.iter_mut().enumerate() {
        Arc::make_mut(item).group = format!("g{}", i / size).into();
    }
    spec.wanted_groups = Some(wanted);
    Arc::new(spec)
}

/// Guards: results were written each tenth of a second from the first on, 20 writes a step,
/// though a trainer goes on only with the groups that it wants.
#[test]
fn results_are_awaited_once_nearly_all_wanted_groups_are_whole() {
    let mut job = Job::new(in_groups(33, 4, 30), Vec::new());
    let mut awaited_at = None;
    for i in 0..33 * 4 {
        if job.is_urgent() && awaited_at.is_none() {
            awaited_at = Some(i / 4);
        }
        job.finish(&format!("i{i}"), ItemState::Dead);
    }
    assert_eq!(awaited_at, Some(26));
    assert!(job.all_finished() && job.is_urgent());
}

#[test]
fn results_of_a_trainer_that_did_not_say_are_always_awaited() {
    assert!(Job::new(spec(&[None, None]), Vec::new()).is_urgent());
}

#[test]
fn groups_that_lie_in_the_store_count_as_whole() {
    let spec = in_groups(5, 2, 5);
    let listed = (0..6).map(|i| ItemResult { id: format!("i{i}").into(), state: ItemState::Dead });
    assert!(!Job::new(spec.clone(), Vec::new()).is_urgent());
    assert!(Job::new(spec, listed.map(Arc::new).collect()).is_urgent());
}

/// Submissions of earlier versions, which kept no organisation, or not the number of wanted groups either.
#[test]
fn a_submission_without_wanted_groups_is_read() {
    let spec = JobSpec::clone(&spec(&[Some(3), None]));
    let mut bytes = bincode::serde::encode_to_vec(&spec, bincode::config::standard()).unwrap();
    assert_eq!(JobSpec::decode(bytes.clone()).unwrap(), spec);
    for _ in 0..2 {
        assert_eq!(bytes.pop(), Some(0));
        assert_eq!(JobSpec::decode(bytes.clone()).unwrap(), spec);
    }
    bytes.truncate(bytes.len() / 2);
    assert!(JobSpec::decode(bytes).is_err());
}
