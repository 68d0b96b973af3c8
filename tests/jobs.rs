//! Tests of the state of a batch job on the node that owns it.
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
        routes_version: 0,
    })
}

/// More slots than any step has samples.
const UNLIMITED_SLOTS: usize = 10_000;

fn ids(job: &Job) -> Vec<Name> {
    job.pending_items(UNLIMITED_SLOTS).iter().map(|i| i.id.clone()).collect()
}

#[test]
fn the_longest_samples_begin_first() {
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

/// Runs the samples in this order on `slots` slots. Returns how many groups are complete at the
/// time `by`, and when all are.
fn simulate(order: Vec<Arc<ItemSpec>>, slots: usize, by: u64) -> (usize, u64) {
    let mut free = vec![0; slots];
    let mut ends: HashMap<Name, u64> = HashMap::new();
    for item in order {
        let next = free.iter_mut().min().unwrap();
        *next += item.length_hint.unwrap();
        let end = ends.entry(item.group.clone()).or_default();
        *end = (*end).max(*next);
    }
    let last = ends.values().max().copied().unwrap();
    (ends.values().filter(|end| **end <= by).count(), last)
}

/// Load pattern: a step whose work is a quarter more than its slots can do in its time. If its
/// samples began by length, hardly any group would be complete by then.
#[test]
fn a_late_step_completes_the_groups_that_fit() {
    let (in_time, last) = simulate(step().pending_items(12), 12, 80);
    assert!(last > 80, "the step is late: {last}");
    assert!(in_time >= 5, "{in_time} of 10 groups in time");
    let (by_length, _) = simulate(step().pending_items(UNLIMITED_SLOTS), 12, 80);
    assert!(by_length <= 2, "{by_length} of 10 groups in time");
}

/// With enough slots the long samples begin first, and the step ends with them.
#[test]
fn a_step_with_enough_slots_ends_with_its_longest_samples() {
    assert_eq!(simulate(step().pending_items(40), 40, 50), (10, 50));
}

#[test]
fn an_ended_job_has_no_pending_items_and_ignores_results() {
    let mut job = Job::new(spec(&[None, None]), Vec::new());
    job.end();
    assert!(job.pending_items(UNLIMITED_SLOTS).is_empty());
    assert_eq!(job.finish("i0", ItemState::Dead), FinishEffect::Unwanted);
}

#[test]
fn the_last_sample_of_a_group_completes_it() {
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
    /// Results are partly written, lost, or taken over by another node: no sample has two
    /// positions, and a position never changes.
    #[test]
    fn positions_never_change(
        steps in proptest::collection::vec((0_u8..3, 0_usize..6), 1..40),
    ) {
        let spec = spec(&[None; 6]);
        let mut job = Job::new(spec.clone(), Vec::new());
        let mut stored: Vec<Arc<ItemResult>> = Vec::new();
        for (step, n) in steps {
            match step {
                0 => {
                    job.finish(&format!("i{n}"), ItemState::Dead);
                }
                1 => {
                    let (position, batch) = job.next_batch(usize::MAX);
                    prop_assert_eq!(position, stored.len());
                    let count = n.min(batch.len());
                    stored.extend(batch.into_iter().take(count));
                    job.mark_written(count);
                }
                _ => job = Job::new(spec.clone(), stored.clone()),
            }
            prop_assert_eq!(job.written_results(), &*stored);
            let mut seen: Vec<&Name> = stored.iter().map(|l| &l.id).collect();
            seen.sort_unstable();
            seen.dedup();
            prop_assert_eq!(seen.len(), stored.len());
            prop_assert_eq!(job.all_written(), stored.len() == 6);
        }
    }
}

/// Guards against writing all results of a step at once after an outage: they exceeded the maximum
/// size of a value of the store, which refused every attempt.
#[test]
fn results_that_exceed_one_value_are_written_in_batches() {
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
fn a_result_above_the_maximum_size_is_written_alone() {
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

/// Guards against writing results every tenth of a second from the first one on, 20 writes a step,
/// although a trainer continues only with the groups that it wants.
#[test]
fn results_are_urgent_once_nearly_all_wanted_groups_are_complete() {
    let mut job = Job::new(in_groups(33, 4, 30), Vec::new());
    let mut urgent_at = None;
    for i in 0..33 * 4 {
        if job.is_urgent() && urgent_at.is_none() {
            urgent_at = Some(i / 4);
        }
        job.finish(&format!("i{i}"), ItemState::Dead);
    }
    assert_eq!(urgent_at, Some(26));
    assert!(job.all_finished() && job.is_urgent());
}

#[test]
fn results_are_always_urgent_if_the_number_of_wanted_groups_is_unknown() {
    assert!(Job::new(spec(&[None, None]), Vec::new()).is_urgent());
}

#[test]
fn groups_in_the_store_count_as_complete() {
    let spec = in_groups(5, 2, 5);
    let listed = (0..6).map(|i| ItemResult { id: format!("i{i}").into(), state: ItemState::Dead });
    assert!(!Job::new(spec.clone(), Vec::new()).is_urgent());
    assert!(Job::new(spec, listed.map(Arc::new).collect()).is_urgent());
}

/// Decodes submissions of earlier versions, which had no version of the configuration, or also no
/// organisation, or also no number of wanted groups.
#[test]
fn a_submission_without_added_fields_is_decoded() {
    let spec = JobSpec::clone(&spec(&[Some(3), None]));
    let mut bytes = bincode::serde::encode_to_vec(&spec, bincode::config::standard()).unwrap();
    assert_eq!(JobSpec::decode(bytes.clone()).unwrap(), spec);
    for _ in 0..3 {
        assert_eq!(bytes.pop(), Some(0));
        assert_eq!(JobSpec::decode(bytes.clone()).unwrap(), spec);
    }
    bytes.truncate(bytes.len() / 2);
    assert!(JobSpec::decode(bytes).is_err());
}

proptest! {
    /// Guards against the end of a group being reported twice, early or not at all, in whatever
    /// order its samples end and whichever of them had a result before.
    #[test]
    fn each_group_ends_once_with_its_last_sample(
        groups in proptest::collection::vec(0_u8..4, 1..20),
        order in proptest::collection::vec(any::<prop::sample::Index>(), 40),
        written in 0_usize..20,
    ) {
        let mut spec = JobSpec::clone(&spec(&vec![None; groups.len()]));
        for (item, group) in spec.items.iter_mut().zip(&groups) {
            let group = format!("g{group}").into();
            *item = Arc::new(ItemSpec { group, ..ItemSpec::clone(item) });
        }
        let result = |item: &Arc<ItemSpec>| {
            Arc::new(ItemResult { id: item.id.clone(), state: ItemState::Dead })
        };
        let done: Vec<_> = spec.items.iter().take(written).map(result).collect();
        let mut open: HashMap<Name, usize> = HashMap::new();
        for item in spec.items.iter().skip(written) {
            *open.entry(item.group.clone()).or_default() += 1;
        }
        let items = spec.items.clone();
        let mut job = Job::new(Arc::new(spec), done);
        let order = order.iter().map(|index| index.get(&items)).chain(&items);
        for item in order {
            let first = job.pending_items(UNLIMITED_SLOTS).iter().any(|i| i.id == item.id);
            let effect = job.finish(&item.id, ItemState::Dead);
            let left = open.get_mut(&item.group).filter(|_| first).map(|left| {
                *left -= 1;
                *left
            });
            prop_assert_eq!(effect, match left {
                None => FinishEffect::Unwanted,
                Some(0) => FinishEffect::Group,
                Some(_) => FinishEffect::Sample,
            });
        }
        prop_assert!(job.all_finished());
    }
}
