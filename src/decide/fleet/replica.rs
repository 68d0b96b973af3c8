//! The state that a node keeps of one replica.

use std::collections::HashMap;
use std::time::Duration;

use super::calls::call_limit;
use super::report_check::ReportCheck;
use super::{AttemptRequest, ListedReplica};
use crate::decide::load::{EventInterval, MachineSpeed};
use crate::decide::{ConcurrencyLimit, FailureTracker, LatencyEstimate, OtherLoad};
use crate::{Moment, Name};

/// How long a replica's report of its load counts: a sample takes about as long, so after this
/// time samples of other nodes may have begun or ended.
const LOAD_REPORT_LIFETIME: Duration = Duration::from_millis(500);

/// A replica as this node knows it.
#[derive(Debug)]
pub(super) struct Replica {
    pub listed: ListedReplica,
    /// Number of this node's attempts that run there.
    pub running: u32,
    /// Requests of other nodes there, by its last report.
    pub others: OtherLoad,
    /// What the latency of this node's plain requests says about how many it may have there.
    pub call_limit: ConcurrencyLimit,
    /// Whether its reports of its load agree with the time that plain requests take there.
    pub report_check: ReportCheck,
    /// Time per unit of cost of the attempts there.
    pub pace: LatencyEstimate,
    /// Time between the events of its streams.
    pub event_interval: LatencyEstimate,
    /// The same, smoothed over time and without the effect of the replica's load.
    pub single_interval: EventInterval,
    /// The speed that it reports of its machine.
    pub machine: MachineSpeed,
    pub failures: FailureTracker,
    /// Until when it is excluded from the choice.
    pub excluded_until: Moment,
    /// Until when it gets no call because it said that it is full. Unlike an exclusion, this
    /// applies however many replicas are full.
    pub full_until: Moment,
    /// Version of each model that it was last seen at.
    pub versions: HashMap<Name, u64>,
    /// When the last attempt began there.
    pub began: Moment,
    /// When it last answered a request.
    pub answered: Moment,
    /// When an event of one of its streams last arrived, about four times a second.
    pub streamed: Moment,
    /// Whether and when it reported its load.
    pub load_report: LoadReporting,
    /// Until when it gets no sample of a model, by model.
    pub loading: HashMap<Name, Moment>,
}

impl Replica {
    /// A replica of which only the platform's entry is known.
    pub(super) fn new(listed: ListedReplica) -> Self {
        Self {
            versions: listed.versions.iter().cloned().collect(),
            call_limit: call_limit(listed.slots),
            report_check: ReportCheck::default(),
            listed,
            running: 0,
            others: OtherLoad::default(),
            pace: LatencyEstimate::default(),
            event_interval: LatencyEstimate::default(),
            single_interval: EventInterval::default(),
            machine: MachineSpeed::default(),
            failures: FailureTracker::default(),
            excluded_until: Moment::ZERO,
            full_until: Moment::ZERO,
            began: Moment::ZERO,
            answered: Moment::ZERO,
            streamed: Moment::ZERO,
            load_report: LoadReporting::Unknown,
            loading: HashMap::new(),
        }
    }

    /// Whether its load is known well enough for it to get one more sample.
    ///
    /// Load pattern: the steps of several trainers begin at once, each at a different node, and
    /// each node assumes that every slot is free. With six nodes at ten replicas of six slots,
    /// 188 samples of 400 were refused in the first two seconds, and 230 more waited at a replica
    /// for longer than an answer may take and were started again elsewhere. So a replica gets one
    /// sample at a time, and the next one once the answer to it has reported the load, within
    /// milliseconds; only a replica that just reported that no other node uses it is filled at
    /// once.
    pub(super) fn load_is_known(&self, now: Moment) -> bool {
        let lost = now.saturating_sub(self.began) > LOAD_REPORT_LIFETIME;
        match self.load_report {
            LoadReporting::Never => true,
            LoadReporting::Unknown => self.running == 0 || lost,
            LoadReporting::At(at) => {
                let alone = self.others.decayed(now) < 1.0
                    && now.saturating_sub(at) <= LOAD_REPORT_LIFETIME;
                alone || at > self.began || lost
            }
        }
    }

    /// Returns the number of requests that are believed to be there.
    pub(super) fn load(&self, now: Moment) -> f64 {
        f64::from(self.running) + self.others.decayed(now)
    }

    /// Records a failure, and excludes the replica if there were several in a row.
    pub(super) fn failed(&mut self, now: Moment) {
        self.failures.failed();
        if self.failures.should_eject() {
            self.excluded_until = self.failures.eject(now);
        }
    }

    /// Handles the end of an answer: a replica that has not reported its load by then never does.
    pub(super) fn answer_ended(&mut self) {
        if self.load_report == LoadReporting::Unknown {
            self.load_report = LoadReporting::Never;
        }
    }

    /// Resets the state after a restart under the same id, as nothing known of the former
    /// incarnation holds. Attempts at the former incarnation still count until they end.
    pub(super) fn reset(&mut self, listed: ListedReplica) {
        *self = Self { running: self.running, ..Self::new(listed) };
    }
}

/// Whether a replica reports its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LoadReporting {
    /// Nothing has been received from it yet.
    Unknown,
    /// It answers without reporting its load.
    Never,
    /// It last reported its load at this time.
    At(Moment),
}

/// Whether a replica may get an attempt. Exclusion counts only if `exclude` is set.
pub(super) fn fits(
    replica: &Replica,
    request: &AttemptRequest<'_>,
    now: Moment,
    exclude: bool,
) -> bool {
    if replica.listed.draining || (exclude && replica.excluded_until > now) {
        return false;
    }
    if !request.allow_full && replica.load(now) >= f64::from(replica.listed.slots) {
        return false;
    }
    let Some((model, min_version)) = request.weights else { return true };
    let loading = replica.loading.get(model).is_some_and(|until| *until > now);
    !loading && replica.versions.get(model).is_some_and(|v| *v >= min_version)
}
