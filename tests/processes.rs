//! Tests of nodes that run as separate processes and find each other through the platform.
#![allow(clippy::unwrap_used)]

use std::path::Path;
use std::time::Duration;

use mulberrycourse::client::CallerClient;
use standins::daemon::{Daemon, TempDir};
use standins::engine::EngineSettings;
use standins::fleet::Fleet;
use standins::platform::Faults;

const CALL_TIMEOUT: Duration = Duration::from_secs(20);
/// Time limit against a hang; no assertion depends on it.
const TEST_TIMEOUT: Duration = Duration::from_secs(120);
const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mulberryd");

async fn fleet() -> Fleet {
    Fleet::spawn(0, 2, EngineSettings::default()).await.unwrap()
}

fn spawn(fleet: &Fleet, folder: &Path, names: &[&str]) -> Vec<Daemon> {
    let platform = fleet.platform.address();
    let one = |name: &&str| Daemon::spawn(DAEMON_PATH, name, fleet, platform, folder).unwrap();
    names.iter().map(one).collect()
}

async fn settle(daemons: &[Daemon], names: &[&str]) {
    for daemon in daemons {
        daemon.wait_for_nodes(names).await;
    }
}

/// Three processes find each other and adopt the bundle. One is killed: the others still answer
/// calls, and remove it from their members.
#[tokio::test(flavor = "multi_thread")]
async fn processes_serve_and_one_is_killed() {
    let fleet = fleet().await;
    let folder = TempDir::create().unwrap();
    let mut daemons = spawn(&fleet, folder.path(), &["a", "b", "c"]);
    for daemon in &daemons {
        while daemon.nodes().await.iter().filter(|n| n.bundle == 1).count() < 3 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    drop(daemons.remove(0));
    let shop = CallerClient::new("shop".into(), daemons.iter().map(|d| d.client_address).collect());
    let answer = shop.call("stock", "/items/1", "", None, CALL_TIMEOUT).await.unwrap();
    assert_eq!(answer.body, "ran /items/1 ");
    tokio::time::timeout(TEST_TIMEOUT, settle(&daemons, &["b", "c"])).await.unwrap();
}

/// A process is stopped with SIGSTOP and continued: the others mark it as failed, then as alive
/// again.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_process_goes_and_comes_back() {
    let fleet = fleet().await;
    let folder = TempDir::create().unwrap();
    let daemons = spawn(&fleet, folder.path(), &["a", "b", "c"]);
    let all = async {
        settle(&daemons, &["a", "b", "c"]).await;
        daemons[2].pause().unwrap();
        settle(&daemons[..2], &["a", "b"]).await;
        daemons[2].resume().unwrap();
        settle(&daemons, &["a", "b", "c"]).await;
    };
    tokio::time::timeout(TEST_TIMEOUT, all).await.unwrap();
}

/// Guards against a test going on while the process that it has paused still handles requests: a
/// process is stopped only some time after the signal is sent.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_process_has_stopped() {
    let fleet = fleet().await;
    let folder = TempDir::create().unwrap();
    let daemons = spawn(&fleet, folder.path(), &["a"]);
    for _ in 0..20 {
        daemons[0].pause().unwrap();
        let states = daemons[0].thread_states().unwrap();
        daemons[0].resume().unwrap();
        assert!(states.iter().all(|state| *state == 'T'), "{states:?}");
    }
}

/// A process starts while the platform is down. It finds the others through the seeds in its
/// settings, gets the bundle from them, and serves.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_joins_during_an_outage() {
    let fleet = fleet().await;
    let folder = TempDir::create().unwrap();
    let mut daemons = spawn(&fleet, folder.path(), &["a", "b"]);
    let all = async {
        settle(&daemons, &["a", "b"]).await;
        fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
        let platform = fleet.platform.address();
        let seeds = [daemons[0].peer_address];
        let third =
            Daemon::spawn_with_seeds(DAEMON_PATH, "c", &fleet, platform, folder.path(), &seeds)
                .unwrap();
        daemons.push(third);
        settle(&daemons, &["a", "b", "c"]).await;
        daemons[2].wait_for_bundle(1).await;
    };
    tokio::time::timeout(TEST_TIMEOUT, all).await.unwrap();
}
