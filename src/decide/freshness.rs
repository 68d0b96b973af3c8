//! Predicts before a sample starts whether it can be fresh enough: compares the versions that
//! engines serve with the version that the trainer needs.
//!
//! Load pattern: the trainer moves on every few minutes, and the engines update
//! one after the other. Without a prediction, samples begin on engines that are
//! still behind, run for minutes and are discarded at hand-over. The check at
//! hand-over still decides; the prediction only saves the work.

use std::collections::HashMap;
use std::time::Duration;

use crate::{Moment, Name};

/// How long a report of an engine's version counts. An engine can change its
/// version within a poll period (250 ms) and a swap; after this time one sample is
/// tried, and its first chunk shows the version.
const MAX_REPORT_AGE: Duration = Duration::from_secs(5);

/// Returns the oldest version that a sample may contain, for a trainer at version `trainer` and
/// a staleness bound in versions.
pub fn min_fresh_version(trainer: u64, bound: u64) -> u64 {
    trainer.saturating_sub(bound)
}

/// Whether a sample should start now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartDecision {
    /// Some engine may produce a fresh sample.
    Begin,
    /// Every engine is known to serve weights that are too old.
    Wait,
}

/// The version that each engine was last seen to serve.
#[derive(Debug, Clone, Default)]
pub struct EngineVersions {
    seen: HashMap<Name, (u64, Moment)>,
}

impl EngineVersions {
    /// Records the version that an engine reported.
    pub fn record(&mut self, engine: &Name, version: u64, now: Moment) {
        self.seen.insert(engine.clone(), (version, now));
    }

    /// Removes engines whose last report is too old to count.
    pub fn forget(&mut self, now: Moment) {
        self.seen.retain(|_, (_, at)| now.saturating_sub(*at) < MAX_REPORT_AGE);
    }

    /// Whether an engine is known to serve a version below `min_version`; an engine of unknown
    /// version is not.
    pub fn behind(&self, engine: &str, min_version: u64, now: Moment) -> bool {
        let known =
            self.seen.get(engine).filter(|(_, at)| now.saturating_sub(*at) < MAX_REPORT_AGE);
        known.is_some_and(|(version, _)| *version < min_version)
    }

    /// Decides whether a sample that begins now on one of these engines can be fresh.
    pub fn start_decision<'a>(
        &self,
        engines: impl IntoIterator<Item = &'a str>,
        min_version: u64,
        now: Moment,
    ) -> StartDecision {
        let mut engines = engines.into_iter().peekable();
        if engines.peek().is_none() || engines.any(|e| !self.behind(e, min_version, now)) {
            return StartDecision::Begin;
        }
        StartDecision::Wait
    }
}
