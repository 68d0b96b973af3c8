//! Tests of how many nodes watch the store for the others.

use mulberrycourse::decide::watcher_count;

#[test]
fn small_fleets_have_three_watchers_or_one_in_sixteen() {
    assert_eq!(watcher_count(4), None);
    assert_eq!(watcher_count(5), Some(3));
    assert_eq!(watcher_count(63), Some(4));
    assert_eq!(watcher_count(250), Some(16));
}

/// Guards against calls to the store that grow as fast as the fleet, and against a load of one
/// watcher that does: a fleet four times as large has twice of both.
#[test]
fn watchers_and_the_nodes_of_each_grow_with_the_root_of_the_fleet() {
    for nodes in [256, 500, 1_000, 2_000] {
        let (few, many) = (watcher_count(nodes).unwrap_or(nodes), watcher_count(4 * nodes));
        let many = many.unwrap_or(4 * nodes);
        assert!(many <= 2 * few, "{few} watchers of {nodes} nodes, {many} of four times as many");
        assert!((4 * nodes).div_ceil(many) <= 2 * nodes.div_ceil(few) + 1);
    }
}
