//! Counting the failures of a job's requests, and deciding whether a request may run again.
#![allow(clippy::unwrap_used)]

use std::collections::HashMap;

use mulberrycourse::Name;
use mulberrycourse::decide::failures::{
    EarlierRuns, FailureCount, JobFailures, RequestFailure, RetryDecision,
};
use proptest::prelude::*;

const MAX_ATTEMPTS: u32 = 3;
/// The runs after which a request that has failed must not run again.
const MAX_RUNS: u32 = 9;

fn failed(failed: u32) -> FailureCount {
    FailureCount { failed, ..FailureCount::default() }
}

#[test]
fn a_request_is_given_up_after_the_attempts_of_its_route() {
    assert_eq!(failed(0).decide(MAX_ATTEMPTS, true), RetryDecision::Run);
    assert_eq!(failed(2).decide(MAX_ATTEMPTS, true), RetryDecision::Run);
    assert_eq!(failed(3).decide(MAX_ATTEMPTS, true), RetryDecision::GiveUp);
}

#[test]
fn a_request_that_can_never_succeed_is_given_up_at_once() {
    let count = FailureCount { rejected: true, ..FailureCount::default() };
    assert_eq!(count.decide(MAX_ATTEMPTS, true), RetryDecision::GiveUp);
}

#[test]
fn a_request_without_responses_is_held_after_all_its_runs() {
    let unknown = |unknown| FailureCount { unknown, ..FailureCount::default() };
    assert_eq!(unknown(MAX_RUNS - 1).decide(MAX_ATTEMPTS, true), RetryDecision::Run);
    assert_eq!(unknown(MAX_RUNS).decide(MAX_ATTEMPTS, true), RetryDecision::Hold);
}

#[test]
fn a_request_with_two_open_runs_waits_for_one_to_end() {
    let request = Name::from("i1");
    let failures = JobFailures::default();
    assert_eq!(failures.decide(&request, MAX_ATTEMPTS, 1), RetryDecision::Run);
    assert_eq!(failures.decide(&request, MAX_ATTEMPTS, 2), RetryDecision::Await);
}

#[test]
fn a_request_that_may_have_open_runs_elsewhere_has_one_here() {
    let request = Name::from("i1");
    let counted = |count| HashMap::from([(request.clone(), count)]);
    let unknown = FailureCount { unknown: 2, ..FailureCount::default() };
    let failures = JobFailures::restored(counted(unknown), 1);
    assert_eq!(failures.decide(&request, MAX_ATTEMPTS, 0), RetryDecision::Run);
    assert_eq!(failures.decide(&request, MAX_ATTEMPTS, 1), RetryDecision::Await);
    let failures = JobFailures::restored(counted(FailureCount { failed: 1, ..unknown }), 1);
    assert_eq!(failures.decide(&request, MAX_ATTEMPTS, 1), RetryDecision::Run);
}

#[test]
fn a_request_that_may_have_failed_too_often_is_held_until_enough_responses_say_so() {
    let count = FailureCount { failed: 1, unknown: 7, ..FailureCount::default() };
    assert_eq!(count.decide(MAX_ATTEMPTS, true), RetryDecision::Run);
    let count = FailureCount { unknown: 8, ..count };
    assert_eq!(count.decide(MAX_ATTEMPTS, true), RetryDecision::Hold);
    let count = FailureCount { earlier_failed: 3, ..count };
    assert_eq!(count.decide(MAX_ATTEMPTS, true), RetryDecision::GiveUp);
}

#[test]
fn counts_of_several_jobs_add_up() {
    let mut earlier = EarlierRuns::default();
    earlier.add(&failed(2));
    earlier.add(&FailureCount { earlier_failed: 2, earlier_unknown: 1, ..failed(3) });
    earlier.add(&failed(1));
    let mut count = FailureCount::default();
    count.set_earlier(&earlier);
    assert_eq!((count.earlier_failed, count.earlier_unknown), (6, 3));
}

#[test]
fn counts_of_a_deleted_job_are_kept_by_the_job_after_it() {
    let mut earlier = EarlierRuns::default();
    earlier.add(&FailureCount { earlier_failed: 4, earlier_unknown: 2, ..failed(1) });
    let mut count = FailureCount::default();
    count.set_earlier(&earlier);
    assert_eq!((count.earlier_failed, count.earlier_unknown), (5, 3));
}

#[test]
fn each_run_after_a_failure_waits_for_the_store() {
    let request = Name::from("i1");
    let mut failures = JobFailures::default();
    assert_eq!(failures.reserve(&request), None);
    failures.begin(&request).set(true);
    assert!(failures.unstored().is_none());
    failures.end(&request, Some(RequestFailure::Failed));
    assert!(!failures.must_be_stored());
    let number = failures.reserve(&request).unwrap();
    assert!(failures.must_be_stored());
    let (counts, _) = failures.unstored().unwrap();
    assert_eq!(counts, [(request.clone(), FailureCount { unknown: 1, ..failed(1) })]);
    failures.mark_stored(number);
    assert!(!failures.must_be_stored());
    failures.begin(&request).set(true);
    failures.end(&request, Some(RequestFailure::Failed));
    assert_eq!(failures.count(&request), failed(2));
}

