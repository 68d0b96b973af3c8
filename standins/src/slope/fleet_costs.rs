//! Cost of the control plane per node at each phase, without requests. The nodes are separate
//! processes, with three upstreams per node as planned.

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

/// Upstreams per node; the planned fleet has 1,100 upstreams for 380 nodes.
const UPSTREAMS_PER_NODE: u32 = 3;
/// Number of availability zones; the loss of one stops one node in this many.
const ZONE_COUNT: usize = 3;
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(25);
/// Pause between the start and the first measurement.
const SETTLING_TIME: Duration = Duration::from_secs(10);
/// Time limit for a condition; a size that does not meet it in time is an error.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(90);

/// What the fleet does during a measurement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// Nothing changes.
    Steady,
    /// A bundle with a new weight version has just come into force.
    Rollout,
    /// The platform is down.
    Outage,
    /// The platform has just recovered.
    Return,
    /// A third of the nodes has just stopped.
    Zone,
}

impl Phase {
    /// The name in tables.
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

/// Why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum MeasureError {
    /// A request to a node failed.
    #[error(transparent)]
    Request(#[from] JsonClientError),
    /// The stand-ins could not be started or used.
    #[error(transparent)]
    Fleet(#[from] FleetError),
    /// A daemon or its folder could not be started or created.
    #[error(transparent)]
    Start(#[from] std::io::Error),
    /// A condition was not met in time.
    #[error("fleet of {0} nodes: condition {1:?} was not met within {CONDITION_TIMEOUT:?}")]
    Timeout(u32, &'static str),
}

/// A running fleet of one size.
struct RunningNodes {
    size: u32,
    fleet: Fleet,
    daemons: Vec<Daemon>,
    client: JsonClient,
    /// The length of the measurement of each phase.
    window: Duration,
}

/// Measures a fleet of one size at every phase.
pub async fn measure_fleet(
    exe: &str,
    size: u32,
    window: Duration,
    table: &mut Table,
) -> Result<(), MeasureError> {
    let folder = TempDir::create()?;
    let engines = EngineSettings::default();
    let fleet = Fleet::spawn(0, (size * UPSTREAMS_PER_NODE) as usize, engines).await?;
    let platform = fleet.platform.address();
    let names = (0..size).map(|index| format!("node-{index}"));
    let daemons: Result<Vec<Daemon>, _> =
        names.map(|name| Daemon::spawn(exe, &name, &fleet, platform, folder.path())).collect();
    let mut nodes =
        RunningNodes { size, fleet, daemons: daemons?, client: JsonClient::default(), window };
    let began = Instant::now();
    nodes.wait_until("membership", RunningNodes::sees_all_nodes).await?;
    table.add("start", size, "seconds until all know all", began.elapsed().as_secs_f64());
    // By then, the membership changes of the start have been gossiped to all nodes.
    tokio::time::sleep(SETTLING_TIME).await;
    nodes.measure_phase(Phase::Steady, table).await?;
    nodes.measure_responses(table).await?;

    let began = Instant::now();
    nodes.fleet.apply_bundle(2, &bundle_text(2, 2)).await?;
    nodes.wait_until("bundle", |n, a| Box::pin(n.has_bundle(a, 2))).await?;
    let name = "seconds until in force at all nodes";
    table.add("rollout", size, name, began.elapsed().as_secs_f64());
    let swaps = async {
        nodes.wait_until("versions", RunningNodes::engines_swapped).await?;
        Ok::<f64, MeasureError>(began.elapsed().as_secs_f64())
    };
    let (measured, swap_seconds) = tokio::join!(nodes.measure_phase(Phase::Rollout, table), swaps);
    measured?;
    table.add("rollout", size, "seconds until all engines have the version", swap_seconds?);

    nodes.fleet.platform.set_faults(Faults { down: true, ..Faults::default() });
    nodes.measure_phase(Phase::Outage, table).await?;
    nodes.fleet.platform.set_faults(Faults::default());
    nodes.measure_phase(Phase::Return, table).await?;

    let began = Instant::now();
    let lost = nodes.daemons.len().div_ceil(ZONE_COUNT);
    nodes.daemons.truncate(nodes.daemons.len() - lost);
    nodes.wait_until("loss", RunningNodes::sees_all_nodes).await?;
    let name = "seconds until the loss is known to all";
    table.add("zone", size, name, began.elapsed().as_secs_f64());
    nodes.measure_phase(Phase::Zone, table).await
}

/// The pending result of a check of one node.
type Check<'a> = std::pin::Pin<Box<dyn Future<Output = Result<bool, JsonClientError>> + 'a>>;

impl RunningNodes {
    /// Waits until a condition holds at every node. A failed request counts as not met.
    async fn wait_until<F>(&self, condition: &'static str, holds: F) -> Result<(), MeasureError>
    where
        F: for<'a> Fn(&'a Self, &'a Daemon) -> Check<'a>,
    {
        let deadline = Instant::now() + CONDITION_TIMEOUT;
        for daemon in &self.daemons {
            while !holds(self, daemon).await.unwrap_or(false) {
                if Instant::now() > deadline {
                    return Err(MeasureError::Timeout(self.size, condition));
                }
                tokio::time::sleep(POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Reads `/v1/state/` and `what` at the admin address of a node.
    async fn state<T: DeserializeOwned>(
        &self,
        at: &Daemon,
        what: &str,
    ) -> Result<T, JsonClientError> {
        let path = format!("/v1/state/{what}");
        self.client.get(at.admin_address, &path, Duration::from_secs(5)).await
    }

    /// Whether a node lists exactly the running nodes, each with a bundle.
    fn sees_all_nodes<'a>(&'a self, at: &'a Daemon) -> Check<'a> {
        Box::pin(async move {
            let seen: Vec<NodeInfo> = self.state(at, "nodes").await?;
            Ok(seen.len() == self.daemons.len() && seen.iter().all(|n| n.bundle > 0))
        })
    }

    /// Whether at least this bundle is in force at a node.
    async fn has_bundle(&self, at: &Daemon, number: u64) -> Result<bool, JsonClientError> {
        let state: BundleState = self.state(at, "bundle").await?;
        Ok(state.number >= number)
    }

    /// Whether all engines serve weight version 2.
    fn engines_swapped<'a>(&'a self, _: &'a Daemon) -> Check<'a> {
        Box::pin(async move { Ok(self.fleet.engines.iter().all(|e| e.version() == Some(2))) })
    }

    /// Scrapes all nodes before and after the window, and adds the mean rates per node.
    async fn measure_phase(&self, phase: Phase, table: &mut Table) -> Result<(), MeasureError> {
        let before = self.scrape_all().await?;
        let mut calls = self.platform_calls();
        let (first, began) = (calls, Instant::now());
        let mut peak: f64 = 0.0;
        while began.elapsed() < self.window {
            tokio::time::sleep(Duration::from_secs(1)).await;
            let now = self.platform_calls();
            peak = peak.max((now.0 + now.1) - (calls.0 + calls.1));
            calls = now;
        }
        let after = self.scrape_all().await?;
        let seconds = began.elapsed().as_secs_f64();
        let mut add = |name: &str, value: f64| table.add(phase.as_str(), self.size, name, value);
        add("platform reads a second in all", (calls.0 - first.0) / seconds);
        add("platform writes a second in all", (calls.1 - first.1) / seconds);
        add("platform calls in the worst second in all", peak);
        for (name, value) in mean_rates(&before, &after, seconds) {
            add(&name, value);
        }
        Ok(())
    }

    /// The numbers of reads and of writes that the platform has served.
    fn platform_calls(&self) -> (f64, f64) {
        let is_write = |path: &str| matches!(path, "/v3/kv/put" | "/v3/kv/txn" | "/v3/lease/grant");
        let calls = self.fleet.platform.call_counts();
        let sum = |write| {
            let of = calls.iter().filter(|(path, _)| is_write(path) == write);
            of.map(|(_, count)| *count as f64).sum()
        };
        (sum(false), sum(true))
    }

    /// Reads the metrics of all nodes, one after another.
    async fn scrape_all(&self) -> Result<Vec<Scrape>, JsonClientError> {
        let mut all = Vec::new();
        for daemon in &self.daemons {
            all.push(Scrape::fetch(daemon.admin_address, &self.client).await?);
        }
        Ok(all)
    }

    /// Adds the sizes of an address response and of `/metrics`.
    async fn measure_responses(&self, table: &mut Table) -> Result<(), JsonClientError> {
        let Some(first) = self.daemons.first() else { return Ok(()) };
        let timeout = Duration::from_secs(5);
        let answer: serde_json::Value =
            self.client.get(first.client_address, "/v1/addresses", timeout).await?;
        let bytes = answer.to_string().len();
        table.add("steady", self.size, "bytes of an address answer", bytes as f64);
        let bytes = Scrape::fetch(first.admin_address, &self.client).await?.bytes;
        table.add("steady", self.size, "bytes of /metrics", bytes as f64);
        Ok(())
    }
}

/// Returns the mean rates per node between two scrapes of all nodes.
fn mean_rates(before: &[Scrape], after: &[Scrape], seconds: f64) -> BTreeMap<String, f64> {
    let count = after.len() as f64;
    let mut rates = BTreeMap::new();
    for (earlier, later) in before.iter().zip(after) {
        for (series, added) in later.since(earlier) {
            let Some(name) = rate_name(&series) else { continue };
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

/// The name of the rate of a counter in tables; `None` for counters that do not belong to the
/// control plane.
fn rate_name(series: &str) -> Option<String> {
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
