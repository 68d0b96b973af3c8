//! The interface for reporting usage and ordering replicas.

use std::time::Duration;

use futures_util::future::BoxFuture;
use prometheus_client::encoding::EncodeLabelValue;

use crate::Name;
use crate::decide::usage::Counts;

/// A term of the leader, the one node that makes these calls.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Term {
    /// The name of the leader.
    pub leader: Name,
    /// The fencing token of the term. A later term has a higher one.
    pub fencing_token: u64,
}

/// The usage of one time window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageReport {
    /// The index of the window.
    pub window: u64,
    /// The requests that began in the window.
    pub counts: Counts,
}

/// The number of replicas that a service is to have in an availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScaleOrder {
    /// The service.
    pub service: Name,
    /// The availability zone.
    pub zone: Name,
    /// Whether the number is for spot replicas, which the platform may reclaim at short notice.
    /// Spot and other replicas are counted separately.
    pub spot: bool,
    /// The wanted number of replicas.
    pub desired: u32,
}

/// The outcome of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum DutyOutcome {
    /// The platform accepted the call.
    Done,
    /// The platform has had a call of a later term.
    Fenced,
    /// The platform did nothing: there were too many calls, or it can't do so now.
    Refused,
    /// No answer: the call may have taken effect, or may do so later.
    Unknown,
}

/// The calls to the platform that only the leader makes.
pub trait Duties: std::fmt::Debug + Send + Sync + 'static {
    /// Reports the usage of a window. A report may be repeated.
    fn report_usage(
        &self,
        term: Term,
        report: UsageReport,
        timeout: Duration,
    ) -> BoxFuture<'static, DutyOutcome>;

    /// Orders replicas. Returns [`DutyOutcome::Refused`] if none are available.
    fn order_scale(
        &self,
        term: Term,
        order: ScaleOrder,
        timeout: Duration,
    ) -> BoxFuture<'static, DutyOutcome>;
}
