//! Following a rollout: which nodes have the bundle, which engines the version.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{CommandError, queries};
use crate::edge::peer::NodeInfo;
use crate::edge::upstream::EngineClient;
use crate::node::{BundleState, UpstreamState};

/// Time between two looks.
const PERIOD: Duration = Duration::from_millis(250);
/// How long an engine may take to report.
const REPORT: Duration = Duration::from_secs(1);

/// How far a rollout has come, as one node and the engines themselves say.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutProgress {
    /// The bundle that is rolled out.
    pub number: u64,
    /// The nodes that have it.
    pub nodes: usize,
    /// All nodes.
    pub all_nodes: usize,
    /// The engines that report the version that the bundle states.
    pub engines: usize,
    /// All engines that are to stay.
    pub all_engines: usize,
    /// The names of nodes and engines that lag.
    pub behind: Vec<String>,
}

impl RolloutProgress {
    /// Whether it is done.
    pub fn is_complete(&self) -> bool {
        self.number > 0 && self.behind.is_empty()
    }

    /// One line of progress.
    pub fn summary(&self) -> String {
        let Self { number, nodes, all_nodes, engines, all_engines, .. } = self;
        format!("bundle {number}: {nodes} of {all_nodes} nodes, {engines} of {all_engines} engines")
    }
}

/// Looks until the rollout is done, or `limit` is over. `number` is the bundle to wait for;
/// without it, the latest that any node has. `show` gets each look.
pub async fn follow_rollout(
    node: SocketAddr,
    number: Option<u64>,
    limit: Duration,
    mut show: impl FnMut(&RolloutProgress),
) -> Result<RolloutProgress, CommandError> {
    let until = Instant::now() + limit;
    let engines = EngineClient::default();
    loop {
        let rollout = look(node, number, &engines).await?;
        show(&rollout);
        if rollout.is_complete() {
            return Ok(rollout);
        }
        if Instant::now() >= until {
            let behind = rollout.behind.join(", ");
            return Err(CommandError::TimedOut(format!("{}; behind: {behind}", rollout.summary())));
        }
        tokio::time::sleep(PERIOD).await;
    }
}

async fn look(
    node: SocketAddr,
    number: Option<u64>,
    engines: &EngineClient,
) -> Result<RolloutProgress, CommandError> {
    let nodes: Vec<NodeInfo> = queries::state(node, "nodes").await?;
    let upstreams: Vec<UpstreamState> = queries::state(node, "upstreams").await?;
    let stated = queries::state::<BundleState>(node, "bundle").await.map_or(0, |b| b.number);
    let latest = nodes.iter().map(|n| n.bundle).max().unwrap_or_default();
    let number = number.unwrap_or(latest);
    let mut behind: Vec<String> =
        nodes.iter().filter(|n| n.bundle < number).map(|n| n.name.to_string()).collect();
    let at_node = nodes.len() - behind.len();
    let wanted: Vec<&UpstreamState> =
        upstreams.iter().filter(|u| u.accepting && u.target_version.is_some()).collect();
    // Until this node has the bundle, its wanted versions are those of the one before.
    let known = stated >= number;
    let loads = wanted.iter().map(|u| engines.status(u.address, REPORT));
    let loads = join_all(loads).await;
    let whole = |(u, load): (&&UpstreamState, _)| match load {
        Ok::<crate::edge::upstream::EngineStatus, _>(load)
            if known && load.version == u.target_version =>
        {
            None
        }
        Ok(_) | Err::<_, crate::edge::http::JsonClientError>(_) => Some(u.name.to_string()),
    };
    let late: Vec<String> = wanted.iter().zip(loads).filter_map(whole).collect();
    let at_engine = wanted.len() - late.len();
    behind.extend(late);
    Ok(RolloutProgress {
        number,
        nodes: at_node,
        all_nodes: nodes.len(),
        engines: at_engine,
        all_engines: wanted.len(),
        behind,
    })
}
