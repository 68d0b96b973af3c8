//! A request that crashes each engine that runs it and is retried through other nodes.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mulberrycourse::client::CallerClient;
use mulberrycourse::edge::upstream::CompletionRequest;
use standins::caller::{CallResponse, complete, completion_request, expected_text};
use standins::engine::{EngineSettings, Faults};
use standins::fleet::Fleet;

const WAIT: Duration = Duration::from_secs(30);
const POISON: &str = r#"{"model":"patter","prompt":"the clumsy palm","max_tokens":32}"#;

async fn fleet(nodes: usize, engines: usize) -> Fleet {
    let settings = EngineSettings {
        token_time: Duration::from_millis(8),
        restart_time: Duration::from_secs(1),
        ..EngineSettings::default()
    };
    let fleet = Fleet::spawn(nodes, engines, settings).await.unwrap();
    let faults = Faults { poison: "clumsy".to_owned(), ..Faults::default() };
    fleet.engines.iter().for_each(|e| e.set_faults(faults.clone()));
    fleet
}

fn crashes(fleet: &Fleet) -> u64 {
    fleet.engines.iter().map(|e| e.crashes()).sum()
}

fn kind(answer: &CallResponse) -> &str {
    let kind = answer.problem.as_ref().map(|p| p.kind.as_str()).unwrap_or("answered");
    kind.rsplit(':').next().unwrap_or(kind)
}

/// Harmless streams run on every engine when the poison request arrives; its caller retries it
/// through each node. It crashes two engines in total, every node refuses it as quarantined, and
/// every harmless stream is complete.
#[tokio::test(flavor = "multi_thread")]
async fn two_engines_and_no_more() {
    let fleet = fleet(3, 5).await;
    let requests: Vec<CompletionRequest> =
        (0..20).map(|n| completion_request(&format!("force {n}"), n, 120)).collect();
    let mut harmless = Vec::new();
    for request in &requests {
        let request = request.clone();
        let shop = CallerClient::new("shop".into(), fleet.client_addresses());
        harmless.push(tokio::spawn(async move { shop.stream(&request, WAIT).await }));
    }
    while fleet.engines.iter().any(|e| e.started_requests() == 0) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for node in [0, 1, 2, 0] {
        let answer = complete(fleet.nodes[node].client_address(), POISON, 20_000).await.unwrap();
        assert_eq!(kind(&answer), "quarantined", "{answer:?}");
    }
    for (request, answer) in requests.iter().zip(harmless) {
        let answer = answer.await.unwrap().unwrap();
        assert_eq!(answer.body, expected_text(request));
    }
    assert_eq!(crashes(&fleet), 2);
}

/// Every node knows of the quarantine before the caller gets its answer. Otherwise a caller that
/// retries at once through another node crashes a third engine. This happened on a busy machine,
/// where a connection between nodes took longer than the time limit.
#[tokio::test(flavor = "multi_thread")]
async fn every_node_knows_before_the_caller_does() {
    let fleet = fleet(3, 5).await;
    let answer = complete(fleet.nodes[0].client_address(), POISON, 20_000).await.unwrap();
    let known: Vec<usize> = fleet.nodes.iter().map(|n| n.quarantined_count()).collect();
    assert_eq!(kind(&answer), "quarantined", "{answer:?}");
    assert_eq!(known, [1, 1, 1]);
}

/// Connections that break repeatedly while the engines still answer do not count as crashes, and
/// nothing is quarantined.
#[tokio::test(flavor = "multi_thread")]
async fn cut_connections_are_no_crash() {
    let fleet = fleet(2, 2).await;
    let cut = Faults { cut_after: 1, ..Faults::default() };
    fleet.engines.iter().for_each(|e| e.set_faults(cut.clone()));
    let body = r#"{"model":"patter","prompt":"the pass","max_tokens":64}"#;
    for node in [0, 1, 0, 1] {
        let answer = complete(fleet.nodes[node].client_address(), body, 5_000).await.unwrap();
        assert_ne!(kind(&answer), "quarantined", "{answer:?}");
    }
    fleet.engines.iter().for_each(|e| e.set_faults(Faults::default()));
    for node in [0, 1] {
        let answer = complete(fleet.nodes[node].client_address(), body, 5_000).await.unwrap();
        assert_eq!(kind(&answer), "answered", "{answer:?}");
    }
    assert_eq!(crashes(&fleet), 0);
}

/// A node that starts after the quarantine began refuses the request as well.
#[tokio::test(flavor = "multi_thread")]
async fn node_that_starts_later_knows() {
    let mut fleet = fleet(2, 4).await;
    let answer = complete(fleet.nodes[0].client_address(), POISON, 20_000).await.unwrap();
    assert_eq!(kind(&answer), "quarantined");
    let node = fleet.start_node(2).await.unwrap();
    fleet.nodes.push(node);
    fleet.wait_until_settled(1).await;
    while fleet.nodes[2].quarantined_count() == 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let answer = complete(fleet.nodes[2].client_address(), POISON, 20_000).await.unwrap();
    assert_eq!(kind(&answer), "quarantined");
    assert_eq!(crashes(&fleet), 2);
}