#[test]
fn the_third_run_without_a_response_waits_for_the_store() {
    let request = Name::from("i1");
    let mut failures = JobFailures::default();
    for _ in 0..2 {
        assert_eq!(failures.reserve(&request), None);
        failures.begin(&request).set(true);
        failures.end(&request, Some(RequestFailure::Unknown));
    }
    assert!(failures.must_be_stored());
    assert!(failures.reserve(&request).is_some());
}

#[test]
fn a_rejection_is_stored_soon() {
    let request = Name::from("i1");
    let mut failures = JobFailures::default();
    failures.begin(&request).set(true);
    failures.end(&request, Some(RequestFailure::Rejected));
    assert!(failures.must_be_stored());
}

#[test]
fn an_owner_that_stops_counts_the_first_runs_that_it_has_sent() {
    let (sent, waiting) = (Name::from("i1"), Name::from("i2"));
    let mut failures = JobFailures::default();
    failures.begin(&sent).set(true);
    failures.begin(&waiting);
    let (counts, _) = failures.unstored_at_end().unwrap();
    assert_eq!(counts, [(sent, FailureCount { unknown: 1, ..failed(0) })]);
}

#[test]
fn a_response_to_a_late_run_replaces_the_run_without_one() {
    let request = Name::from("i1");
    let mut failures = JobFailures::default();
    failures.begin(&request);
    failures.end(&request, Some(RequestFailure::Unknown));
    failures.settle(&request, Some(RequestFailure::Failed));
    assert_eq!(failures.count(&request), failed(1));
    failures.settle(&request, Some(RequestFailure::Rejected));
    assert!(failures.count(&request).rejected);
}

/// A step in the life of a request that fails at every run.
#[derive(Debug, Clone, Copy)]
enum Event {
    /// A run fails with a response.
    Failed,
    /// A run brings no response.
    Unknown,
    /// The owner crashes during a run, and a new one has what the store has.
    OwnerCrashes,
    /// The owner leaves during a run.
    OwnerDrains,
    /// The trainer ends the job during a run, and submits the request again.
    JobEnded,
    /// The same, and the owner crashes at that moment.
    JobEndedAndOwnerCrashes,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        Just(Event::Failed),
        Just(Event::Unknown),
        Just(Event::OwnerCrashes),
        Just(Event::OwnerDrains),
        Just(Event::JobEnded),
        Just(Event::JobEndedAndOwnerCrashes)
    ]
}

/// What the store has of the request in one job.
type Stored = HashMap<Name, FailureCount>;

fn snapshot(unstored: Option<(Vec<(Name, FailureCount)>, u64)>, stored: &mut Stored) {
    if let Some((counts, _)) = unstored {
        *stored = counts.into_iter().collect();
    }
}

/// A new job with the same request, after these others.
fn next_job(request: &Name, others: &[Stored]) -> JobFailures {
    let mut earlier = EarlierRuns::default();
    others.iter().filter_map(|stored| stored.get(request)).for_each(|count| earlier.add(count));
    let mut job = JobFailures::default();
    job.set_earlier(&HashMap::from([(request.clone(), earlier)]));
    job
}

proptest! {
    /// Once a run is counted, no order of losses lets a request run more often than is allowed.
    #[test]
    fn a_failing_request_runs_a_bounded_number_of_times(
        lost in 0u32..4,
        first in prop_oneof![Just(RequestFailure::Failed), Just(RequestFailure::Unknown)],
        events in prop::collection::vec(event(), 1..60),
    ) {
        let request = Name::from("i1");
        let (mut job, mut takeovers) = (JobFailures::restored(HashMap::new(), lost), lost);
        let (mut stored, mut others) = (Stored::new(), Vec::new());
        job.begin(&request).set(true);
        job.end(&request, Some(first));
        let mut runs = 2 * lost + 1;
        for event in events {
            if job.decide(&request, MAX_ATTEMPTS, 0) != RetryDecision::Run {
                break;
            }
            if job.reserve(&request).is_some() {
                snapshot(job.unstored(), &mut stored);
            }
            job.begin(&request).set(true);
            runs += 1;
            match event {
                Event::Failed => {
                    job.end(&request, Some(RequestFailure::Failed));
                }
                Event::Unknown => {
                    job.end(&request, Some(RequestFailure::Unknown));
                }
                Event::OwnerCrashes | Event::OwnerDrains => {
                    if matches!(event, Event::OwnerDrains) {
                        snapshot(job.unstored_at_end(), &mut stored);
                    }
                    takeovers += 1;
                    job = JobFailures::restored(stored.clone(), takeovers);
                }
                Event::JobEnded | Event::JobEndedAndOwnerCrashes => {
                    // A crash loses the runs of a job that has stored none.
                    if matches!(event, Event::JobEnded) || stored.is_empty() {
                        snapshot(job.unstored_at_end(), &mut stored);
                    }
                    others.push(std::mem::take(&mut stored));
                    job = next_job(&request, &others);
                    takeovers = 0;
                }
            }
        }
        prop_assert!(runs <= MAX_RUNS, "{runs}");
    }
}
