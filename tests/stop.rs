//! Tests that a planned stop interrupts no request.
#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Duration;

use mulberrycourse::client::CallerClient;
use standins::caller::{completion_request, expected_text};
use standins::daemon::{Daemon, TempDir};
use standins::engine::EngineSettings;
use standins::fleet::Fleet;
use standins::plain::Faults;

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mulberryd");
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// All nodes are replaced one after the other while callers make calls and streams without a pause.
/// Each stop finishes the requests in flight, and every call gets its complete answer.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_replacement_cuts_off_nothing() {
    let mut fleet = Fleet::spawn(3, 2, EngineSettings::default()).await.unwrap();
    let over = Arc::new(AtomicBool::new(false));
    let answered = Arc::new(AtomicUsize::new(0));
    let mut callers = Vec::new();
    for index in 0..6_u64 {
        let shop = CallerClient::new("shop".into(), fleet.client_addresses());
        let (over, answered) = (over.clone(), answered.clone());
        callers.push(tokio::spawn(async move {
            while !over.load(Ordering::Relaxed) {
                if index % 2 == 0 {
                    shop.call("stock", "/items/1", "", None, CALL_TIMEOUT).await.unwrap();
                } else {
                    let request = completion_request("patter", index, 32);
                    let answer = shop.stream(&request, CALL_TIMEOUT).await.unwrap();
                    assert_eq!(answer.body, expected_text(&request));
                }
                answered.fetch_add(1, Ordering::Relaxed);
            }
        }));
    }
    for index in 3..6 {
        let next = fleet.start_node(index).await.unwrap();
        fleet.nodes.push(next);
        fleet.wait_until_settled(1).await;
        let old = fleet.nodes.remove(0);
        let before = answered.load(Ordering::Relaxed);
        let finished = old.stop().await;
        assert!(finished);
        // Calls are still answered after the stop.
        while answered.load(Ordering::Relaxed) <= before {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    }
    over.store(true, Ordering::Relaxed);
    for caller in callers {
        caller.await.unwrap();
    }
}

/// A process receives SIGTERM twice while a call that takes two seconds is in flight. The call gets
/// its complete answer, and the process exits with success.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_stopped_twice_finishes_its_call() {
    let fleet = Fleet::spawn(0, 1, EngineSettings::default()).await.unwrap();
    let folder = TempDir::create().unwrap();
    let platform = fleet.platform.address();
    let mut daemon = Daemon::spawn(DAEMON_PATH, "a", &fleet, platform, folder.path()).unwrap();
    daemon.wait_for_nodes(&["a"]).await;
    let slow = Faults { slow_ms: 2000, ..Faults::default() };
    fleet.stock.iter().for_each(|p| p.set_faults(slow.clone()));
    let shop = CallerClient::new("shop".into(), vec![daemon.client_address]);
    let call =
        tokio::spawn(async move { shop.call("stock", "/items/1", "", None, CALL_TIMEOUT).await });
    while fleet.stock.iter().all(|p| p.ledger().is_empty()) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    daemon.terminate().unwrap();
    // The node no longer serves, so the first signal was handled before the second is sent.
    daemon.wait_for_nodes(&[]).await;
    daemon.terminate().unwrap();
    assert_eq!(call.await.unwrap().unwrap().body, "ran /items/1 ");
    assert!(daemon.wait_for_exit().await.unwrap().success());
}
