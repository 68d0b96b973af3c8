//! Tests of the nodes that a client is told to use.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeSet;

use mulberrycourse::Name;
use mulberrycourse::decide::load::{ClientNode, MAX_ADDRESSES, NodeCapacity, addresses_for_zone};
use mulberrycourse::decide::rendezvous_rank;

/// The largest and the smallest machine of a customer.
const LARGE: NodeCapacity = NodeCapacity {
    millicores: Some(500),
    memory_mb: Some(512),
    descriptors: Some(10_250),
    link_mbps: Some(200),
};
const SMALL: NodeCapacity = NodeCapacity {
    millicores: Some(90),
    memory_mb: Some(120),
    descriptors: Some(3_075),
    link_mbps: Some(45),
};

/// Nodes in three zones whose addresses are their indexes, with a capacity by index.
fn nodes(count: usize, capacity: impl Fn(usize) -> NodeCapacity) -> Vec<ClientNode<usize>> {
    let node = |i: usize| ClientNode {
        name: Name::from(format!("n{i}")),
        address: i,
        zone: Some(format!("z{}", i % 3).into()),
        weight: capacity(i).client_weight(),
    };
    (0..count).map(node).collect()
}

/// Guards against nodes that are left out although a response has room for all.
#[test]
fn all_are_returned_if_they_are_few() {
    let list = nodes(MAX_ADDRESSES, |i| if i % 2 == 0 { LARGE } else { SMALL });
    assert_eq!(addresses_for_zone("z0", &list), (0..MAX_ADDRESSES).collect::<Vec<_>>());
}

/// Guards against addresses that change in deployments whose nodes publish neither zone nor capacity.
#[test]
fn equal_nodes_are_chosen_as_without_weights() {
    let mut list = nodes(200, |_| NodeCapacity::default());
    list.iter_mut().for_each(|node| node.zone = None);
    let ranked = rendezvous_rank("z0", list.iter().map(|node| &*node.name));
    let expected: Vec<usize> =
        ranked[..MAX_ADDRESSES].iter().map(|name| name[1..].parse().unwrap()).collect();
    assert_eq!(addresses_for_zone("z0", &list), expected);
}

/// Guards against as many clients at the smallest machines as at the largest.
#[test]
fn large_machines_are_chosen_more_often() {
    let list = nodes(300, |i| if i % 2 == 0 { LARGE } else { SMALL });
    for zone in ["z0", "z1", "z2"] {
        let chosen = addresses_for_zone(zone, &list);
        assert_eq!(chosen.iter().collect::<BTreeSet<_>>().len(), MAX_ADDRESSES);
        let large = chosen.iter().filter(|i| **i % 2 == 0).count();
        // Their weights are five to one, less as large machines of the zone run out.
        assert!((44..64).contains(&large), "{large} of 64 are large");
    }
}

/// Guards against clients that are sent to other zones, and against clients that know no node of
/// another zone when theirs is lost.
#[test]
fn most_addresses_are_in_the_zone_of_the_client() {
    for count in [150, 900] {
        let list = nodes(count, |_| LARGE);
        let own = |zone: usize| {
            let chosen = addresses_for_zone(&format!("z{zone}"), &list);
            chosen.iter().filter(|i| **i % 3 == zone).count()
        };
        // Without regard to the zone each has 64 of 3 * 64. At 150 nodes 108 are expected, at 900
        // the bound of 3 * 48 is near.
        let all: usize = (0..3).map(own).sum();
        assert!(all >= 90, "{all}");
        assert!((0..3).all(|zone| own(zone) <= 48));
    }
    let mut one_zone = nodes(100, |_| LARGE);
    one_zone.iter_mut().for_each(|node| node.zone = Some("z0".into()));
    assert_eq!(addresses_for_zone("z0", &one_zone).len(), MAX_ADDRESSES);
    one_zone[0].zone = Some("z1".into());
    let chosen = addresses_for_zone("z0", &one_zone);
    assert_eq!(chosen.len(), MAX_ADDRESSES);
}

/// Guards against clients that all move when one node goes.
#[test]
fn a_node_that_goes_is_replaced_by_one() {
    let list = nodes(200, |i| if i % 2 == 0 { LARGE } else { SMALL });
    let before: BTreeSet<usize> = addresses_for_zone("z1", &list).into_iter().collect();
    for lost in before.iter().copied() {
        let rest: Vec<_> = list.iter().filter(|n| n.address != lost).cloned().collect();
        let after: BTreeSet<usize> = addresses_for_zone("z1", &rest).into_iter().collect();
        assert_eq!(before.difference(&after).collect::<Vec<_>>(), [&lost]);
    }
}
