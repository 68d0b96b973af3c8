//! A `mulberryd` as a process of its own, and what its `/metrics` say.

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use http::Request;
use mulberrycourse::edge::http::{Fetch, FetchError, empty, read};

/// The largest answer of `/metrics`, in bytes.
const LIMIT: usize = 4 << 20;

/// Why a daemon did not start.
#[derive(Debug, thiserror::Error)]
pub enum DaemonError {
    /// The program or its settings can't be used.
    #[error("{0}: {1}")]
    Start(String, std::io::Error),
    /// It ended before it listened.
    #[error("{0} ended before it listened")]
    Silent(String),
    /// It does not answer.
    #[error(transparent)]
    Fetch(#[from] FetchError),
}

/// A running process; killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    child: Child,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub admin: SocketAddr,
}

/// The series of `/metrics` with their values.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Scrape {
    /// The values by series.
    pub values: BTreeMap<String, f64>,
    /// The length of the text, in bytes.
    pub bytes: usize,
}

impl Daemon {
    /// Starts `program` with settings of that text, kept in `folder`.
    pub fn spawn(
        program: &Path,
        folder: &Path,
        name: &str,
        text: &str,
    ) -> Result<Self, DaemonError> {
        let path = folder.join(format!("{name}.ini"));
        let fail = |e| DaemonError::Start(program.display().to_string(), e);
        std::fs::write(&path, text).map_err(fail)?;
        let mut command = Command::new(program);
        let mut child =
            command.arg("run").arg(&path).stderr(Stdio::piped()).spawn().map_err(fail)?;
        let silent = || DaemonError::Silent(name.to_owned());
        let errors = child.stderr.take().ok_or_else(silent)?;
        let mut lines = BufReader::new(errors).lines().map_while(Result::ok);
        let line = lines.by_ref().find(|l| l.contains("event=listening")).ok_or_else(silent)?;
        std::thread::spawn(move || lines.for_each(drop));
        let field = |key: &str| {
            let found = line.split(' ').filter_map(|w| w.split_once('=')).find(|(k, _)| *k == key);
            found.and_then(|(_, v)| v.trim_matches('"').parse().ok()).ok_or_else(silent)
        };
        Ok(Self { callers: field("callers")?, admin: field("admin")?, child })
    }

    /// Reads `/metrics`.
    pub async fn scrape(&self, fetch: &Fetch) -> Result<Scrape, DaemonError> {
        let to = self.admin;
        let mut request = Request::new(empty());
        *request.uri_mut() = format!("http://{to}/metrics").parse().unwrap_or_default();
        let response = fetch.send(to, request).await?;
        let bytes = read(response.into_body(), LIMIT).await;
        let bytes = bytes.map_err(|e| FetchError::Broken { to, reason: e.to_string() })?;
        let text = String::from_utf8_lossy(&bytes);
        let pair = |line: &str| {
            let (series, value) = line.rsplit_once(' ')?;
            Some((series.to_owned(), value.parse().ok()?))
        };
        let values = text.lines().filter(|l| !l.starts_with('#')).filter_map(pair).collect();
        Ok(Scrape { values, bytes: bytes.len() })
    }

    /// Asks for a document of state.
    pub async fn state<T: serde::de::DeserializeOwned>(
        &self,
        fetch: &Fetch,
        what: &str,
    ) -> Result<T, DaemonError> {
        let path = format!("/v1/state/{what}");
        Ok(fetch.get(self.admin, &path, Duration::from_secs(5)).await?)
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Scrape {
    /// The value of a series, 0 if it is not there.
    pub fn get(&self, series: &str) -> f64 {
        self.values.get(series).copied().unwrap_or(0.0)
    }

    /// What has been added since an earlier scrape, for all series of counters.
    pub fn since(&self, earlier: &Self) -> BTreeMap<String, f64> {
        let counters = self.values.iter().filter(|(k, _)| k.contains("_total"));
        counters.map(|(k, v)| (k.clone(), v - earlier.get(k))).collect()
    }
}
