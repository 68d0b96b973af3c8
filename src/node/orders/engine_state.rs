//! The rollout state of the engines for operators.

use serde::{Deserialize, Serialize};

use super::rollouts::{engine_fleets, target_weights};
use crate::Name;
use crate::decide::{EngineObservation, Rollout, RolloutStage};
use crate::node::app::App;

/// The rollout state of an engine, as this node knows it.
///
/// A node polls the engines that it owns and, while those wait, the other engines of their swap
/// chains. It reports any other engine as `unknown`; the owner of that engine knows its state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineState {
    /// The name of the VM.
    pub name: Name,
    /// The service that the engine belongs to.
    pub service: Name,
    /// The node that sends weight orders to the engine.
    pub owner: Name,
    /// The weight version that the bundle asks for.
    #[serde(rename = "wanted")]
    pub target_version: u64,
    /// The weight version in the last poll. None if the engine's weights were incomplete, or if it
    /// did not respond.
    #[serde(rename = "reported")]
    pub reported_version: Option<u64>,
    /// The stage of the engine in the rollout.
    pub stage: RolloutStage,
    /// The time since the last observation of the engine, in milliseconds.
    #[serde(rename = "looked_ms")]
    pub observation_age_ms: Option<u64>,
}

/// Returns the state of every engine of the active bundle.
pub(in crate::node) fn engine_states(app: &App) -> Vec<EngineState> {
    let Some(adopted) = app.bundles.current() else { return Vec::new() };
    let now = app.clock.now();
    let rollouts = app.rollouts.by_service.lock();
    let mut states = Vec::new();
    for fleet in engine_fleets(app, &adopted.bundle).iter() {
        let rollout = rollouts.get(&fleet.service);
        // The stage refers to the target that the rollout was last given. A bundle that has just
        // become active may not have reached the rollout yet.
        let target =
            rollout.map_or(target_weights(&adopted.bundle, &fleet.engine), Rollout::target);
        for (name, owner) in &fleet.owners {
            let last = rollout.and_then(|r| r.last_observation(name));
            let reported_version = match last {
                Some((EngineObservation::Report { version, .. }, _)) => version,
                Some((EngineObservation::Silent, _)) | None => None,
            };
            states.push(EngineState {
                name: name.clone(),
                service: fleet.service.clone(),
                owner: owner.clone(),
                target_version: target.version,
                reported_version,
                stage: rollout.map_or(RolloutStage::Unknown, |r| r.stage(name)),
                observation_age_ms: last.map(|(_, at)| now.saturating_sub(at).as_millis() as u64),
            });
        }
    }
    states
}
