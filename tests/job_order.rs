//! Tests of the order in which the jobs of several organisations are run.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;

use mulberrycourse::Name;
use mulberrycourse::decide::job::JobOrder;
use proptest::prelude::*;

fn owner(name: &str) -> Option<Name> {
    Some(name.into())
}

/// One organisation submits twenty jobs; each other organisation waits for one of them, not for
/// all.
#[test]
fn an_organisation_with_many_jobs_does_not_delay_the_others() {
    let mut order = JobOrder::default();
    let greedy: Vec<u64> = (0..20).map(|_| order.begin(owner("greedy"), 100)).collect();
    for other in ["a", "b", "c"] {
        let tag = order.begin(owner(other), 100);
        let before = greedy.iter().filter(|g| **g < tag).count();
        assert_eq!(before, 1, "{other}");
    }
    // The next jobs of the others alternate with the next ones of the first organisation.
    let next = order.begin(owner("a"), 100);
    assert!(greedy[1] <= next && next < greedy[2], "{next}");
}

/// One large job counts as much as many small ones.
#[test]
fn the_next_job_after_a_large_one_waits_for_as_many_samples_of_others() {
    let mut order = JobOrder::default();
    order.begin(owner("large"), 1_000);
    let next = order.begin(owner("large"), 1_000);
    let small: Vec<u64> = (0..12).map(|_| order.begin(owner("small"), 100)).collect();
    assert_eq!(small.iter().filter(|s| **s < next).count(), 10);
}

#[test]
fn an_idle_organisation_accumulates_no_credit() {
    let mut order = JobOrder::default();
    let first = order.begin(owner("a"), 100);
    let second = order.begin(owner("a"), 100);
    order.end(first);
    // Its job starts at the present virtual time, not at the beginning.
    let resumed = order.begin(owner("b"), 100);
    assert!(resumed >= second);
    order.end(second);
    order.end(resumed);
    let next = order.begin(owner("a"), 100);
    assert_eq!(order.begin(owner("b"), 100), next + 1);
}

proptest! {
    /// Jobs of one organisation keep their order, start tags are unique, and the jobs of a single
    /// organisation are served in order of arrival.
    #[test]
    fn jobs_of_one_organisation_keep_their_order(
        steps in prop::collection::vec((0..4_usize, 0..300_usize, any::<bool>()), 1..80),
    ) {
        let mut order = JobOrder::default();
        let mut open: BTreeMap<u64, usize> = BTreeMap::new();
        for (owner, samples, end) in steps {
            if end {
                if let Some((tag, _)) = open.pop_first() {
                    order.end(tag);
                }
                continue;
            }
            let name = (owner > 0).then(|| Name::from(format!("o{owner}")));
            let tag = order.begin(name, samples);
            let earlier = open.iter().filter(|(_, o)| **o == owner).map(|(t, _)| *t).max();
            prop_assert!(earlier.is_none_or(|e| e < tag), "{tag} after {earlier:?}");
            prop_assert!(open.insert(tag, owner).is_none());
        }
    }
}
