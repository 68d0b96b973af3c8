//! Nodes as processes of their own, found through the platform.
#![allow(clippy::unwrap_used)]

use std::time::Duration;

use mulberrycourse::client::Caller;
use standins::daemon::Daemon;
use standins::engine::EngineSettings;
use standins::fleet::Fleet;

/// Three processes find each other, serve the bundle and a call, and one is killed:
/// the others go on to answer.
#[tokio::test(flavor = "multi_thread")]
async fn processes_serve_and_one_is_killed() {
    let fleet = Fleet::spawn(0, 2, EngineSettings::default()).await.unwrap();
    let folder = std::env::temp_dir().join(format!("mulberry-processes-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let exe = env!("CARGO_BIN_EXE_mulberryd");
    let platform = fleet.platform.address();
    let spawn = |name: &&str| Daemon::spawn(exe, name, &fleet, platform, &folder).unwrap();
    let mut daemons: Vec<Daemon> = ["a", "b", "c"].iter().map(spawn).collect();
    let wait = Duration::from_secs(20);
    for daemon in &daemons {
        while daemon.nodes().await.iter().filter(|n| n.bundle == 1).count() < 3 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
    drop(daemons.remove(0));
    let shop = Caller::new("shop".into(), daemons.iter().map(|d| d.callers).collect());
    let answer = shop.call("stock", "/items/1", "", None, wait).await.unwrap();
    assert_eq!(answer.body, "ran /items/1 ");
    std::fs::remove_dir_all(&folder).unwrap();
}
