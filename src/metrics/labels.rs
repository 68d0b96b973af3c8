//! What counters are told apart by: closed sets, each with the list of all.

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};

use crate::decide::OrderReason;
use crate::error::Kind;

/// Why an attempt was made again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum RetryReason {
    /// The last one was not sent.
    Unsent,
    /// The upstream refused the last one.
    Refused,
    /// The last one broke off, and the request may be repeated.
    Unknown,
}

impl RetryReason {
    /// Every reason: each is counted from 0 on.
    pub const ALL: &[Self] = &[Self::Unsent, Self::Refused, Self::Unknown];
}

/// What a call to the platform was for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum PlatformPurpose {
    /// Reading or watching the bundle.
    Bundle,
    /// Claims of requests that run at most once.
    Claim,
    /// The list of VMs.
    Vms,
    /// This node's own entry.
    Node,
}

impl PlatformPurpose {
    /// Every purpose.
    pub const ALL: &[Self] = &[Self::Bundle, Self::Claim, Self::Vms, Self::Node];
}

/// Why an engine was ordered, or was not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum OrderCause {
    /// It was behind the bundle.
    Rollout,
    /// A swap had failed partway.
    Repair,
    /// It had left the wanted version.
    Correction,
    /// It refused: it had taken a later order.
    Fenced,
}

impl OrderCause {
    /// Every cause.
    pub const ALL: &[Self] = &[Self::Rollout, Self::Repair, Self::Correction, Self::Fenced];
}

impl From<OrderReason> for OrderCause {
    fn from(cause: OrderReason) -> Self {
        match cause {
            OrderReason::Rollout => Self::Rollout,
            OrderReason::Repair => Self::Repair,
            OrderReason::Correction => Self::Correction,
        }
    }
}

/// What control traffic was for. Peer messages have a purpose each.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum ControlPurpose {
    /// Requests to the platform and its answers.
    Platform,
    /// Load reports of engines, and orders to them.
    Order,
    /// Membership, between nodes.
    Hello,
    /// The bundle, between nodes.
    Bundle,
    /// Claims of calls that run at most once, between nodes.
    Claim,
    /// Requests that may have crashed an upstream, between nodes.
    Quarantine,
}

impl ControlPurpose {
    /// Every purpose.
    pub const ALL: &[Self] =
        &[Self::Platform, Self::Order, Self::Hello, Self::Bundle, Self::Claim, Self::Quarantine];
}

/// Which way bytes went.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum Direction {
    /// To this node.
    In,
    /// From this node.
    Out,
}

/// What a control task does.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum ControlTask {
    /// Follows the bundle.
    Bundle,
    /// Talks with the other nodes.
    Members,
    /// Keeps this node's entry at the platform.
    Announce,
    /// Follows the list of VMs.
    Upstreams,
    /// Gives orders to engines.
    Orders,
    /// Gives up on what waited too long.
    Tick,
    /// Commits claims and answers who asks for them.
    Claims,
    /// Learns of suspects from other nodes.
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

/// State that a node holds, by kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum StateKind {
    /// Other nodes.
    Member,
    /// Upstream VMs.
    Upstream,
    /// Requests that wait.
    Waiting,
    /// Attempts in flight.
    Running,
    /// Steps of trainers.
    Step,
    /// Open connections of callers.
    Connection,
    /// Idempotency keys that are held as home.
    Claim,
    /// Claimed calls that are remembered as runner.
    Attempt,
    /// Requests that were in flight at a crash.
    Suspect,
    /// Requests that are refused because they crash upstreams.
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
