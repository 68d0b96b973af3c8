//! Label values of the metrics: closed sets, each with a list of all values.

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};

use crate::decide::OrderReason;
use crate::decide::failures::RequestFailure;
use crate::error::Kind;

/// Why a request was retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum RetryReason {
    /// The last attempt was not sent.
    Unsent,
    /// The upstream refused the last attempt.
    Refused,
    /// The last attempt was interrupted, and the request may be repeated.
    Unknown,
}

impl RetryReason {
    /// Every reason; each has a counter that starts at 0.
    pub const ALL: &[Self] = &[Self::Unsent, Self::Refused, Self::Unknown];
}

/// The purpose of a call to the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum PlatformPurpose {
    /// Reading or watching the bundle.
    Bundle,
    /// Reading or writing claims of requests that run at most once.
    Claim,
    /// Reading the list of VMs.
    Vms,
    /// Writing this node's own entry.
    Node,
}

impl PlatformPurpose {
    /// Every purpose.
    pub const ALL: &[Self] = &[Self::Bundle, Self::Claim, Self::Vms, Self::Node];
}

/// Why an engine got a weight order, or that it refused one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum OrderCause {
    /// Its weight version was behind the bundle.
    Rollout,
    /// A weight swap had failed partway.
    Repair,
    /// It no longer served its target version.
    Correction,
    /// It refused the order because it had accepted a later one.
    Fenced,
}

impl OrderCause {
    /// Every cause.
    pub const ALL: &[Self] = &[Self::Rollout, Self::Repair, Self::Correction, Self::Fenced];
}

impl From<OrderReason> for OrderCause {
    fn from(reason: OrderReason) -> Self {
        match reason {
            OrderReason::Rollout => Self::Rollout,
            OrderReason::Repair => Self::Repair,
            OrderReason::Correction => Self::Correction,
        }
    }
}

/// The purpose of control traffic. Each kind of peer message has one purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum ControlPurpose {
    /// Requests to the platform and its responses.
    Platform,
    /// Status reports of engines, and orders to them.
    Order,
    /// Membership gossip between nodes.
    Hello,
    /// The bundle, exchanged between nodes.
    Bundle,
    /// Claims of calls that run at most once, exchanged between nodes.
    Claim,
    /// Requests that may have crashed an upstream, reported between nodes.
    Quarantine,
}

impl ControlPurpose {
    /// Every purpose.
    pub const ALL: &[Self] =
        &[Self::Platform, Self::Order, Self::Hello, Self::Bundle, Self::Claim, Self::Quarantine];
}

/// The direction of traffic, as seen from this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Direction {
    /// Received by this node.
    In,
    /// Sent by this node.
    Out,
}

/// A control task of a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum ControlTask {
    /// Watches the bundle.
    Bundle,
    /// Exchanges membership messages with the other nodes.
    Members,
    /// Maintains this node's entry at the platform.
    Announce,
    /// Watches the list of VMs.
    Upstreams,
    /// Sends orders to engines.
    Orders,
    /// Expires requests that waited too long.
    Tick,
    /// Commits claims and answers claim requests.
    Claims,
    /// Receives reports of suspected requests from other nodes.
    Suspects,
}

impl ControlTask {
    /// Every task.
    pub const ALL: &[Self] = &[
        Self::Bundle,
        Self::Members,
        Self::Announce,
        Self::Upstreams,
        Self::Orders,
        Self::Tick,
        Self::Claims,
        Self::Suspects,
    ];
}

/// A kind of entry in the state that a node holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum StateKind {
    /// Another node.
    Member,
    /// An upstream VM.
    Upstream,
    /// A request that waits.
    Waiting,
    /// An attempt in flight.
    Running,
    /// A step of a trainer.
    Step,
    /// An open connection of a client.
    Connection,
    /// An idempotency key that this node owns.
    Claim,
    /// A claimed call that this node runs or ran.
    Attempt,
    /// A request that was in flight when its upstream crashed.
    Suspect,
    /// A request that is refused because it crashes upstreams.
    Quarantined,
}

impl StateKind {
    /// Every kind.
    pub const ALL: &[Self] = &[
        Self::Member,
        Self::Upstream,
        Self::Waiting,
        Self::Running,
        Self::Step,
        Self::Connection,
        Self::Claim,
        Self::Attempt,
        Self::Suspect,
        Self::Quarantined,
    ];
}

impl EncodeLabelValue for Kind {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), std::fmt::Error> {
        EncodeLabelValue::encode(&self.as_str(), encoder)
    }
}

impl EncodeLabelValue for RequestFailure {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), std::fmt::Error> {
        EncodeLabelValue::encode(&self.as_str(), encoder)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct KindLabel {
    pub(super) kind: Kind,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct ReasonLabel {
    pub(super) reason: RetryReason,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct UseLabel {
    pub(super) purpose: PlatformPurpose,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct TrafficLabel {
    pub(super) purpose: ControlPurpose,
    pub(super) way: Direction,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct TaskLabel {
    pub(super) task: ControlTask,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct EntryLabel {
    pub(super) kind: StateKind,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(super) struct CauseLabel {
    pub(super) cause: OrderCause,
}
