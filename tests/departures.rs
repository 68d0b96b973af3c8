//! Tests that upstream VMs that leave get no new work.
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

/// Returns whether a node sends work to an upstream.
async fn accepts_work(node: &Node, name: &str) -> bool {
    let path = "/v1/state/upstreams";
    let all: Vec<UpstreamState> =
        JsonClient::default().get(node.admin_address(), path, REQUEST_TIMEOUT).await.unwrap();
    all.iter().any(|u| &*u.name == name && u.accepting)
}

/// Waits until all nodes send work to an upstream, or none does if `accepting` is false.
async fn wait_until_accepting(fleet: &Fleet, name: &str, accepting: bool) {
    for node in &fleet.nodes {
        while accepts_work(node, name).await != accepting {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// Of eleven nodes, eight read the list of VMs often. A VM leaves, and then the list has its older
/// state again. Once the nodes know of the departure, the VM gets no call through any of them, even
/// after they have read the older state. Its next incarnation gets calls again.
#[tokio::test(flavor = "multi_thread")]
async fn departed_vm_gets_no_calls_despite_older_lists() {
    let fleet = Fleet::spawn(11, 1, EngineSettings::default()).await.unwrap();
    let live = fleet.vms();
    let mut leaving = live.clone();
    let vm = leaving.iter_mut().find(|vm| &*vm.name == "stock-0").unwrap();
    vm.state = VmState::Leaving;
    fleet.platform.set_vms(leaving);
    tokio::time::timeout(TEST_TIMEOUT, wait_until_accepting(&fleet, "stock-0", false))
        .await
        .unwrap();
    let before = fleet.stock[0].ledger().len();

    fleet.platform.set_vms(live.clone());
    let reads = || fleet.platform.call_counts().get("/vms").copied().unwrap_or_default();
    let reads_before = reads();
    while reads() < reads_before + 24 {
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
    let next_incarnation_accepted = async {
        loop {
            for node in &fleet.nodes[..4] {
                if accepts_work(node, "stock-0").await {
                    return;
                }
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, next_incarnation_accepted).await.unwrap();
}

proptest! {
    /// Departures arrive in any order, repeated and late: an incarnation of a VM gets
    /// work only if no departure of it or of a later one was ever received.
    #[test]
    fn departures_equal_the_full_history(
        received in proptest::collection::vec((0..3_u8, 0..4_u64), 0..24),
    ) {
        let mut departures = Departures::default();
        let mut history: BTreeMap<u8, Vec<u64>> = BTreeMap::new();
        for (vm, incarnation) in received {
            let departure = Departure { name: format!("vm-{vm}").into(), incarnation };
            departures.record(departure, Duration::ZERO);
            history.entry(vm).or_default().push(incarnation);
            for vm in 0..3_u8 {
                for incarnation in 0..5_u64 {
                    let left = history.get(&vm).is_some_and(|l| l.iter().any(|d| *d >= incarnation));
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
