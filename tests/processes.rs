//! Nodes as processes of their own, found through the platform.
#![allow(clippy::unwrap_used)]

mod common;

use std::time::Duration;

use common::daemon::{Daemon, Folder};
use mulberrycourse::client::Caller;
use standins::engine::EngineSettings;
use standins::fleet::Fleet;
use standins::platform::Faults;

const WAIT: Duration = Duration::from_secs(20);
/// A guard against a hang; no verdict depends on it.
const GUARD: Duration = Duration::from_secs(120);

async fn fleet() -> Fleet {
    Fleet::spawn(0, 2, EngineSettings::default()).await.unwrap()
}

/// Three processes find each other, serve the bundle and a call, and one is killed:
/// the others go on to answer.
#[tokio::test(flavor = "multi_thread")]
async fn processes_serve_and_one_is_killed() {
    let fleet = fleet().await;
    let folder = Folder::new();
    let spawn = |n: &&str| Daemon::spawn(n, &fleet, &folder, &[]);
    let mut daemons: Vec<Daemon> = ["a", "b", "c"].iter().map(spawn).collect();
    for daemon in &daemons {
        while daemon.nodes().await.iter().filter(|n| n.bundle == 1).count() < 3 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    drop(daemons.remove(0));
    let shop = Caller::new("shop".into(), daemons.iter().map(|d| d.callers).collect());
    let answer = shop.call("stock", "/items/1", "", None, WAIT).await.unwrap();
    assert_eq!(answer.body, "ran /items/1 ");
    tokio::time::timeout(GUARD, daemons[0].sees(&["b", "c"])).await.unwrap();
}

/// A process is frozen (SIGSTOP) and thawed: the others count it out and in again,
/// and it serves as before.
#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_process_goes_and_comes_back() {
    let fleet = fleet().await;
    let folder = Folder::new();
    let spawn = |n: &&str| Daemon::spawn(n, &fleet, &folder, &[]);
    let daemons: Vec<Daemon> = ["a", "b", "c"].iter().map(spawn).collect();
    let all = async {
        for daemon in &daemons {
            daemon.sees(&["a", "b", "c"]).await;
        }
        daemons[2].signal("STOP");
        daemons[0].sees(&["a", "b"]).await;
        daemons[1].sees(&["a", "b"]).await;
        daemons[2].signal("CONT");
        for daemon in &daemons {
            daemon.sees(&["a", "b", "c"]).await;
        }
    };
    tokio::time::timeout(GUARD, all).await.unwrap();
}

/// A process starts while the platform is down: it finds the others by the seeds of
/// its settings, gets the bundle from them, and serves.
#[tokio::test(flavor = "multi_thread")]
async fn a_process_joins_during_an_outage() {
    let fleet = fleet().await;
    let folder = Folder::new();
    let first = Daemon::spawn("a", &fleet, &folder, &[]);
    let second = Daemon::spawn("b", &fleet, &folder, &[]);
    let all = async {
        first.sees(&["a", "b"]).await;
        fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
        let third = Daemon::spawn("c", &fleet, &folder, &[first.peers]);
        for daemon in [&first, &second, &third] {
            daemon.sees(&["a", "b", "c"]).await;
        }
        third.holds(1).await;
    };
    tokio::time::timeout(GUARD, all).await.unwrap();
}
