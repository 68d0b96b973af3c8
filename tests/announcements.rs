//! Which of several announcements of the same event a node passes on.

use std::time::Duration;

use mulberrycourse::decide::Announcements;
use proptest::prelude::*;

const MS: fn(u64) -> Duration = Duration::from_millis;

proptest! {
    /// Guards against a node that no announcement reaches because the nodes on its way passed on
    /// others: whatever the order in which nodes receive them, all pass on the lowest one.
    #[test]
    fn every_node_passes_on_the_lowest_announcement(
        orders in prop::collection::vec(Just((0..8_u64).collect::<Vec<_>>()).prop_shuffle(), 1..20)
    ) {
        for order in orders {
            let mut node = Announcements::default();
            let passed: Vec<u64> =
                order.into_iter().filter(|id| node.passes_on(*id, MS(10 + id))).collect();
            prop_assert_eq!(passed.last(), Some(&0));
            prop_assert!(passed.is_sorted_by(|a, b| a > b));
        }
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
    assert!(node.passes_on(11, MS(4_000)), "this node has not noticed the outage in between");
}
