//! Tests of what follows from the capacity of an entry node's machine.
#![allow(clippy::unwrap_used)]

use mulberrycourse::decide::load::{ConnectionBounds, NodeCapacity, RESERVED_DESCRIPTORS};
use proptest::prelude::*;

#[test]
fn unknown_descriptors_bound_connections_as_before() {
    let bounds = ConnectionBounds::new(&NodeCapacity::default());
    assert_eq!((bounds.clients, bounds.addresses, bounds.status), (1_024, 1_024, 1_024));
}

proptest! {
    /// Guards against a machine that runs out of descriptors while all its listeners are full and
    /// each client has a connection to a replica, and against a listener that accepts none.
    #[test]
    fn listeners_leave_descriptors_for_replicas(descriptors in 256_u32..100_000) {
        let capacity = NodeCapacity { descriptors: Some(descriptors), ..NodeCapacity::default() };
        let bounds = ConnectionBounds::new(&capacity);
        let accepted = bounds.clients + bounds.addresses + 2 * bounds.status;
        let usable = (descriptors - RESERVED_DESCRIPTORS) as usize;
        prop_assert!(accepted + bounds.clients <= usable, "{bounds:?}");
        prop_assert!(bounds.clients > 0 && bounds.addresses > 0 && bounds.status > 0);
    }
}
