//! A `mulberryd` process, for tests that stop, freeze and kill it.
#![allow(dead_code, clippy::unwrap_used)]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use mulberrycourse::edge::http::Fetch;
use mulberrycourse::edge::peer::{NodeInfo, NodeState};
use standins::fleet::Fleet;

/// Pause between looks at a condition.
pub(crate) const POLL: Duration = Duration::from_millis(20);

/// A folder of its own, removed when dropped.
pub(crate) struct Folder(pub(crate) PathBuf);

impl Folder {
    pub(crate) fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let next = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("mulberry-{}-{next}", std::process::id());
        let path = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&path).unwrap();
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// A `mulberryd` process; killed when dropped.
pub(crate) struct Daemon {
    child: Child,
    pub(crate) name: String,
    pub(crate) callers: SocketAddr,
    pub(crate) peers: SocketAddr,
    pub(crate) admin: SocketAddr,
}

impl Daemon {
    /// Starts a node of the fleet's platform, with short drain times.
    pub(crate) fn spawn(name: &str, fleet: &Fleet, folder: &Folder, seeds: &[SocketAddr]) -> Self {
        let keys = fleet.signers.keys().iter();
        let keys: String = keys
            .map(|(n, k)| format!("{n} = {}\n", hex::encode(k.verifying_key().to_bytes())))
            .collect();
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let text = format!(
            "[node]\nname = {name}\nregion = trondheim\nzone = heimdal\n\
             callers = 127.0.0.1:0\npeers = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
             [platform]\naddress = {}\n[peers]\nseeds = {}\n\
             [drain]\nttl = 300ms\nmargin = 300ms\n[operators]\n{keys}",
            fleet.platform.address(),
            seeds.join(", "),
        );
        let path = folder.0.join(format!("{name}.ini"));
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
        let (callers, peers, admin) = (field("callers"), field("peers"), field("admin"));
        Self { child, name: name.to_owned(), callers, peers, admin }
    }

    /// The nodes that this one counts as alive; none if it does not answer.
    pub(crate) async fn nodes(&self) -> Vec<NodeInfo> {
        let limit = Duration::from_secs(5);
        Fetch::default().get(self.admin, "/v1/state/nodes", limit).await.unwrap_or_default()
    }

    /// Waits until this node counts exactly these nodes as serving.
    pub(crate) async fn sees(&self, names: &[&str]) {
        let mut wanted: Vec<&str> = names.to_vec();
        wanted.sort_unstable();
        loop {
            let nodes = self.nodes().await;
            let serving = nodes.iter().filter(|n| n.state == NodeState::Serving);
            if serving.map(|n| &*n.name).eq(wanted.iter().copied()) {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Waits until this node has a bundle of at least this number in force.
    pub(crate) async fn holds(&self, bundle: u64) {
        let own = |nodes: Vec<NodeInfo>| nodes.into_iter().find(|n| *n.name == self.name);
        while own(self.nodes().await).is_none_or(|n| n.bundle < bundle) {
            tokio::time::sleep(POLL).await;
        }
    }

    /// Sends a signal, such as STOP, CONT or TERM, to this process alone.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").arg(format!("-{name}")).arg(id).status().unwrap();
        assert!(sent.success());
    }

    /// Waits until the process has ended by itself.
    pub(crate) async fn ended(&mut self) -> ExitStatus {
        loop {
            if let Some(status) = self.child.try_wait().unwrap() {
                return status;
            }
            tokio::time::sleep(POLL).await;
        }
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
