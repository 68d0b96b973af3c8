//! Tests that a call runs at most once while processes are frozen (SIGSTOP) and thawed (SIGCONT).
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use mulberrycourse::decide::claim::{ClaimKey, partition_owner};
use mulberrycourse::edge::peer::NodeState;
use standins::caller::{CallResponse, send};
use standins::daemon::Daemon;
use standins::engine::EngineSettings;
use standins::fleet::{ANY_PORT, Fleet};
use standins::plain::Faults;
use standins::proxy::{HeldTraffic, HoldingProxy};

const POLL_INTERVAL: Duration = Duration::from_millis(20);
const NODE_NAMES: [&str; 3] = ["a", "b", "c"];

struct Deployment {
    fleet: Fleet,
    /// Holds back the traffic between node `a` and the platform.
    gate: HoldingProxy,
    daemons: Vec<Daemon>,
    folder: std::path::PathBuf,
}

impl Deployment {
    async fn spawn(test: &str) -> Self {
        let fleet = Fleet::spawn(0, 0, EngineSettings::default()).await.unwrap();
        let gate = HoldingProxy::bind(ANY_PORT, fleet.platform.address()).await.unwrap();
        let folder = std::env::temp_dir().join(format!("mulberry-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let spawn = |name: &&str| {
            let platform = if *name == "a" { gate.address() } else { fleet.platform.address() };
            let exe = env!("CARGO_BIN_EXE_mulberryd");
            Daemon::spawn(exe, name, &fleet, platform, &folder).unwrap()
        };
        let daemons: Vec<Daemon> = NODE_NAMES.iter().map(spawn).collect();
        let deployment = Self { fleet, gate, daemons, folder };
        for daemon in &deployment.daemons {
            deployment.sees(daemon, 3).await;
        }
        deployment
    }

    /// Waits until a daemon reports this many serving nodes.
    async fn sees(&self, daemon: &Daemon, count: usize) {
        let serves = |nodes: Vec<mulberrycourse::edge::peer::NodeInfo>| {
            nodes.iter().filter(|n| n.state == NodeState::Serving).count() == count
        };
        while !serves(daemon.nodes().await) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn runs(&self, body: &str) -> usize {
        let entries = self.fleet.sync.iter().flat_map(|p| p.ledger());
        entries.filter(|e| e.body == body).count()
    }

    async fn ask(&self, node: usize, key: &str) -> CallResponse {
        at(self.daemons[node].client_address, key).await
    }

    async fn settled(&self, node: usize, key: &str) -> CallResponse {
        loop {
            let answer = self.ask(node, key).await;
            let kind = answer.problem.as_ref().map(|p| p.kind.clone()).unwrap_or_default();
            if !kind.ends_with("in_progress") && !kind.ends_with("claim_unavailable") {
                return answer;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

async fn at(node: SocketAddr, key: &str) -> CallResponse {
    send(node, "/sync/count", Some(key), key).await.unwrap()
}

/// Returns two idempotency keys of a partition that `name` owns, and the platform key of its head.
fn keys_owned_by(name: &str) -> (Vec<String>, String) {
    let partition = (0..16).find(|p| partition_owner(*p, NODE_NAMES) == Some(name)).unwrap();
    let keys = (0..).map(|n| format!("key-{n}"));
    let of = |key: &String| ClaimKey::new("sync", "shop", key).partition() == partition;
    (keys.filter(of).take(2).collect(), format!("claims/{partition:02x}/head"))
}

/// The owner of the key is frozen after its commit was applied and before it reads the reply.
/// Another node takes over and the call runs there. Then the old owner is thawed. The call has run
/// once, and the old owner returns the answer of that run.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_home_is_fenced() {
    let test = Deployment::spawn("frozen-home").await;
    let (keys, head) = keys_owned_by("a");
    assert!(test.settled(1, &keys[0]).await.problem.is_none());

    let before = test.fleet.platform.value(&head);
    test.gate.hold(HeldTraffic::Responses);
    let node = test.daemons[1].client_address;
    let key = keys[1].clone();
    let asked = tokio::spawn(async move { at(node, &key).await });
    while test.fleet.platform.value(&head) == before {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    test.daemons[0].pause().unwrap();
    test.gate.hold(HeldTraffic::Nothing);
    // The commit that changed the head may have contained only the outcome of the first call. Then
    // the owner was frozen before it handled this claim. In both cases the claim is not granted.
    let refused = asked.await.unwrap();
    assert!(refused.problem.unwrap().kind.ends_with("claim_unavailable"));
    assert_eq!(test.runs(&keys[1]), 0);

    let answer = test.settled(2, &keys[1]).await;
    assert_eq!(answer.body, format!("ran /count {}", keys[1]));
    test.daemons[0].resume().unwrap();
    for node in [0, 1, 2, 0] {
        let again = test.settled(node, &keys[1]).await;
        assert!(again.replayed, "{again:?}");
    }
    assert_eq!(test.runs(&keys[1]), 1);
}

/// The node that runs the call is frozen during the call. Meanwhile the other nodes report that the
/// call is in progress or that its outcome is unknown. Once the node is thawed, it has the answer.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_runner_runs_once() {
    let test = Deployment::spawn("frozen-runner").await;
    let (keys, _) = keys_owned_by("b");
    let slow = Faults { slow_ms: 300, ..Faults::default() };
    test.fleet.sync.iter().for_each(|p| p.set_faults(slow.clone()));
    let node = test.daemons[0].client_address;
    let key = keys[0].clone();
    let asked = tokio::spawn(async move { at(node, &key).await });
    while test.runs(&keys[0]) == 0 {
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    test.daemons[0].pause().unwrap();
    for node in [1, 2] {
        let problem = test.ask(node, &keys[0]).await.problem.unwrap();
        assert_eq!(problem.run, mulberrycourse::error::RunStatus::Unknown, "{problem:?}");
    }
    test.daemons[0].resume().unwrap();
    assert!(asked.await.unwrap().problem.is_none());
    for node in [1, 2] {
        assert!(test.settled(node, &keys[0]).await.replayed);
    }
    assert_eq!(test.runs(&keys[0]), 1);
}
