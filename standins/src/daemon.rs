//! A `mulberryd` process, for tests that kill or freeze one.

use std::io::{BufRead, BufReader, Error};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use mulberrycourse::edge::http::JsonClient;
use mulberrycourse::edge::peer::{NodeInfo, NodeState};
use rustix::process::{Pid, Signal, kill_process};

use crate::fleet::Fleet;

/// How long the daemon may take to answer about its state.
const LIMIT: Duration = Duration::from_secs(5);
/// Pause between looks at a condition.
const POLL: Duration = Duration::from_millis(20);

/// A running process; killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    /// Its name.
    pub name: String,
    /// Where peers connect.
    pub peers: SocketAddr,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
}

impl Daemon {
    /// Starts the program `exe` beside a fleet, with its settings in `folder`.
    pub fn spawn(
        exe: &str,
        name: &str,
        fleet: &Fleet,
        platform: SocketAddr,
        folder: &Path,
    ) -> std::io::Result<Self> {
        Self::spawn_seeded(exe, name, fleet, platform, folder, &[])
    }

    /// The same, with peer addresses to ask when the platform does not answer.
    pub fn spawn_seeded(
        exe: &str,
        name: &str,
        fleet: &Fleet,
        platform: SocketAddr,
        folder: &Path,
        seeds: &[SocketAddr],
    ) -> std::io::Result<Self> {
        let seeds: Vec<String> = seeds.iter().map(SocketAddr::to_string).collect();
        let seeds = seeds.join(", ");
        let keys = fleet.signers.keys().iter();
        let keys: String = keys
            .map(|(n, k)| format!("{n} = {}\n", hex::encode(k.verifying_key().to_bytes())))
            .collect();
        let text = format!(
            "[node]\nname = {name}\nregion = trondheim\nzone = heimdal\n\
             callers = 127.0.0.1:0\npeers = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
             [platform]\naddress = {platform}\n[peers]\nseeds = {seeds}\n[drain]\nttl = 200ms\nmargin = 100ms\n\
             [operators]\n{keys}"
        );
        let path = folder.join(format!("{name}.ini"));
        std::fs::write(&path, text)?;
        let mut child = Command::new(exe).arg("run").arg(&path).stderr(Stdio::piped()).spawn()?;
        let ended = || Error::other("the daemon ended before it listened");
        let stderr = child.stderr.take().ok_or_else(ended)?;
        let mut lines = BufReader::new(stderr).lines().map_while(Result::ok);
        let line = lines.find(|l| l.contains("event=listening")).ok_or_else(ended)?;
        std::thread::spawn(move || lines.for_each(drop));
        let field = |key: &str| {
            let mut words = line.split(' ').filter_map(|w| w.split_once('='));
            let found = words.find(|(k, _)| *k == key).map(|(_, v)| v.trim_matches('"'));
            found.and_then(|v| v.parse().ok()).ok_or_else(|| Error::other(line.clone()))
        };
        let (peers, callers, admin) = (field("peers")?, field("callers")?, field("admin")?);
        Ok(Self { child, name: name.to_owned(), peers, callers, admin })
    }

    /// The nodes that it knows, itself included.
    pub async fn nodes(&self) -> Vec<NodeInfo> {
        JsonClient::default().get(self.admin, "/v1/state/nodes", LIMIT).await.unwrap_or_default()
    }

    /// Waits until it counts exactly these nodes as serving.
    pub async fn sees(&self, names: &[&str]) {
        loop {
            let nodes = self.nodes().await;
            let serving = nodes.iter().filter(|n| n.state == NodeState::Serving);
            if serving.map(|n| &*n.name).eq(names.iter().copied()) {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Waits until it has a bundle of at least this number in force.
    pub async fn holds(&self, bundle: u64) {
        loop {
            let nodes = self.nodes().await;
            if nodes.iter().any(|n| *n.name == self.name && n.bundle >= bundle) {
                return;
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Asks it to stop (SIGTERM).
    pub fn terminate(&self) -> std::io::Result<()> {
        self.signal(Signal::TERM)
    }

    /// Waits until it has ended by itself.
    pub async fn ended(&mut self) -> std::io::Result<ExitStatus> {
        loop {
            if let Some(status) = self.child.try_wait()? {
                return Ok(status);
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Stands still, as a paused VM does (SIGSTOP).
    pub fn freeze(&self) -> std::io::Result<()> {
        self.signal(Signal::STOP)
    }

    /// Goes on (SIGCONT).
    pub fn thaw(&self) -> std::io::Result<()> {
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

/// A temporary folder of its own, removed when dropped.
#[derive(Debug)]
pub struct Folder {
    path: PathBuf,
}

impl Folder {
    /// Makes a new one.
    pub fn open() -> std::io::Result<Self> {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let next = NEXT.fetch_add(1, Ordering::Relaxed);
        let path = std::env::temp_dir().join(format!("mulberry-{}-{next}", std::process::id()));
        std::fs::create_dir_all(&path)?;
        Ok(Self { path })
    }

    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.path);
    }
}
