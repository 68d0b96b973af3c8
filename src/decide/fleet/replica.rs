//! What a node knows of one replica.

use std::collections::HashMap;
use std::time::Duration;

use super::{Listed, Wish};
use crate::decide::{FailureTracker, LatencyEstimate, Others};
use crate::{Moment, Name};

/// How long a replica's word of its load counts: a text takes about as long, so that others'
/// texts may have come or gone by then.
const WORD: Duration = Duration::from_millis(500);

/// A replica as far as this node knows it.
#[derive(Debug)]
pub(super) struct Replica {
    pub listed: Listed,
    pub running: u32,
    pub others: Others,
    pub pace: LatencyEstimate,
    /// Time between the events of its streams.
    pub beat: LatencyEstimate,
    pub failures: FailureTracker,
    pub out: Moment,
    pub versions: HashMap<Name, u64>,
    /// When the last attempt began, and when it last told its load.
    pub began: Moment,
    pub told: Told,
    /// Until when it takes no sample of a model.
    pub loading: HashMap<Name, Moment>,
}

impl Replica {
    /// A replica of which nothing is known but its entry.
    pub(super) fn new(listed: Listed) -> Self {
        Self {
            versions: listed.versions.iter().cloned().collect(),
            listed,
            running: 0,
            others: Others::default(),
            pace: LatencyEstimate::default(),
            beat: LatencyEstimate::default(),
            failures: FailureTracker::default(),
            out: Moment::ZERO,
            began: Moment::ZERO,
            told: Told::Unknown,
            loading: HashMap::new(),
        }
    }

    /// Whether its load is known well enough for one more text.
    ///
    /// Load pattern: the steps of several trainers begin at once at as many homes, and each
    /// takes every place to be free. With six homes at ten replicas of six places, 188 texts
    /// of 400 were turned away in the first two seconds, and 230 more waited at a replica for
    /// longer than an answer may take and were begun again elsewhere. A replica gets one text at
    /// a time, and the next once that has brought word of its load, within milliseconds; only
    /// one that just said that nobody else uses it is filled at once.
    pub(super) fn heard(&self, now: Moment) -> bool {
        let lost = now.saturating_sub(self.began) > WORD;
        match self.told {
            Told::Never => true,
            Told::Unknown => self.running == 0 || lost,
            Told::At(at) => {
                let alone = self.others.faded(now) < 1.0 && now.saturating_sub(at) <= WORD;
                alone || at > self.began || lost
            }
        }
    }

    /// It answered: one that has not told its load by then never does.
    pub(super) fn silent(&mut self) {
        if self.told == Told::Unknown {
            self.told = Told::Never;
        }
    }

    /// It started again under its id: nothing that was known holds. Attempts at the former
    /// incarnation are still counted until they end.
    pub(super) fn begin_anew(&mut self, listed: Listed) {
        *self = Self { running: self.running, ..Self::new(listed) };
    }
}

/// What a replica tells of its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Told {
    /// Nothing has come from it yet.
    Unknown,
    /// It answers without its load.
    Never,
    At(Moment),
}

/// Whether a replica may get an attempt; one that is left out only where that is heeded.
pub(super) fn fits(replica: &Replica, wish: &Wish<'_>, now: Moment, heed: bool) -> bool {
    if replica.listed.draining || (heed && replica.out > now) {
        return false;
    }
    let load = f64::from(replica.running) + replica.others.faded(now);
    if !wish.over && load >= f64::from(replica.listed.slots) {
        return false;
    }
    let Some((model, least)) = wish.weights else { return true };
    let loading = replica.loading.get(model).is_some_and(|until| *until > now);
    !loading && replica.versions.get(model).is_some_and(|v| *v >= least)
}
