//! Tests that a call runs at most once across nodes, over real sockets. The ledger of the plain
//! service shows how often a call ran. Each test states the failure that it causes.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use http::StatusCode;
use mulberrycourse::edge::http::JsonClient;
use mulberrycourse::error::RunStatus;
use mulberrycourse::node::{Addresses, Node};
use standins::caller::{CallResponse, send, send_within};
use standins::engine::EngineSettings;
use standins::fleet::{ANY_PORT, Fleet};
use standins::plain::{CutAt, Faults as PlainFaults};
use standins::platform::Faults;
use standins::proxy::{HeldTraffic, HoldingProxy};
use tokio::task::JoinSet;

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

/// Starts a fleet and waits until every node knows that all nodes serve.
async fn fleet(nodes: usize) -> Fleet {
    let fleet = Fleet::spawn(nodes, 0, EngineSettings::default()).await.unwrap();
    for node in &fleet.nodes {
        while serving(node.client_address()).await < nodes {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
    fleet
}

async fn serving(node: SocketAddr) -> usize {
    let got = JsonClient::default().get::<Addresses>(node, "/v1/addresses", CALL_TIMEOUT).await;
    got.unwrap().addresses.len()
}

/// Returns how often `body` ran at all replicas of `sync` together.
fn runs(fleet: &Fleet, body: &str) -> usize {
    fleet.sync.iter().flat_map(|p| p.ledger()).filter(|e| e.body == body).count()
}

fn slow(fleet: &Fleet, slow_ms: u64) {
    let faults = PlainFaults { slow_ms, ..PlainFaults::default() };
    fleet.sync.iter().for_each(|p| p.set_faults(faults.clone()));
}

fn kind(answer: &CallResponse) -> &str {
    let kind = answer.problem.as_ref().map(|p| p.kind.as_str()).unwrap_or("answered");
    kind.rsplit(':').next().unwrap_or(kind)
}

async fn ask(fleet: &Fleet, node: usize, key: &str, body: &str) -> CallResponse {
    send(fleet.nodes[node].client_address(), "/sync/count", Some(key), body).await.unwrap()
}

/// Repeats the call until it is no longer in progress, like a caller that honours `Retry-After`.
async fn settled(fleet: &Fleet, node: usize, key: &str, body: &str) -> CallResponse {
    loop {
        let answer = ask(fleet, node, key, body).await;
        if !["in_progress", "claim_unavailable"].contains(&kind(&answer)) {
            return answer;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// The same key is sent to all nodes at the same time, repeatedly: the call runs once, and every
/// caller gets its answer in the end.
#[tokio::test(flavor = "multi_thread")]
async fn same_key_at_all_nodes_at_once() {
    let fleet = fleet(3).await;
    slow(&fleet, 20);
    for round in 0..12 {
        let (key, body) = (format!("key-{round}"), format!("body-{round}"));
        let one = |node| settled(&fleet, node, &key, &body);
        let (a, b, c) = tokio::join!(one(0), one(1), one(2));
        let expected = format!("ran /count {body}");
        assert!([&a, &b, &c].iter().all(|x| x.body == expected), "{a:?} {b:?} {c:?}");
        assert_eq!(runs(&fleet, &body), 1, "{key}");
    }
}

/// The caller repeats a call that succeeded, at every node: it gets the cached answer and the call
/// does not run again. The same key with another body is refused.
#[tokio::test(flavor = "multi_thread")]
async fn asked_again_after_success() {
    let fleet = fleet(3).await;
    let first = ask(&fleet, 0, "sync-1", "7 wands").await;
    assert_eq!((first.status, first.replayed), (StatusCode::OK, false));
    for node in 0..3 {
        let again = ask(&fleet, node, "sync-1", "7 wands").await;
        assert_eq!((again.body.as_str(), again.replayed), ("ran /count 7 wands", true));
        let other = ask(&fleet, node, "sync-1", "8 wands").await;
        assert_eq!(kind(&other), "key_reused");
        assert_eq!(other.problem.unwrap().run, RunStatus::NotRun);
    }
    assert_eq!((runs(&fleet, "7 wands"), runs(&fleet, "8 wands")), (1, 0));
}

/// The platform's replies to the commit that seals the partition and to the commit of the claim are
/// lost after both were applied. The node finds out that they were, and the call runs once.
#[tokio::test(flavor = "multi_thread")]
async fn replies_of_the_platform_are_lost() {
    let fleet = fleet(2).await;
    for round in 0..4 {
        let (key, body) = (format!("key-{round}"), format!("body-{round}"));
        fleet.platform.set_faults(Faults { lose_replies: 2, ..Faults::default() });
        let answer = settled(&fleet, 0, &key, &body).await;
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
        let again = settled(&fleet, 1, &key, &body).await;
        assert!(again.replayed, "{again:?}");
        assert_eq!(runs(&fleet, &body), 1);
    }
}

/// The platform is down before, during and after calls. New claims are refused as not run, with a
/// `Retry-After` time. Calls that ran are answered, and no call runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn platform_is_down() {
    let fleet = fleet(2).await;
    let down = || fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    down();
    let refused = ask(&fleet, 0, "early", "early").await;
    let problem = refused.problem.unwrap();
    assert!(problem.kind.ends_with("claim_unavailable"), "{problem:?}");
    assert_eq!((problem.run, runs(&fleet, "early")), (RunStatus::NotRun, 0));
    assert!(problem.retry_after_ms.is_some());
    fleet.platform.set_faults(Faults::default());
    assert_eq!(settled(&fleet, 1, "early", "early").await.body, "ran /count early");

    slow(&fleet, 400);
    let running = ask(&fleet, 0, "during", "during");
    let cut = async {
        while runs(&fleet, "during") == 0 {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        down();
    };
    let (answer, ()) = tokio::join!(running, cut);
    assert_eq!(answer.body, "ran /count during");
    for node in 0..2 {
        let again = ask(&fleet, node, "during", "during").await;
        assert!(again.replayed, "{again:?}");
    }
    fleet.platform.set_faults(Faults::default());
    assert!(settled(&fleet, 1, "during", "during").await.replayed);
    assert_eq!((runs(&fleet, "early"), runs(&fleet, "during")), (1, 1));
}

/// The node that ran the call dies after the call succeeded. Another node reports that the call
/// already ran or that its outcome is unknown, and does not run it.
#[tokio::test(flavor = "multi_thread")]
async fn runner_is_gone() {
    let mut fleet = fleet(3).await;
    for round in 0..4 {
        let answer = ask(&fleet, 2, &format!("key-{round}"), "count").await;
        assert_eq!(answer.status, StatusCode::OK);
    }
    drop(fleet.nodes.remove(2));
    while fleet.nodes.iter().any(|n| n.live_peer_count() > 1) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    for round in 0..4 {
        let again = settled(&fleet, round % 2, &format!("key-{round}"), "count").await;
        assert!(["already_ran", "outcome_unknown"].contains(&kind(&again)), "{again:?}");
    }
    assert_eq!(runs(&fleet, "count"), 4);
}

/// The attempt is interrupted after it was sent. The caller is told that the outcome is unknown,
/// also when it repeats the call at another node, and the call does not run a second time.
#[tokio::test(flavor = "multi_thread")]
async fn outcome_is_unknown() {
    let fleet = fleet(3).await;
    let cut = |cut| {
        let faults = PlainFaults { cut, ..PlainFaults::default() };
        fleet.sync.iter().for_each(|p| p.set_faults(faults.clone()));
    };
    for (round, at) in
        [CutAt::BeforeRun, CutAt::AfterRun, CutAt::ResponseBody].into_iter().enumerate()
    {
        cut(at);
        let key = format!("key-{round}");
        let broken = ask(&fleet, 0, &key, &key).await;
        assert_eq!(broken.problem.map(|p| p.run), Some(RunStatus::Unknown), "{at:?}");
        cut(CutAt::Never);
        for node in 0..3 {
            assert_eq!(kind(&ask(&fleet, node, &key, &key).await), "outcome_unknown");
        }
        assert!(runs(&fleet, &key) <= 1);
    }
}

/// There is no upstream for the call, so it is refused as not run. Once the upstreams are back, a
/// call with the same key runs, also through another node.
#[tokio::test(flavor = "multi_thread")]
async fn key_is_free_after_not_run() {
    let fleet = fleet(3).await;
    fleet.platform.set_vms(Vec::new());
    while fleet.nodes.iter().any(|n| n.routed_upstream_count() > 0) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let node = fleet.nodes[0].client_address();
    let refused = send_within(node, "/sync/count", Some("key"), "count", Some(200)).await.unwrap();
    assert_eq!(refused.problem.map(|p| p.run), Some(RunStatus::NotRun));
    fleet.platform.set_vms(fleet.vms());
    let answer = settled(&fleet, 1, "key", "count").await;
    assert_eq!((answer.body.as_str(), runs(&fleet, "count")), ("ran /count count", 1));
}

/// The caller's connection is closed while its call runs. The call continues, and the caller gets
/// the answer when it repeats the call at another node.
#[tokio::test(flavor = "multi_thread")]
async fn caller_goes_away_and_comes_back() {
    let fleet = fleet(2).await;
    slow(&fleet, 200);
    let node = fleet.nodes[0].client_address();
    let call = tokio::spawn(async move { send(node, "/sync/count", Some("key"), "count").await });
    while runs(&fleet, "count") == 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    call.abort();
    let answer = settled(&fleet, 1, "key", "count").await;
    assert_eq!((answer.body.as_str(), answer.replayed), ("ran /count count", true));
    assert_eq!(runs(&fleet, "count"), 1);
}

/// The owner waits for its commit, of which first the request and then, in a second run, the reply
/// is held back. Another node takes over and runs the calls; then the commit of the old owner
/// continues. The compare-and-swap fences it: no call runs twice.
#[tokio::test(flavor = "multi_thread")]
async fn paused_home_goes_on_after_its_successor() {
    for hold in [HeldTraffic::Requests, HeldTraffic::Responses] {
        let mut fleet = fleet(0).await;
        let gate = HoldingProxy::bind(ANY_PORT, fleet.platform.address()).await.unwrap();
        let mut settings = fleet.settings(0);
        settings.platform.address = gate.address();
        settings.platform.timeout = Duration::from_secs(20);
        settings.drain.address_ttl = Duration::from_secs(60);
        let owner = Node::spawn(settings).await.unwrap();
        fleet.nodes.push(owner);
        fleet.wait_until_settled(1).await;
        let first = ask(&fleet, 0, "warm", "warm").await;
        assert_eq!(first.status, StatusCode::OK);

        // This is the only node, so it owns every key.
        gate.hold(hold);
        let keys: Vec<String> = (0..8).map(|k| format!("key-{k}")).collect();
        let node = fleet.nodes[0].client_address();
        let asked = keys.iter().map(|key| {
            let key = key.clone();
            tokio::spawn(async move { send(node, "/sync/count", Some(&key), &key).await })
        });
        let asked: Vec<_> = asked.collect();
        gate.wait_until_held().await;
        let successor = fleet.start_node(1).await.unwrap();
        fleet.nodes.push(successor);
        let old = fleet.nodes[0].client_address();
        let stopping = fleet.nodes[0].stop();
        let rest = async {
            while fleet.nodes[1].bundle_number() == 0 || fleet.nodes[1].live_peer_count() == 0 {
                tokio::time::sleep(POLL_INTERVAL).await;
            }
            for key in &keys {
                let answer = settled(&fleet, 1, key, key).await;
                assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
            }
            gate.hold(HeldTraffic::Nothing);
            for call in asked {
                let answer = call.await.unwrap().unwrap();
                let run = answer.problem.map(|p| p.run);
                assert!(run == Some(RunStatus::NotRun) || answer.status == StatusCode::OK);
            }
            for key in &keys {
                let again = send(old, "/sync/count", Some(key), key).await.unwrap();
                assert!(again.replayed || again.problem.is_some(), "{again:?}");
                assert_eq!(runs(&fleet, key), 1, "{key}");
            }
        };
        tokio::select! {
            _ = stopping => panic!("the node stopped while clients still cache its address"),
            () = rest => {}
        }
    }
}

/// A node is stopped gracefully while it runs calls whose callers have disconnected. The stop waits
/// for the calls, and their outcomes are recorded before the node ends, whether or not it owns the
/// keys. The other node reports that the calls already ran, and not that their outcome is unknown.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_stop_records_what_ran() {
    let fleet = fleet(2).await;
    slow(&fleet, 900);
    let node = fleet.nodes[0].client_address();
    let keys: Vec<String> = (0..8).map(|k| format!("key-{k}")).collect();
    let mut calls = JoinSet::new();
    for key in &keys {
        let key = key.clone();
        calls.spawn(async move { send(node, "/sync/count", Some(&key), &key).await });
    }
    while keys.iter().any(|key| runs(&fleet, key) == 0) {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    calls.shutdown().await;
    assert!(fleet.nodes[0].stop().await);
    while fleet.nodes[1].live_peer_count() > 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    for key in &keys {
        let again = settled(&fleet, 1, key, key).await;
        assert_eq!(kind(&again), "already_ran", "{again:?}");
        assert_eq!(runs(&fleet, key), 1);
    }
}
