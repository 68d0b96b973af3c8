//! Streams and steps over processes that are killed (SIGKILL) or frozen (SIGSTOP).
#![allow(clippy::unwrap_used)]

use std::path::PathBuf;
use std::time::Duration;

use mulberrycourse::client::{CallerClient, StepReport, TrainerClient};
use mulberrycourse::decide::{GroupSpec, StepSpec, rendezvous_rank};
use mulberrycourse::edge::peer::NodeState;
use standins::caller::{completion, expected};
use standins::daemon::Daemon;
use standins::engine::{EngineSettings, Faults};
use standins::fleet::Fleet;

/// Guards a test against hanging; no verdict depends on it.
const GUARD: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(20);
const NAMES: [&str; 3] = ["a", "b", "c"];

struct Deployment {
    fleet: Fleet,
    daemons: Vec<Option<Daemon>>,
    folder: PathBuf,
}

impl Deployment {
    /// Three nodes that know each other, before two engines that crawl: 400 ms a token.
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
        let daemons = NAMES.iter().map(spawn).collect();
        let deployment = Self { fleet, daemons, folder };
        for daemon in deployment.daemons.iter().flatten() {
            deployment.meets(daemon).await;
        }
        deployment
    }

    async fn meets(&self, daemon: &Daemon) {
        let serving = async || {
            let nodes = daemon.nodes().await;
            nodes.iter().filter(|n| n.state == NodeState::Serving).count()
        };
        while serving().await < NAMES.len() {
            tokio::time::sleep(POLL).await;
        }
    }

    fn callers(&self) -> Vec<std::net::SocketAddr> {
        self.daemons.iter().flatten().map(|d| d.callers).collect()
    }

    /// Waits until the engines produced so many tokens.
    async fn streamed(&self, tokens: usize) {
        let ledgers = || self.fleet.engines.iter().flat_map(|e| e.ledger().into_values());
        while ledgers().map(|tokens| tokens.len()).sum::<usize>() < tokens {
            tokio::time::sleep(POLL).await;
        }
    }

    fn full_speed(&self) {
        self.fleet.engines.iter().for_each(|e| e.set_faults(Faults::default()));
    }

    /// The place of the node that holds the trainer's steps.
    fn home(&self) -> usize {
        let home = rendezvous_rank("coach", NAMES)[0];
        NAMES.iter().position(|n| *n == home).unwrap()
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

fn whole(report: &StepReport) {
    assert_eq!((report.doubled, report.thin), (0, 0));
    assert!(report.groups.keys().copied().eq(0..4));
    assert!(report.groups.values().all(|g| g.samples.len() == 2));
}

/// Two of three nodes are killed while streams run over all of them: each stream goes on at
/// a node that is left, no token lost or doubled.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_are_killed_in_streams() {
    let mut test = Deployment::spawn("killed-streams").await;
    let streams: Vec<_> = (0..8)
        .map(|seed| {
            let shop = CallerClient::new("shop".into(), test.callers());
            tokio::spawn(async move {
                let request = completion("long con", seed, 120);
                let answer = shop.stream(&request, GUARD).await.unwrap();
                assert_eq!(answer.body, expected(&request));
            })
        })
        .collect();
    test.streamed(16).await;
    test.daemons[0] = None;
    test.streamed(32).await;
    test.daemons[1] = None;
    test.streamed(48).await;
    test.full_speed();
    for stream in streams {
        stream.await.unwrap();
    }
}

/// The node that holds a step is killed in the middle of it.
#[tokio::test(flavor = "multi_thread")]
async fn home_is_killed_in_a_step() {
    let mut test = Deployment::spawn("killed-home").await;
    let (home, trainer) = (test.home(), test.trainer());
    let step = tokio::spawn(async move { trainer.step(1, &spec()).await });
    test.streamed(16).await;
    test.daemons[home] = None;
    test.full_speed();
    let report = tokio::time::timeout(GUARD, step).await.unwrap().unwrap().unwrap();
    whole(&report);
    assert!(report.failures > 0);
}

/// The node that holds a step is frozen in the middle of it; the trainer goes on elsewhere.
/// Thawed, the node still holds the step and its samples: nothing comes a second time.
#[tokio::test(flavor = "multi_thread")]
async fn home_is_frozen_in_a_step() {
    let test = Deployment::spawn("frozen-home-of-a-step").await;
    let (home, trainer) = (test.home(), test.trainer());
    let step = tokio::spawn(async move {
        let report = trainer.step(1, &spec()).await;
        (trainer, report)
    });
    test.streamed(16).await;
    let frozen = test.daemons[home].as_ref().unwrap();
    frozen.freeze().unwrap();
    test.full_speed();
    let (trainer, report) = tokio::time::timeout(GUARD, step).await.unwrap().unwrap();
    whole(&report.unwrap());
    frozen.thaw().unwrap();
    whole(&trainer.step(2, &spec()).await.unwrap());
}

/// A node is frozen while streams run over it: its callers leave it and go on at the others,
/// no token lost or doubled.
#[tokio::test(flavor = "multi_thread")]
async fn node_is_frozen_in_streams() {
    let test = Deployment::spawn("frozen-streams").await;
    let request = |seed| completion("long con", seed, 120);
    let streams: Vec<_> = (0..8)
        .map(|seed| {
            let shop = CallerClient::new("shop".into(), test.callers());
            tokio::spawn(async move { shop.stream(&request(seed), GUARD).await })
        })
        .collect();
    test.streamed(16).await;
    let frozen = test.daemons[0].as_ref().unwrap();
    frozen.freeze().unwrap();
    test.full_speed();
    for (seed, stream) in (0..).zip(streams) {
        assert_eq!(stream.await.unwrap().unwrap().body, expected(&request(seed)));
    }
    frozen.thaw().unwrap();
}
