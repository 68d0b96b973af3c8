//! The target weights of an engine, its observed state, and the resulting rollout stage.

use serde::{Deserialize, Serialize};

/// The weights that the engines of a service have to serve, from the bundle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TargetWeights {
    /// The bundle's number, which is the fencing token of orders.
    pub generation: u64,
    /// The weight version.
    pub version: u64,
}

/// The result of a request for an engine's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EngineObservation {
    /// The engine did not answer.
    Silent,
    /// The engine answered.
    Report {
        /// The version that it serves; `None` if its weights are incomplete.
        version: Option<u64>,
        /// Whether it is swapping weights.
        swapping: bool,
    },
}

/// The progress of an engine towards the target version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutStage {
    /// The engine was not observed yet.
    Unknown,
    /// The engine does not answer.
    Silent,
    /// The engine serves another version.
    Behind,
    /// The engine is swapping weights.
    Swapping,
    /// The engine's weights are incomplete: a swap failed partway.
    Failed,
    /// The engine serves the target version.
    Settled,
}

impl RolloutStage {
    /// The stage that follows from an observation.
    pub fn of(observation: EngineObservation, target: TargetWeights) -> Self {
        match observation {
            EngineObservation::Silent => Self::Silent,
            EngineObservation::Report { swapping: true, .. } => Self::Swapping,
            EngineObservation::Report { version: None, .. } => Self::Failed,
            EngineObservation::Report { version: Some(v), .. } if v == target.version => {
                Self::Settled
            }
            EngineObservation::Report { .. } => Self::Behind,
        }
    }

    /// The stage's name in logs and JSON documents.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unknown => "unknown",
            Self::Silent => "silent",
            Self::Behind => "behind",
            Self::Swapping => "swapping",
            Self::Failed => "failed",
            Self::Settled => "settled",
        }
    }
}
