//! A `mulberryd` process, for tests that kill or freeze one.

use std::io::{BufRead, BufReader, Error};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use mulberrycourse::edge::http::Fetch;
use mulberrycourse::edge::peer::NodeInfo;
use rustix::process::{Pid, Signal, kill_process};

use crate::fleet::Fleet;

/// How long the daemon may take to answer about its state.
const LIMIT: Duration = Duration::from_secs(5);

/// A running process; killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
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
        let keys = fleet.signers.keys().iter();
        let keys: String = keys
            .map(|(n, k)| format!("{n} = {}\n", hex::encode(k.verifying_key().to_bytes())))
            .collect();
        let text = format!(
            "[node]\nname = {name}\nregion = trondheim\nzone = heimdal\n\
             callers = 127.0.0.1:0\npeers = 127.0.0.1:0\nadmin = 127.0.0.1:0\n\
             [platform]\naddress = {platform}\n[drain]\nttl = 200ms\nmargin = 100ms\n\
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
        Ok(Self { callers: field("callers")?, admin: field("admin")?, child })
    }

    /// The nodes that it knows, itself included.
    pub async fn nodes(&self) -> Vec<NodeInfo> {
        Fetch::default().get(self.admin, "/v1/state/nodes", LIMIT).await.unwrap_or_default()
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
