//! Tests of complete requests, with the nodes and the simulated services in one process.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mulberrycourse::client::{CallerClient, CallerError, TrainerClient};
use mulberrycourse::decide::{GroupSpec, StepSpec};
use mulberrycourse::edge::http::JsonClient;
use mulberrycourse::error::RunStatus;
use mulberrycourse::node::Addresses;
use standins::caller::{completion_request, expected_text};
use standins::engine::EngineSettings;
use standins::fleet::{Fleet, bundle_text};

const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until an address refuses connections.
async fn wait_until_closed(address: std::net::SocketAddr) {
    while tokio::net::TcpStream::connect(address).await.is_ok() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Without any failure, a plain call, a stream and a step are completed.
#[tokio::test(flavor = "multi_thread")]
async fn whole_path() {
    let fleet = Fleet::spawn(3, 3, EngineSettings::default()).await.unwrap();
    let shop = CallerClient::new("shop".into(), fleet.client_addresses());

    let answer = shop.call("stock", "/items/7?size=s", "", None, CALL_TIMEOUT).await.unwrap();
    assert_eq!(answer.body, "ran /items/7?size=s ");

    let request = completion_request("patter", 3, 64);
    let answer = shop.stream(&request, CALL_TIMEOUT).await.unwrap();
    assert_eq!(answer.body, expected_text(&request));

    let trainer = TrainerClient::new("coach".into(), fleet.client_addresses());
    let prompt = GroupSpec { prompt: "force".to_owned(), samples: 4, max_tokens: 16 };
    let spec = StepSpec { version: 1, groups: vec![prompt; 5] };
    let report = trainer.run_step(1, &spec).await.unwrap();
    assert_eq!(report.groups.len(), 5);
    assert_eq!(report.duplicates, 0);
    assert!(report.groups.values().all(|g| g.samples.len() == 4));
}

/// A bundle becomes active while the nodes run: every node adopts it, and the engines load the
/// version that it asks for.
#[tokio::test(flavor = "multi_thread")]
async fn bundle_reaches_nodes_and_engines() {
    let fleet = Fleet::spawn(3, 3, EngineSettings::default()).await.unwrap();
    fleet.apply_bundle(2, &bundle_text(2, 9)).await.unwrap();
    fleet.wait_until_settled(2).await;
    while !fleet.engines.iter().all(|e| e.version() == Some(9)) {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// Every upstream of a service is dead: the refusal states that the call did not run.
#[tokio::test(flavor = "multi_thread")]
async fn dead_upstreams_are_not_run() {
    let fleet = Fleet::spawn(1, 1, EngineSettings::default()).await.unwrap();
    for plain in &fleet.sync {
        plain.kill();
        wait_until_closed(plain.address()).await;
    }
    let shop = CallerClient::new("shop".into(), fleet.client_addresses());
    let refused = shop.call("sync", "/count", "1", None, CALL_TIMEOUT).await.unwrap_err();
    let CallerError::Refused(problem) = refused else { panic!("{refused}") };
    assert_eq!(problem.run, RunStatus::NotRun);
    assert!(problem.retry_after_ms.is_some());
    assert!(fleet.sync.iter().all(|p| p.ledger().is_empty()));
}

/// A node dies while callers have cached its address. Their calls don't fail, since nothing was
/// sent when the connection was refused.
#[tokio::test(flavor = "multi_thread")]
async fn dead_node_in_a_kept_answer() {
    let mut fleet = Fleet::spawn(2, 1, EngineSettings::default()).await.unwrap();
    let first = fleet.client_addresses()[0];
    let fetch = JsonClient::default();
    while fetch
        .get::<Addresses>(first, "/v1/addresses", CALL_TIMEOUT)
        .await
        .unwrap()
        .addresses
        .len()
        < 2
    {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let shop = CallerClient::new("shop".into(), vec![first]);
    shop.call("stock", "/items/1", "", None, CALL_TIMEOUT).await.unwrap();
    let dead = fleet.nodes.pop().unwrap();
    let address = dead.client_address();
    drop(dead);
    wait_until_closed(address).await;
    for _ in 0..4 {
        shop.call("sync", "/count", "1", None, CALL_TIMEOUT).await.unwrap();
    }
}
