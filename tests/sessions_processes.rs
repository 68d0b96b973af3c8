//! Tests of streams and steps while processes are killed (SIGKILL) or frozen (SIGSTOP).
#![allow(clippy::unwrap_used)]

use std::path::PathBuf;
use std::time::Duration;

use mulberrycourse::client::{CallerClient, StepReport, TrainerClient};
use mulberrycourse::decide::{GroupSpec, StepSpec, rendezvous_rank};
use mulberrycourse::edge::peer::NodeState;
use standins::caller::{completion_request, expected_text};
use standins::daemon::Daemon;
use standins::engine::{EngineSettings, Faults};
use standins::fleet::Fleet;

/// Time limit against a hang; no assertion depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const NODE_NAMES: [&str; 3] = ["a", "b", "c"];

struct Deployment {
    fleet: Fleet,
    daemons: Vec<Option<Daemon>>,
    folder: PathBuf,
}

impl Deployment {
    /// Starts three nodes that know each other, with two slow engines: 400 ms a token.
    async fn spawn(test: &str) -> Self {
        let fleet = Fleet::spawn(0, 2, EngineSettings::default()).await.unwrap();
        let crawl = Faults { slowdown: 200, ..Faults::default() };
        fleet.engines.iter().for_each(|e| e.set_faults(crawl.clone()));
        let folder = std::env::temp_dir().join(format!("mulberry-{test}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let spawn = |name: &&str| {
            let exe = env!("CARGO_BIN_EXE_mulberryd");
            Some(Daemon::spawn(exe, name, &fleet, fleet.platform.address(), &folder).unwrap())
        };
        let daemons = NODE_NAMES.iter().map(spawn).collect();
        let deployment = Self { fleet, daemons, folder };
        for daemon in deployment.daemons.iter().flatten() {
            deployment.wait_for_members(daemon).await;
        }
        deployment
    }

    async fn wait_for_members(&self, daemon: &Daemon) {
        let serving = async || {
            let nodes = daemon.nodes().await;
            nodes.iter().filter(|n| n.state == NodeState::Serving).count()
        };
        while serving().await < NODE_NAMES.len() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn callers(&self) -> Vec<std::net::SocketAddr> {
        self.daemons.iter().flatten().map(|d| d.client_address).collect()
    }

    /// Waits until the engines have produced this many tokens.
    async fn wait_for_tokens(&self, tokens: usize) {
        let ledgers = || self.fleet.engines.iter().flat_map(|e| e.ledger().into_values());
        while ledgers().map(|tokens| tokens.len()).sum::<usize>() < tokens {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    fn restore_speed(&self) {
        self.fleet.engines.iter().for_each(|e| e.set_faults(Faults::default()));
    }

    /// Returns the index of the node that owns the trainer's steps.
    fn owner_index(&self) -> usize {
        let owner = rendezvous_rank("coach", NODE_NAMES)[0];
        NODE_NAMES.iter().position(|n| *n == owner).unwrap()
    }

    fn trainer(&self) -> TrainerClient {
        TrainerClient::new("coach".into(), self.callers())
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn spec() -> StepSpec {
    let prompt = |g| GroupSpec { prompt: format!("glide {g}"), samples: 2, max_tokens: 40 };
    StepSpec { version: 1, groups: (0..4).map(prompt).collect() }
}

fn assert_complete(report: &StepReport) {
    assert_eq!((report.duplicates, report.incomplete), (0, 0));
    assert!(report.groups.keys().copied().eq(0..4));
    assert!(report.groups.values().all(|g| g.samples.len() == 2));
}

/// Two of three nodes are killed while streams run through all of them. Each stream continues at a
/// remaining node, and no token is lost or duplicated.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_are_killed_in_streams() {
    let mut test = Deployment::spawn("killed-streams").await;
    let streams: Vec<_> = (0..8)
        .map(|seed| {
            let shop = CallerClient::new("shop".into(), test.callers());
            tokio::spawn(async move {
                let request = completion_request("long con", seed, 120);
                let answer = shop.stream(&request, TEST_TIMEOUT).await.unwrap();
                assert_eq!(answer.body, expected_text(&request));
            })
        })
        .collect();
    test.wait_for_tokens(16).await;
    test.daemons[0] = None;
    test.wait_for_tokens(32).await;
    test.daemons[1] = None;
    test.wait_for_tokens(48).await;
    test.restore_speed();
    for stream in streams {
        stream.await.unwrap();
    }
}

/// The node that owns a step is killed during the step. The trainer continues at another node.
#[tokio::test(flavor = "multi_thread")]
async fn home_is_killed_in_a_step() {
    let mut test = Deployment::spawn("killed-home").await;
    let (owner, trainer) = (test.owner_index(), test.trainer());
    let step = tokio::spawn(async move { trainer.run_step(1, &spec()).await });
    test.wait_for_tokens(16).await;
    test.daemons[owner] = None;
    test.restore_speed();
    let report = tokio::time::timeout(TEST_TIMEOUT, step).await.unwrap().unwrap().unwrap();
    assert_complete(&report);
    assert!(report.failures > 0);
}

/// The node that owns a step is frozen during the step, and the trainer continues at another node.
/// Once the node is thawed, it still has the step and its samples: no group is delivered twice.
#[tokio::test(flavor = "multi_thread")]
async fn home_is_frozen_in_a_step() {
    let test = Deployment::spawn("frozen-home-of-a-step").await;
    let (owner, trainer) = (test.owner_index(), test.trainer());
    let step = tokio::spawn(async move {
        let report = trainer.run_step(1, &spec()).await;
        (trainer, report)
    });
    test.wait_for_tokens(16).await;
    let frozen = test.daemons[owner].as_ref().unwrap();
    frozen.pause().unwrap();
    test.restore_speed();
    let (trainer, report) = tokio::time::timeout(TEST_TIMEOUT, step).await.unwrap().unwrap();
    assert_complete(&report.unwrap());
    frozen.resume().unwrap();
    assert_complete(&trainer.run_step(2, &spec()).await.unwrap());
}

/// A node is frozen while streams run through it. Its callers continue at the other nodes, and no
/// token is lost or duplicated.
#[tokio::test(flavor = "multi_thread")]
async fn node_is_frozen_in_streams() {
    let test = Deployment::spawn("frozen-streams").await;
    let request = |seed| completion_request("long con", seed, 120);
    let streams: Vec<_> = (0..8)
        .map(|seed| {
            let shop = CallerClient::new("shop".into(), test.callers());
            tokio::spawn(async move { shop.stream(&request(seed), TEST_TIMEOUT).await })
        })
        .collect();
    test.wait_for_tokens(16).await;
    let frozen = test.daemons[0].as_ref().unwrap();
    frozen.pause().unwrap();
    test.restore_speed();
    for (seed, stream) in (0..).zip(streams) {
        assert_eq!(stream.await.unwrap().unwrap().body, expected_text(&request(seed)));
    }
    frozen.resume().unwrap();
}
