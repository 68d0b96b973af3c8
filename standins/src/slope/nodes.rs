//! Real nodes, each a process of its own, with three upstreams a node as planned:
//! what control costs a node while nothing is asked of it, at each phase.

use std::collections::BTreeMap;
use std::time::Duration;

use mulberrycourse::edge::http::{JsonClient, JsonClientError};
use mulberrycourse::edge::peer::NodeInfo;
use mulberrycourse::node::BundleState;
use serde::de::DeserializeOwned;
use tokio::time::Instant;

use super::{Scrape, Table};
use crate::daemon::{Daemon, TempDir};
use crate::engine::EngineSettings;
use crate::fleet::{Fleet, FleetError, bundle_text};
use crate::platform::Faults;

/// Upstreams a node: 1,100 replicas before 380 nodes.
const REPLICAS: u32 = 3;
/// The part of the nodes that goes with an availability zone, as a divisor.
const ZONES: usize = 3;
/// Pause between two looks at a condition.
const POLL: Duration = Duration::from_millis(25);
/// Pause after the start, before the rest is measured.
const CALM: Duration = Duration::from_secs(10);
/// The longest wait for a condition: a size that does not settle is an error.
const SETTLE: Duration = Duration::from_secs(90);

/// What goes on while it is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Nothing.
    Steady,
    /// A bundle with a new weight version has come into force.
    Rollout,
    /// The platform is down.
    Outage,
    /// The platform has come back.
    Return,
    /// A third of the nodes has gone.
    Zone,
}

impl Phase {
    /// The word in tables.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Rollout => "rollout",
            Self::Outage => "outage",
            Self::Return => "return",
            Self::Zone => "zone",
        }
    }
}

