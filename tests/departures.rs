//! Leaving upstream VMs get no new work.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use mulberrycourse::client::CallerClient;
use mulberrycourse::decide::{Departure, Departures};
use mulberrycourse::edge::http::JsonClient;
use mulberrycourse::edge::platform::VmState;
use mulberrycourse::node::{Node, UpstreamState};
use proptest::prelude::*;
use standins::engine::EngineSettings;
use standins::fleet::Fleet;

/// Time limit against a hang; no assertion depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(120);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

async fn open(node: &Node, name: &str) -> bool {
    let path = "/v1/state/upstreams";
    let all: Vec<UpstreamState> =
        JsonClient::default().get(node.admin_address(), path, REQUEST_TIMEOUT).await.unwrap();
    all.iter().any(|u| &*u.name == name && u.accepting)
}

async fn until(fleet: &Fleet, name: &str, wanted: bool) {
    for node in &fleet.nodes {
        while open(node, name).await != wanted {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Of eleven nodes, eight read the list often. A VM leaves; then the list answers
/// with its older state. Once the nodes know of the departure, the VM gets no call through any
/// of them, even after the older answers; its next incarnation gets calls again.
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_vm_gets_nothing_whatever_the_list_says_later() {
    let fleet = Fleet::spawn(11, 1, EngineSettings::default()).await.unwrap();
    let live = fleet.vms();
    let mut leaving = live.clone();
    let vm = leaving.iter_mut().find(|vm| &*vm.name == "stock-0").unwrap();
    vm.state = VmState::Leaving;
    fleet.platform.set_vms(leaving);
    tokio::time::timeout(TEST_TIMEOUT, until(&fleet, "stock-0", false)).await.unwrap();
    let before = fleet.stock[0].ledger().len();

    fleet.platform.set_vms(live.clone());
    let reads = || fleet.platform.call_counts().get("/vms").copied().unwrap_or_default();
    let seen = reads();
    while reads() < seen + 24 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    for node in &fleet.nodes {
        let shop = CallerClient::new("shop".into(), vec![node.client_address()]);
        for item in 0..4 {
            shop.call("stock", &format!("/items/{item}"), "", None, REQUEST_TIMEOUT).await.unwrap();
        }
    }
    assert_eq!(fleet.stock[0].ledger().len(), before);

    let mut next = live;
    next.iter_mut().for_each(|vm| vm.incarnation += 1);
    fleet.platform.set_vms(next);
    // Eight of eleven read the list often: at least one of any four does.
    let again = async {
        loop {
            for node in &fleet.nodes[..4] {
                if open(node, "stock-0").await {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, again).await.unwrap();
}

proptest! {
    /// Departures arrive in any order, repeated and late: an incarnation of a VM gets
    /// work only if no departure of it or of a later one was ever received.
    #[test]
    fn departures_equal_the_full_history(
        received in proptest::collection::vec((0..3_u8, 0..4_u64), 0..24),
    ) {
        let mut departures = Departures::default();
        let mut all: BTreeMap<u8, Vec<u64>> = BTreeMap::new();
        for (vm, incarnation) in received {
            let departure = Departure { name: format!("vm-{vm}").into(), incarnation };
            departures.record(departure, Duration::ZERO);
            all.entry(vm).or_default().push(incarnation);
            for vm in 0..3_u8 {
                for incarnation in 0..5_u64 {
                    let left = all.get(&vm).is_some_and(|l| l.iter().any(|d| *d >= incarnation));
                    prop_assert_eq!(departures.admits(&format!("vm-{vm}"), incarnation), !left);
                }
            }
        }
    }
}

/// Departures are sent a bounded number of times, in bounded messages.
#[test]
fn departures_are_sent_a_bounded_number_of_times() {
    let mut departures = Departures::default();
    for vm in 0..300 {
        let departure = Departure { name: format!("vm-{vm}").into(), incarnation: 1 };
        assert!(departures.record(departure.clone(), Duration::ZERO));
        assert!(!departures.record(departure, Duration::ZERO));
    }
    let messages: Vec<_> =
        (0..500).map(|_| departures.next_message(Duration::ZERO).len()).collect();
    assert!(messages.iter().all(|m| *m <= 64));
    assert_eq!(messages.last(), Some(&0));
}
