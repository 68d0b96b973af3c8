//! The port.

use std::time::Duration;

use futures_util::future::BoxFuture;
use prometheus_client::encoding::EncodeLabelValue;

use crate::Name;
use crate::decide::usage::Counts;

/// The term of the node that has a duty.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Term {
    /// The node.
    pub holder: Name,
    /// Its fencing token: a later term has a higher one.
    pub fencing_token: u64,
}

/// The usage of one window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UsageReport {
    /// The window.
    pub window: u64,
    /// The requests that began in it.
    pub counts: Counts,
}

/// The number of replicas that a service is to have in an availability zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ScaleOrder {
    /// The service.
    pub service: Name,
    /// The availability zone.
    pub zone: Name,
    /// Whether these are replicas that may be taken back at short notice. Each kind is
    /// counted by itself.
    pub spot: bool,
    /// The number.
    pub desired: u32,
}

/// What a call came to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum DutyOutcome {
    /// It was taken.
    Done,
    /// A later holder was there before.
    Fenced,
    /// Not done: too many calls, or not now.
    Refused,
    /// It may have been done, or may be done later.
    Unknown,
}

/// The platform, as far as one node at a time may call it.
pub trait Duties: std::fmt::Debug + Send + Sync + 'static {
    /// Reports the usage of a window. The same report may be sent again.
    fn report_usage(
        &self,
        term: Term,
        report: UsageReport,
        limit: Duration,
    ) -> BoxFuture<'static, DutyOutcome>;

    /// Orders replicas. `Refused` where there are none to be had.
    fn order_scale(
        &self,
        term: Term,
        order: ScaleOrder,
        limit: Duration,
    ) -> BoxFuture<'static, DutyOutcome>;
}
