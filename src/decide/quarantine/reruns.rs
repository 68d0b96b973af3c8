//! The limit on the runs of a request that has crashed several replicas.
//!
//! Load pattern: a request that crashes each replica that runs it comes again every second, at any
//! node. Whether its crashes are a coincidence shows only after several of them, and after more the
//! longer it runs and the fewer replicas its service has. So the runs after its third crash are
//! counted over all nodes, each before it is sent, and there are no more than [`MAX_RERUNS`],
//! whatever the evidence says. An innocent request mostly completes in the first of them.

use std::time::Duration;

use super::CrashId;
use super::coincidence::SETTLE_TIME;
use crate::Moment;

/// The most runs of a request after its third crash, over all nodes, unless one completes.
const MAX_RERUNS: usize = 3;
/// The most of them that begin later than [`LATE_TIME`] after that crash. Callers allow one more;
/// that one is left for a node that dies with what it knows.
const MAX_LATE_RERUNS: usize = 2;
/// Within this time after the third crash, callers allow any number of runs.
const LATE_TIME: Duration = Duration::from_millis(2_000);
/// How long after it was recorded a rerun may be sent: it counts from then on, also if its node
/// stands still in between.
const CONFIRM_TIME: Duration = Duration::from_millis(500);
/// How long a rerun that has neither completed nor crashed its replica keeps others back.
const RERUN_TIME: Duration = Duration::from_millis(5_000);
/// Bound on the reruns that are remembered, withdrawn ones included.
const MAX_REMEMBERED: usize = 16;

/// A run of a request after its third crash.
#[derive(Debug, Clone)]
pub(super) struct Rerun {
    /// Identifies the run.
    pub id: CrashId,
    /// When it was granted.
    pub at: Moment,
    /// Whether it was not sent.
    pub withdrawn: bool,
}

/// Whether a request may run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RerunDecision {
    /// It may run: it has met too few crashes to be limited.
    Unlimited,
    /// It may run once, as the run with this id, if other nodes confirm that.
    Granted(CrashId),
    /// It may not run before this time is over.
    Wait(Duration),
    /// It has used up its runs.
    UsedUp,
}

/// When a crash of a request was, and when the run began.
#[derive(Debug, Clone, Copy)]
pub(super) struct CrashTime {
    pub at: Moment,
    pub began_at: Moment,
}

/// The reruns of one request, over all nodes.
#[derive(Debug, Clone, Default)]
pub(super) struct Reruns {
    runs: Vec<Rerun>,
}

impl Reruns {
    /// Records a rerun, or that it was withdrawn. Returns whether that is news.
    pub(super) fn record(&mut self, rerun: Rerun) -> bool {
        if let Some(known) = self.runs.iter_mut().find(|r| r.id == rerun.id) {
            let news = rerun.withdrawn && !known.withdrawn;
            known.withdrawn |= rerun.withdrawn;
            return news;
        }
        if self.runs.len() >= MAX_REMEMBERED {
            let first = self.runs.iter().position(|r| r.withdrawn).unwrap_or_default();
            self.runs.remove(first);
        }
        self.runs.push(rerun);
        true
    }

    /// All that are remembered, withdrawn ones included.
    pub(super) fn iter(&self) -> impl Iterator<Item = &Rerun> {
        self.runs.iter()
    }

    /// Returns how long another rerun has to wait, given the crashes of the request. One at a time
    /// runs, and the crashes of others are known before the next.
    pub(super) fn wait(&self, crashes: &[CrashTime], now: Moment) -> Duration {
        self.wait_for(self.sent(), crashes, now)
    }

    /// Whether the rerun with this id may be sent, soon after it was recorded.
    pub(super) fn is_first(&self, id: &CrashId, crashes: &[CrashTime], now: Moment) -> bool {
        let is_recent = |rerun: &Rerun| now.saturating_sub(rerun.at) <= CONFIRM_TIME;
        if !self.sent().any(|rerun| rerun.id == *id && is_recent(rerun)) {
            return false;
        }
        let others = self.sent().filter(|rerun| rerun.id != *id);
        self.wait_for(others, crashes, now).is_zero()
    }

    /// Whether this many reruns, or runs that nodes have sent without knowing of the crashes, are all
    /// that are allowed, the rerun with the id `except` not counted.
    pub(super) fn are_used_up(
        &self,
        crashes: &[CrashTime],
        third: Moment,
        except: Option<&CrashId>,
        now: Moment,
    ) -> bool {
        let late_at = third + LATE_TIME;
        let count = |after: Moment| {
            let reruns = self.sent().filter(|r| r.at >= after && Some(&r.id) != except).count();
            reruns.max(crashes.iter().filter(|crash| crash.began_at >= after).count())
        };
        count(third) >= MAX_RERUNS || (now > late_at && count(late_at) >= MAX_LATE_RERUNS)
    }

    fn sent(&self) -> impl Iterator<Item = &Rerun> {
        self.runs.iter().filter(|rerun| !rerun.withdrawn)
    }

    fn wait_for<'a>(
        &self,
        reruns: impl Iterator<Item = &'a Rerun>,
        crashes: &[CrashTime],
        now: Moment,
    ) -> Duration {
        let over_at = reruns.map(|rerun| {
            let ended_at = crashes.iter().map(|crash| crash.at).filter(|at| *at >= rerun.at).min();
            ended_at.map_or(rerun.at + RERUN_TIME, |at| at + SETTLE_TIME)
        });
        over_at.max().map_or(Duration::ZERO, |over_at| over_at.saturating_sub(now))
    }
}
