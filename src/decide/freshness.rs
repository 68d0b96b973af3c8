//! Staleness before the work: what the engines serve, against what the trainer needs.
//!
//! Load pattern: the trainer moves on every few minutes, and the engines follow
//! one after the other. Without a prediction, samples begin on engines that are
//! still behind, run for minutes and are thrown away at hand-over. The verdict at
//! hand-over stands all the same: this only saves the work.

use std::collections::HashMap;
use std::time::Duration;

use crate::{Moment, Name};

/// How long a report of an engine's version counts. An engine can change its
/// version within a poll period (250 ms) and a swap; past this one sample is
/// tried, and its first chunk tells.
const AGE: Duration = Duration::from_secs(5);

/// The oldest version that may still be in a sample.
pub fn floor(trainer: u64, bound: u64) -> u64 {
    trainer.saturating_sub(bound)
}

/// What is to be done with a sample that could begin now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Prospect {
    /// Some engine may make a fresh one.
    Begin,
    /// Every engine is known to serve weights that are too old.
    Wait,
}

/// The versions that engines were last seen to serve.
#[derive(Debug, Clone, Default)]
pub struct Served {
    seen: HashMap<Name, (u64, Moment)>,
}

impl Served {
    /// An engine named the version that it serves.
    pub fn note(&mut self, engine: &Name, version: u64, now: Moment) {
        self.seen.insert(engine.clone(), (version, now));
    }

    /// Forgets engines whose word no longer counts.
    pub fn forget(&mut self, now: Moment) {
        self.seen.retain(|_, (_, at)| now.saturating_sub(*at) < AGE);
    }

    /// Whether an engine is known to be too old; one that is unknown is not.
    pub fn behind(&self, engine: &str, floor: u64, now: Moment) -> bool {
        let known = self.seen.get(engine).filter(|(_, at)| now.saturating_sub(*at) < AGE);
        known.is_some_and(|(version, _)| *version < floor)
    }

    /// Whether a sample that begins now can be fresh.
    pub fn prospect<'a>(
        &self,
        engines: impl IntoIterator<Item = &'a str>,
        floor: u64,
        now: Moment,
    ) -> Prospect {
        let mut engines = engines.into_iter().peekable();
        if engines.peek().is_none() || engines.any(|e| !self.behind(e, floor, now)) {
            return Prospect::Begin;
        }
        Prospect::Wait
    }
}
