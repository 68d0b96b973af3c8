//! Which node is home to the jobs of a route.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;

use mulberrycourse::Name;
use mulberrycourse::decide::affinity::preferred_owners;
use proptest::prelude::*;

fn names(prefix: &str, count: usize) -> Vec<Name> {
    (0..count).map(|i| format!("{prefix}{i}").into()).collect()
}

#[test]
fn without_nodes_there_is_no_home() {
    assert!(preferred_owners(&names("r", 3), &[]).is_empty());
}

proptest! {
    #[test]
    fn routes_share_nodes_only_where_there_are_fewer(routes in 1_usize..9, nodes in 1_usize..30) {
        let homes = preferred_owners(&names("r", routes), &names("n", nodes));
        prop_assert_eq!(homes.len(), routes);
        let used: BTreeSet<&Name> = homes.values().collect();
        prop_assert_eq!(used.len(), routes.min(nodes));
    }

    /// The order in which a node knows routes and nodes does not matter.
    #[test]
    fn every_node_names_the_same(routes in 1_usize..9, nodes in 1_usize..30, turn in 0_usize..30) {
        let (mut a, mut b) = (names("r", routes), names("n", nodes));
        let before = preferred_owners(&a, &b);
        a.reverse();
        b.rotate_left(turn % nodes);
        prop_assert_eq!(preferred_owners(&a, &b), before);
    }

    /// A node that is home to nothing changes nothing as it goes.
    #[test]
    fn homes_stay_as_others_go(routes in 1_usize..5, nodes in 6_usize..30) {
        let (routes, mut nodes) = (names("r", routes), names("n", nodes));
        let before = preferred_owners(&routes, &nodes);
        let idle = nodes.iter().position(|n| !before.values().any(|home| home == n)).unwrap();
        nodes.remove(idle);
        prop_assert_eq!(preferred_owners(&routes, &nodes), before);
    }
}
