//! Tests of the preferred owner of the jobs of a route.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;

use mulberrycourse::Name;
use mulberrycourse::decide::affinity::preferred_owners;
use proptest::prelude::*;

fn names(prefix: &str, count: usize) -> Vec<Name> {
    (0..count).map(|i| format!("{prefix}{i}").into()).collect()
}

#[test]
fn no_owner_without_nodes() {
    assert!(preferred_owners(&names("r", 3), &[]).is_empty());
}

proptest! {
    #[test]
    fn routes_share_nodes_only_if_there_are_fewer(routes in 1_usize..9, nodes in 1_usize..30) {
        let owners = preferred_owners(&names("r", routes), &names("n", nodes));
        prop_assert_eq!(owners.len(), routes);
        let used: BTreeSet<&Name> = owners.values().collect();
        prop_assert_eq!(used.len(), routes.min(nodes));
    }

    /// The order of the lists of routes and nodes does not matter.
    #[test]
    fn every_node_derives_the_same_owners(
        routes in 1_usize..9,
        nodes in 1_usize..30,
        rotation in 0_usize..30,
    ) {
        let (mut a, mut b) = (names("r", routes), names("n", nodes));
        let before = preferred_owners(&a, &b);
        a.reverse();
        b.rotate_left(rotation % nodes);
        prop_assert_eq!(preferred_owners(&a, &b), before);
    }

    /// Removing a node that owns no route changes nothing.
    #[test]
    fn owners_stay_when_other_nodes_leave(routes in 1_usize..5, nodes in 6_usize..30) {
        let (routes, mut nodes) = (names("r", routes), names("n", nodes));
        let before = preferred_owners(&routes, &nodes);
        let idle = nodes.iter().position(|n| !before.values().any(|owner| owner == n)).unwrap();
        nodes.remove(idle);
        prop_assert_eq!(preferred_owners(&routes, &nodes), before);
    }
}
