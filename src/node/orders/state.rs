//! The rollout as operators see it.

use serde::{Deserialize, Serialize};

use super::orders::{fleets, wanted};
use crate::Name;
use crate::decide::{EngineObservation, Rollout, RolloutStage};
use crate::node::app::App;

/// An engine on its way to the wanted version, as this node sees it.
///
/// A node looks at the engines that it owns and, while those wait, at the others
/// of their chains: what it says of further engines is `unknown`. Ask the owner.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The VM.
    pub name: Name,
    /// Its service.
    pub service: Name,
    /// The node that gives it orders.
    pub owner: Name,
    /// The version that the bundle wants.
    pub wanted: u64,
    /// The version that it reported last; none if its weights are not whole.
    pub reported: Option<u64>,
    /// Where it is on its way.
    pub stage: RolloutStage,
    /// Age of the last look, in milliseconds.
    pub looked_ms: Option<u64>,
}

/// Every engine of the bundle in force.
pub(in crate::node) fn states(app: &App) -> Vec<EngineState> {
    let Some(adopted) = app.bundles.current() else { return Vec::new() };
    let now = app.clock.now();
    let rollouts = app.orders.rollouts.lock();
    let mut states = Vec::new();
    for fleet in fleets(app, &adopted.bundle).iter() {
        let rollout = rollouts.get(&fleet.service);
        // The stage is judged against what the rollout was last told, not against a bundle
        // that came into force a moment ago.
        let wanted = rollout.map_or(wanted(&adopted.bundle, &fleet.engine), Rollout::target);
        for (name, owner) in &fleet.owners {
            let last = rollout.and_then(|r| r.last_observation(name));
            let reported = match last {
                Some((EngineObservation::Report { version, .. }, _)) => version,
                Some((EngineObservation::Silent, _)) | None => None,
            };
            states.push(EngineState {
                name: name.clone(),
                service: fleet.service.clone(),
                owner: owner.clone(),
                wanted: wanted.version,
                reported,
                stage: rollout.map_or(RolloutStage::Unknown, |r| r.stage(name)),
                looked_ms: last.map(|(_, at)| now.saturating_sub(at).as_millis() as u64),
            });
        }
    }
    states
}
