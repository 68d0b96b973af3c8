//! Nodes as processes of their own, found through the platform.
#![allow(clippy::unwrap_used)]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use mulberrycourse::client::Caller;
use mulberrycourse::edge::http::Fetch;
use mulberrycourse::edge::peer::NodeInfo;
use standins::engine::EngineSettings;
use standins::fleet::Fleet;

/// A `mulberryd` process; killed when dropped.
struct Daemon {
    child: Child,
    callers: SocketAddr,
    admin: SocketAddr,
}

impl Daemon {
    fn spawn(name: &str, fleet: &Fleet, folder: &std::path::Path) -> Self {
        let keys = fleet.signers.keys().iter();
        let keys: String = keys
            .map(|(n, k)| format!("{n} = {}\n", hex::encode(k.verifying_key().to_bytes())))
            .collect();
        let text = format!(
            "[node]\nname = {name}\nregion = trondheim\nzone = heimdal\n\
             callers = 127.0.0.1:0\npeers = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
             [platform]\naddress = {}\n[drain]\nttl = 200ms\nmargin = 100ms\n\
             [operators]\n{keys}",
            fleet.platform.address(),
        );
        let path = folder.join(format!("{name}.ini"));
        std::fs::write(&path, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_mulberryd"))
            .arg("run")
            .arg(&path)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines();
        let line = lines.by_ref().map(Result::unwrap).find(|l| l.contains("event=listening"));
        let line = line.unwrap();
        std::thread::spawn(move || lines.for_each(drop));
        let field = |key: &str| {
            let words = line.split(' ').filter_map(|w| w.split_once('='));
            let (_, value) = words.into_iter().find(|(k, _)| *k == key).unwrap();
            value.trim_matches('"').parse().unwrap()
        };
        Self { callers: field("callers"), admin: field("admin"), child }
    }

    async fn nodes(&self) -> Vec<NodeInfo> {
        let fetch = Fetch::default();
        fetch.get(self.admin, "/v1/state/nodes", Duration::from_secs(5)).await.unwrap_or_default()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Three processes find each other, serve the bundle and a call, and one is killed:
/// the others go on to answer.
#[tokio::test(flavor = "multi_thread")]
async fn processes_serve_and_one_is_killed() {
    let fleet = Fleet::spawn(0, 2, EngineSettings::default()).await.unwrap();
    let folder = std::env::temp_dir().join(format!("mulberry-processes-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut daemons: Vec<Daemon> =
        ["a", "b", "c"].iter().map(|n| Daemon::spawn(n, &fleet, &folder)).collect();
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
