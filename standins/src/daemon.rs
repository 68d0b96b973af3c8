//! A `mulberryd` process, for tests that kill or pause one.

use std::io::{BufRead, BufReader, Error};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use mulberrycourse::edge::http::JsonClient;
use mulberrycourse::edge::peer::{NodeInfo, NodeState};
use rustix::process::{Pid, Signal, WaitId, WaitIdOptions, kill_process, waitid};

use crate::fleet::Fleet;
use crate::misbehaving::ProcessUsage;

/// Timeout of a request for the daemon's state.
const STATE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running process; killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    /// The name of its node.
    pub name: String,
    /// The address for peers.
    pub peer_address: SocketAddr,
    /// The address for callers.
    pub client_address: SocketAddr,
    /// The address for operators.
    pub admin_address: SocketAddr,
}

impl Daemon {
    /// Starts the program `exe` with a fleet's operators, and writes its settings to `folder`.
    /// Fails if the process ends before it listens.
    pub fn spawn(
        exe: &str,
        name: &str,
        fleet: &Fleet,
        platform: SocketAddr,
        folder: &Path,
    ) -> std::io::Result<Self> {
        Self::start(exe, name, fleet, platform, folder, "")
    }

    /// Like [`Self::spawn`], with the addresses of peers to use when the platform is unreachable.
    pub fn spawn_with_seeds(
        exe: &str,
        name: &str,
        fleet: &Fleet,
        platform: SocketAddr,
        folder: &Path,
        seeds: &[SocketAddr],
    ) -> std::io::Result<Self> {
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let section = format!("[peers]\nseeds = {}\n", seeds.join(", "));
        Self::start(exe, name, fleet, platform, folder, &section)
    }

    /// Like [`Self::spawn`], with further sections of the settings.
    pub fn spawn_with_sections(
        exe: &str,
        name: &str,
        fleet: &Fleet,
        folder: &Path,
        sections: &str,
    ) -> std::io::Result<Self> {
        Self::start(exe, name, fleet, fleet.platform.address(), folder, sections)
    }

    fn start(
        exe: &str,
        name: &str,
        fleet: &Fleet,
        platform: SocketAddr,
        folder: &Path,
        sections: &str,
    ) -> std::io::Result<Self> {
        let keys = fleet.signers.keys().iter();
        let keys: String = keys
            .map(|(n, k)| format!("{n} = {}\n", hex::encode(k.verifying_key().to_bytes())))
            .collect();
        let text = format!(
            "[node]\nname = {name}\nregion = trondheim\nzone = heimdal\n\
             callers = 127.0.0.1:0\npeers = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
             [platform]\naddress = {platform}\n[drain]\nttl = 200ms\nmargin = 100ms\n\
             {sections}[operators]\n{keys}"
        );
        let path = folder.join(format!("{name}.ini"));
        std::fs::write(&path, text)?;
        let mut child = Command::new(exe).arg("run").arg(&path).stderr(Stdio::piped()).spawn()?;
        let ended = || Error::other("the daemon ended before it was listening");
        let stderr = child.stderr.take().ok_or_else(ended)?;
        let mut lines = BufReader::new(stderr).lines().map_while(Result::ok);
        let line = lines.find(|l| l.contains("event=listening")).ok_or_else(ended)?;
        std::thread::spawn(move || lines.for_each(drop));
        let field = |key: &str| {
            let mut words = line.split(' ').filter_map(|w| w.split_once('='));
            let found = words.find(|(k, _)| *k == key).map(|(_, v)| v.trim_matches('"'));
            found.and_then(|v| v.parse().ok()).ok_or_else(|| Error::other(line.clone()))
        };
        let (peer_address, client_address) = (field("peers")?, field("callers")?);
        let admin_address = field("admin")?;
        Ok(Self { child, name: name.to_owned(), peer_address, client_address, admin_address })
    }

    /// What the process uses. Fails if it has ended.
    pub fn usage(&self) -> std::io::Result<ProcessUsage> {
        ProcessUsage::of(self.child.id())
    }

    /// The nodes that it knows, including itself; empty if it does not respond.
    pub async fn nodes(&self) -> Vec<NodeInfo> {
        JsonClient::default()
            .get(self.admin_address, "/v1/state/nodes", STATE_TIMEOUT)
            .await
            .unwrap_or_default()
    }

    /// Waits until the nodes that it knows as serving are exactly these, in this order.
    pub async fn wait_for_nodes(&self, names: &[&str]) {
        loop {
            let nodes = self.nodes().await;
            let serving = nodes.iter().filter(|n| n.state == NodeState::Serving);
            if serving.map(|n| &*n.name).eq(names.iter().copied()) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until it uses a bundle of at least this number.
    pub async fn wait_for_bundle(&self, bundle: u64) {
        loop {
            let nodes = self.nodes().await;
            if nodes.iter().any(|n| *n.name == self.name && n.bundle >= bundle) {
                return;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends SIGTERM, which starts an orderly stop.
    pub fn terminate(&self) -> std::io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Waits until the process has exited by itself.
    pub async fn wait_for_exit(&mut self) -> std::io::Result<ExitStatus> {
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Sends SIGSTOP and waits until every thread of the process has stopped, as that of a paused
    /// VM has: on a busy machine the process runs on for milliseconds after the signal is sent.
    pub fn pause(&self) -> std::io::Result<()> {
        self.signal(Signal::STOP)?;
        waitid(WaitId::Pid(Pid::from_child(&self.child)), WaitIdOptions::STOPPED)?;
        Ok(())
    }

    /// The states of the process's threads, as `/proc` gives them: `T` is a stopped thread.
    pub fn thread_states(&self) -> std::io::Result<Vec<char>> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.child.id()))?;
        let state = |task: std::io::Result<std::fs::DirEntry>| {
            let text = std::fs::read_to_string(task?.path().join("stat"))?;
            // The state follows the name of the program, which may have spaces in it.
            let state = text.rsplit_once(") ").and_then(|(_, rest)| rest.chars().next());
            state.ok_or_else(|| Error::other(text.clone()))
        };
        tasks.map(state).collect()
    }

    /// Sends SIGCONT: the process continues.
    pub fn resume(&self) -> std::io::Result<()> {
        self.signal(Signal::CONT)
    }

    fn signal(&self, signal: Signal) -> std::io::Result<()> {
        Ok(kill_process(Pid::from_child(&self.child), signal)?)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A new temporary directory, removed when dropped.
#[derive(Debug)]
pub struct TempDir {
    path: PathBuf,
}

impl TempDir {
    /// Creates a directory.
    pub fn create() -> std::io::Result<Self> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let next = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("mulberry-{}-{next}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self { path })
    }

    /// The path of the directory.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
