//! Which of several announcements of the same event a node passes on.

use std::time::Duration;

use mulberrycourse::decide::Announcements;
use proptest::prelude::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

proptest! {
    /// Guards against a node that neither of two announcements reaches because the nodes on its way
    /// passed on the other one, and against a node that sends a part of each of many trees.
    #[test]
    fn every_node_passes_on_the_lower_of_two_and_no_more_than_two(
        order in Just((0..8_u64).collect::<Vec<_>>()).prop_shuffle()
    ) {
        let mut node = Announcements::default();
        let passed: Vec<u64> =
            order.iter().copied().filter(|id| node.passes_on(*id, MS(10 + id))).collect();
        prop_assert!(passed.len() <= 2 && passed.is_sorted_by(|a, b| a > b));
        let mut node = Announcements::default();
        let two = &order[..2];
        let passed: Vec<u64> =
            two.iter().copied().filter(|id| node.passes_on(*id, MS(10 + id))).collect();
        prop_assert_eq!(passed.last(), two.iter().min());
    }
}

/// Guards against the end of a second outage being taken for the end of the first.
#[test]
fn a_later_outage_is_announced_again() {
    let mut node = Announcements::default();
    assert!(node.passes_on(5, MS(0)));
    assert!(!node.passes_on(5, MS(100)));
    assert!(!node.passes_on(9, MS(100)));
    assert!(node.is_under_way(MS(100)));
    node.outage_began();
    assert!(!node.is_under_way(MS(200)));
    assert!(node.passes_on(9, MS(900)));
    assert!(node.passes_on(8, MS(910)));
    assert!(!node.passes_on(7, MS(920)), "two are enough");
    assert!(node.passes_on(11, MS(4_000)), "this node has not noticed the outage in between");
}
