//! A request that crashes each engine that runs it and is retried through other nodes.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::time::Duration;

use mulberrycourse::client::{CallerClient, TrainerClient};
use mulberrycourse::decide::{GroupSpec, StepSpec};
use mulberrycourse::edge::upstream::CompletionRequest;
use standins::caller::{CallResponse, complete, completion_request, expected_text};
use standins::engine::{EngineSettings, Faults};
use standins::fleet::Fleet;

/// The timeout of the harmless streams.
const STREAM_TIMEOUT: Duration = Duration::from_secs(30);
/// The body of a request that crashes every engine that runs it.
const POISON_BODY: &str = r#"{"model":"patter","prompt":"the clumsy palm","max_tokens":32}"#;

/// Starts a fleet whose engines crash on the poison request.
async fn start_fleet(nodes: usize, engines: usize) -> Fleet {
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

/// Returns how often the engines crashed in total.
fn total_crashes(fleet: &Fleet) -> u64 {
    fleet.engines.iter().map(|e| e.crashes()).sum()
}

/// Returns the kind of the refusal, or "answered".
fn answer_kind(answer: &CallResponse) -> &str {
    let kind = answer.problem.as_ref().map(|p| p.kind.as_str()).unwrap_or("answered");
    kind.rsplit(':').next().unwrap_or(kind)
}

/// Harmless streams run on every engine when the poison request arrives; its caller retries it
/// through each node. It crashes two engines in total, every node refuses it as quarantined, and
/// every harmless stream is complete.
#[tokio::test(flavor = "multi_thread")]
async fn poison_request_crashes_two_engines() {
    let fleet = start_fleet(3, 5).await;
    let requests: Vec<CompletionRequest> =
        (0..20).map(|n| completion_request(&format!("force {n}"), n, 120)).collect();
    let mut harmless = Vec::new();
    for request in &requests {
        let request = request.clone();
        let shop = CallerClient::new("shop".into(), fleet.client_addresses());
        harmless.push(tokio::spawn(async move { shop.stream(&request, STREAM_TIMEOUT).await }));
    }
    while fleet.engines.iter().any(|e| e.started_requests() == 0) {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    for node in [0, 1, 2, 0] {
        let answer =
            complete(fleet.nodes[node].client_address(), POISON_BODY, 20_000).await.unwrap();
        assert_eq!(answer_kind(&answer), "quarantined", "{answer:?}");
    }
    for (request, answer) in requests.iter().zip(harmless) {
        let answer = answer.await.unwrap().unwrap();
        assert_eq!(answer.body, expected_text(request));
    }
    assert_eq!(total_crashes(&fleet), 2);
}

/// Guards against samples that are refused for an hour because engines crashed under them.
#[tokio::test(flavor = "multi_thread")]
async fn samples_under_which_engines_crash_are_completed() {
    let fleet = start_fleet(3, 5).await;
    let group = |prompt: &str| GroupSpec { prompt: prompt.into(), samples: 2, max_tokens: 16 };
    let spec = StepSpec { version: 1, groups: vec![group("the clumsy palm"), group("the pass")] };
    let trainer = TrainerClient::new("coach".into(), fleet.client_addresses());
    let crashes = async {
        while total_crashes(&fleet) < 6 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        fleet.engines.iter().for_each(|e| e.set_faults(Faults::default()));
    };
    let mut pulling = trainer.resume_step(1, &spec, BTreeMap::new());
    let pull = async { while !pulling.next_groups().await.unwrap().is_empty() {} };
    tokio::time::timeout(STREAM_TIMEOUT, async { tokio::join!(crashes, pull) }).await.unwrap();
    assert_eq!(pulling.report().groups.len(), 2);
    assert_eq!(fleet.nodes.iter().map(|n| n.quarantined_count()).sum::<usize>(), 0);
}

/// Every node knows of the quarantine before the caller gets its answer. Otherwise a caller that
/// retries at once through another node crashes a third engine. This happened on a busy machine,
/// where a connection between nodes took longer than the time limit.
#[tokio::test(flavor = "multi_thread")]
async fn every_node_quarantines_before_the_caller_is_answered() {
    let fleet = start_fleet(3, 5).await;
    let answer = complete(fleet.nodes[0].client_address(), POISON_BODY, 20_000).await.unwrap();
    let quarantined: Vec<usize> = fleet.nodes.iter().map(|n| n.quarantined_count()).collect();
    assert_eq!(answer_kind(&answer), "quarantined", "{answer:?}");
    assert_eq!(quarantined, [1, 1, 1]);
}

/// Connections that break repeatedly while the engines still answer do not count as crashes, and
/// nothing is quarantined.
#[tokio::test(flavor = "multi_thread")]
async fn broken_connections_are_not_crashes() {
    let fleet = start_fleet(2, 2).await;
    let cut = Faults { cut_after: 1, ..Faults::default() };
    fleet.engines.iter().for_each(|e| e.set_faults(cut.clone()));
    let body = r#"{"model":"patter","prompt":"the pass","max_tokens":64}"#;
    for node in [0, 1, 0, 1] {
        let answer = complete(fleet.nodes[node].client_address(), body, 5_000).await.unwrap();
        assert_ne!(answer_kind(&answer), "quarantined", "{answer:?}");
    }
    fleet.engines.iter().for_each(|e| e.set_faults(Faults::default()));
    for node in [0, 1] {
        let answer = complete(fleet.nodes[node].client_address(), body, 5_000).await.unwrap();
        assert_eq!(answer_kind(&answer), "answered", "{answer:?}");
    }
    assert_eq!(total_crashes(&fleet), 0);
}

/// A node that starts after the quarantine began refuses the request as well.
#[tokio::test(flavor = "multi_thread")]
async fn node_started_later_refuses_the_request() {
    let mut fleet = start_fleet(2, 4).await;
    let answer = complete(fleet.nodes[0].client_address(), POISON_BODY, 20_000).await.unwrap();
    assert_eq!(answer_kind(&answer), "quarantined");
    let node = fleet.start_node(2).await.unwrap();
    fleet.nodes.push(node);
    fleet.wait_until_settled(1).await;
    while fleet.nodes[2].quarantined_count() == 0 {
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let answer = complete(fleet.nodes[2].client_address(), POISON_BODY, 20_000).await.unwrap();
    assert_eq!(answer_kind(&answer), "quarantined");
    assert_eq!(total_crashes(&fleet), 2);
}