/// Why a size was not measured.
#[derive(Debug, thiserror::Error)]
pub enum NodesError {
    /// A node does not answer.
    #[error(transparent)]
    Fetch(#[from] JsonClientError),
    /// A stand-in is missing.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A daemon or its folder is missing.
    #[error(transparent)]
    Start(#[from] std::io::Error),
    /// A condition was not met.
    #[error("{0} nodes: {1} not within {SETTLE:?}")]
    Unsettled(u32, &'static str),
}

/// The nodes of one size.
struct Nodes {
    size: u32,
    fleet: Fleet,
    daemons: Vec<Daemon>,
    fetch: JsonClient,
    window: Duration,
}

/// Measures one size through every phase.
pub async fn fleet(
    exe: &str,
    size: u32,
    window: Duration,
    table: &mut Table,
) -> Result<(), NodesError> {
    let folder = TempDir::create()?;
    let engines = EngineSettings::default();
    let fleet = Fleet::spawn(0, (size * REPLICAS) as usize, engines).await?;
    let platform = fleet.platform.address();
    let names = (0..size).map(|index| format!("node-{index}"));
    let daemons: Result<Vec<Daemon>, _> =
        names.map(|name| Daemon::spawn(exe, &name, &fleet, platform, folder.path())).collect();
    let mut nodes = Nodes { size, fleet, daemons: daemons?, fetch: JsonClient::default(), window };
    let began = Instant::now();
    nodes.until("membership", Nodes::complete).await?;
    table.add("start", size, "seconds until all know all", began.elapsed().as_secs_f64());
    // What the start gave to talk about has been told by then.
    tokio::time::sleep(CALM).await;
    nodes.window(Phase::Steady, table).await?;
    nodes.answers(table).await?;

    let began = Instant::now();
    nodes.fleet.apply_bundle(2, &bundle_text(2, 2)).await?;
    nodes.until("bundle", |n, a| Box::pin(n.in_force(a, 2))).await?;
    let name = "seconds until in force at all nodes";
    table.add("rollout", size, name, began.elapsed().as_secs_f64());
    let swaps = async {
        nodes.until("versions", Nodes::swapped).await?;
        Ok::<f64, NodesError>(began.elapsed().as_secs_f64())
    };
    let (rated, swapped) = tokio::join!(nodes.window(Phase::Rollout, table), swaps);
    rated?;
    table.add("rollout", size, "seconds until all engines have the version", swapped?);

    nodes.fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    nodes.window(Phase::Outage, table).await?;
    nodes.fleet.platform.set_faults(Faults::default());
    nodes.window(Phase::Return, table).await?;

    let began = Instant::now();
    let lost = nodes.daemons.len().div_ceil(ZONES);
    nodes.daemons.truncate(nodes.daemons.len() - lost);
    nodes.until("loss", Nodes::complete).await?;
    let name = "seconds until the loss is known to all";
    table.add("zone", size, name, began.elapsed().as_secs_f64());
    nodes.window(Phase::Zone, table).await
}

type Look<'a> = std::pin::Pin<Box<dyn Future<Output = Result<bool, JsonClientError>> + 'a>>;

impl Nodes {
    /// Waits until a condition holds at every node.
    async fn until<F>(&self, what: &'static str, holds: F) -> Result<(), NodesError>
    where
        F: for<'a> Fn(&'a Self, &'a Daemon) -> Look<'a>,
    {
        let until = Instant::now() + SETTLE;
        for daemon in &self.daemons {
            while !holds(self, daemon).await.unwrap_or(false) {
                if Instant::now() > until {
                    return Err(NodesError::Unsettled(self.size, what));
                }
                tokio::time::sleep(POLL).await;
            }
        }
        Ok(())
    }

    async fn state<T: DeserializeOwned>(
        &self,
        at: &Daemon,
        what: &str,
    ) -> Result<T, JsonClientError> {
        let path = format!("/v1/state/{what}");
        self.fetch.get(at.admin_address, &path, Duration::from_secs(5)).await
    }

    /// Whether a node sees all nodes alive, and none that is gone.
    fn complete<'a>(&'a self, at: &'a Daemon) -> Look<'a> {
        Box::pin(async move {
            let seen: Vec<NodeInfo> = self.state(at, "nodes").await?;
            Ok(seen.len() == self.daemons.len() && seen.iter().all(|n| n.bundle > 0))
        })
    }

    async fn in_force(&self, at: &Daemon, number: u64) -> Result<bool, JsonClientError> {
        let state: BundleState = self.state(at, "bundle").await?;
        Ok(state.number >= number)
    }

    fn swapped<'a>(&'a self, _: &'a Daemon) -> Look<'a> {
        Box::pin(async move { Ok(self.fleet.engines.iter().all(|e| e.version() == Some(2))) })
    }

    /// Scrapes, waits, scrapes again, and adds the rates of a mean node.
    async fn window(&self, phase: Phase, table: &mut Table) -> Result<(), NodesError> {
        let before = self.scrapes().await?;
        let mut calls = self.calls();
        let (first, began) = (calls, Instant::now());
        let mut peak: f64 = 0.0;
        while began.elapsed() < self.window {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let now = self.calls();
            peak = peak.max((now.0 + now.1) - (calls.0 + calls.1));
            calls = now;
        }
        let after = self.scrapes().await?;
        let seconds = began.elapsed().as_secs_f64();
        let mut add = |name: &str, value: f64| table.add(phase.as_str(), self.size, name, value);
        add("platform reads a second in all", (calls.0 - first.0) / seconds);
        add("platform writes a second in all", (calls.1 - first.1) / seconds);
        add("platform calls in the worst second in all", peak);
        for (name, value) in rates(&before, &after, seconds) {
            add(&name, value);
        }
        Ok(())
    }

    /// Reads and writes that the platform has served.
    fn calls(&self) -> (f64, f64) {
        let is_write = |path: &str| matches!(path, "/v3/kv/put" | "/v3/kv/txn" | "/v3/lease/grant");
        let calls = self.fleet.platform.call_counts();
        let sum = |write| {
            let of = calls.iter().filter(|(path, _)| is_write(path) == write);
            of.map(|(_, count)| *count as f64).sum()
        };
        (sum(false), sum(true))
    }

    async fn scrapes(&self) -> Result<Vec<Scrape>, JsonClientError> {
        let mut all = Vec::new();
        for daemon in &self.daemons {
            all.push(Scrape::of(daemon.admin_address, &self.fetch).await?);
        }
        Ok(all)
    }

    /// The size of an address answer and of `/metrics`.
    async fn answers(&self, table: &mut Table) -> Result<(), JsonClientError> {
        let Some(first) = self.daemons.first() else { return Ok(()) };
        let limit = Duration::from_secs(5);
        let answer: serde_json::Value =
            self.fetch.get(first.client_address, "/v1/addresses", limit).await?;
        let bytes = answer.to_string().len();
        table.add("steady", self.size, "bytes of an address answer", bytes as f64);
        let bytes = Scrape::of(first.admin_address, &self.fetch).await?.bytes;
        table.add("steady", self.size, "bytes of /metrics", bytes as f64);
        Ok(())
    }
}

/// The rates of a mean node, from two scrapes of all.
fn rates(before: &[Scrape], after: &[Scrape], seconds: f64) -> BTreeMap<String, f64> {
    let count = after.len() as f64;
    let mut rates = BTreeMap::new();
    for (earlier, later) in before.iter().zip(after) {
        for (series, added) in later.since(earlier) {
            let Some(name) = named(&series) else { continue };
            *rates.entry(name).or_insert(0.0) += added / seconds / count;
        }
        *rates.entry("resident bytes".to_owned()).or_insert(0.0) +=
            later.get("mulberry_resident_bytes") / count;
        for kind in ["Member", "Upstream"] {
            let held = later.get(&format!("mulberry_state_entries{{kind=\"{kind}\"}}"));
            *rates.entry(format!("entries {kind}")).or_insert(0.0) += held / count;
        }
    }
    for way in ["in", "out"] {
        let suffix = format!(" bytes {way} a second");
        let sum = rates.iter().filter(|(k, _)| k.ends_with(&suffix)).map(|(_, v)| v).sum();
        rates.insert(format!("all control bytes {way} a second"), sum);
    }
    rates
}

/// The name of a counter's rate in tables; `None` for counters that are no cost of control.
fn named(series: &str) -> Option<String> {
    let label = |key: &str| {
        let (_, rest) = series.split_once(&format!("{key}=\""))?;
        rest.split_once('"').map(|(value, _)| value)
    };
    let family = series.split('{').next()?;
    match family {
        "mulberry_control_bytes_total" => {
            Some(format!("{} bytes {} a second", label("purpose")?, label("way")?.to_lowercase()))
        }
        "mulberry_control_messages_total" => Some(format!(
            "{} messages {} a second",
            label("purpose")?,
            label("way")?.to_lowercase()
        )),
        "mulberry_platform_calls_total" => {
            Some(format!("platform calls for {} a second", label("purpose")?))
        }
        "mulberry_control_seconds_total" => {
            Some(format!("processor part of task {}", label("task")?))
        }
        "mulberry_processor_seconds_total" => Some("processor part of the process".to_owned()),
        _ => None,
    }
}
