//! Follows a rollout: which nodes have the bundle and which engines serve its weight version.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::join_all;
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use super::{CommandError, queries};
use crate::edge::peer::NodeInfo;
use crate::edge::upstream::EngineClient;
use crate::node::{BundleState, UpstreamState};

/// Time between two observations of a rollout.
const POLL_INTERVAL: Duration = Duration::from_millis(250);
/// Timeout of a status request to an engine.
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);

/// The progress of a rollout, as reported by one node and by the engines themselves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RolloutProgress {
    /// The number of the bundle that is rolled out.
    pub number: u64,
    /// The number of nodes that have the bundle.
    pub nodes: usize,
    /// The number of nodes.
    pub all_nodes: usize,
    /// The number of engines that report the weight version of the bundle.
    pub engines: usize,
    /// The number of engines that accept work and have a target version.
    pub all_engines: usize,
    /// The names of nodes and engines that are behind.
    pub behind: Vec<String>,
}

impl RolloutProgress {
    /// Returns whether there is a bundle and no node or engine is behind.
    pub fn is_complete(&self) -> bool {
        self.number > 0 && self.behind.is_empty()
    }

    /// Returns the progress as one line of text.
    pub fn summary(&self) -> String {
        let Self { number, nodes, all_nodes, engines, all_engines, .. } = self;
        format!("bundle {number}: {nodes} of {all_nodes} nodes, {engines} of {all_engines} engines")
    }
}

/// Polls a node and the engines until the rollout is complete, or fails after `timeout`. `number` is
/// the bundle to wait for; by default the latest one that any node has. `show` is called with each
/// observation.
pub async fn follow_rollout(
    node: SocketAddr,
    number: Option<u64>,
    timeout: Duration,
    mut show: impl FnMut(&RolloutProgress),
) -> Result<RolloutProgress, CommandError> {
    let deadline = Instant::now() + timeout;
    let engines = EngineClient::default();
    loop {
        let rollout = observe(node, number, &engines).await?;
        show(&rollout);
        if rollout.is_complete() {
            return Ok(rollout);
        }
        if Instant::now() >= deadline {
            let behind = rollout.behind.join(", ");
            return Err(CommandError::TimedOut(format!("{}; behind: {behind}", rollout.summary())));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn observe(
    node: SocketAddr,
    number: Option<u64>,
    engines: &EngineClient,
) -> Result<RolloutProgress, CommandError> {
    let nodes: Vec<NodeInfo> = queries::state(node, "nodes").await?;
    let upstreams: Vec<UpstreamState> = queries::state(node, "upstreams").await?;
    let node_bundle = queries::state::<BundleState>(node, "bundle").await.map_or(0, |b| b.number);
    let latest = nodes.iter().map(|n| n.bundle).max().unwrap_or_default();
    let number = number.unwrap_or(latest);
    let mut behind: Vec<String> =
        nodes.iter().filter(|n| n.bundle < number).map(|n| n.name.to_string()).collect();
    let at_node = nodes.len() - behind.len();
    let targeted: Vec<&UpstreamState> =
        upstreams.iter().filter(|u| u.accepting && u.target_version.is_some()).collect();
    // Until this node has the bundle, its target versions are those of the previous one.
    let targets_known = node_bundle >= number;
    let statuses = targeted.iter().map(|u| engines.status(u.address, STATUS_TIMEOUT));
    let statuses = join_all(statuses).await;
    let behind_name = |(u, status): (&&UpstreamState, _)| match status {
        Ok::<crate::edge::upstream::EngineStatus, _>(status)
            if targets_known && status.version == u.target_version =>
        {
            None
        }
        Ok(_) | Err::<_, crate::edge::http::JsonClientError>(_) => Some(u.name.to_string()),
    };
    let engines_behind: Vec<String> =
        targeted.iter().zip(statuses).filter_map(behind_name).collect();
    let at_engine = targeted.len() - engines_behind.len();
    behind.extend(engines_behind);
    Ok(RolloutProgress {
        number,
        nodes: at_node,
        all_nodes: nodes.len(),
        engines: at_engine,
        all_engines: targeted.len(),
        behind,
    })
}
