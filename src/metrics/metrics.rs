//! The counters of one process, for `/metrics`.

use std::sync::atomic::AtomicI64;

use parking_lot::Mutex;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::decide::Cause;
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

/// What a call to the platform was for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum PlatformUse {
    /// Reading or watching the bundle.
    Bundle,
    /// Claims of requests that run at most once.
    Claim,
    /// The list of VMs.
    Vms,
    /// This node's own entry.
    Node,
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

impl From<Cause> for OrderCause {
    fn from(cause: Cause) -> Self {
        match cause {
            Cause::Rollout => Self::Rollout,
            Cause::Repair => Self::Repair,
            Cause::Correction => Self::Correction,
        }
    }
}

impl EncodeLabelValue for Kind {
    fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), std::fmt::Error> {
        EncodeLabelValue::encode(&self.as_str(), encoder)
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct KindLabel {
    kind: Kind,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ReasonLabel {
    reason: RetryReason,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct UseLabel {
    purpose: PlatformUse,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabel {
    cause: OrderCause,
}

/// Everything that the node counts.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    refusals: Family<KindLabel, Counter>,
    retries: Family<ReasonLabel, Counter>,
    platform: Family<UseLabel, Counter>,
    orders: Family<CauseLabel, Counter>,
    /// Number of the bundle in force.
    pub bundle: Gauge<i64, AtomicI64>,
    /// Requests in flight.
    pub inflight: Gauge<i64, AtomicI64>,
    /// Samples handed over to trainers.
    pub samples: Counter,
    /// Samples that were too old or had no certain label.
    pub discarded: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let refusals = Family::<KindLabel, Counter>::default();
        let retries = Family::<ReasonLabel, Counter>::default();
        let platform = Family::<UseLabel, Counter>::default();
        let orders = Family::<CauseLabel, Counter>::default();
        let bundle = Gauge::default();
        let inflight = Gauge::default();
        let samples = Counter::default();
        let discarded = Counter::default();
        let mut registry = Registry::with_prefix("mulberry");
        registry.register("refusals", "Final answers that refuse, by kind", refusals.clone());
        registry.register("retries", "Attempts made again, by reason", retries.clone());
        registry.register("platform_calls", "Calls to the platform", platform.clone());
        registry.register("orders", "Orders to engines, by cause", orders.clone());
        registry.register("bundle_number", "Number of the bundle in force", bundle.clone());
        registry.register("inflight", "Requests in flight", inflight.clone());
        registry.register("samples", "Samples handed over", samples.clone());
        registry.register("samples_discarded", "Samples not handed over", discarded.clone());
        for kind in Kind::ALL {
            drop(refusals.get_or_create(&KindLabel { kind }));
        }
        Self {
            registry: Mutex::new(registry),
            refusals,
            retries,
            platform,
            orders,
            bundle,
            inflight,
            samples,
            discarded,
        }
    }
}

impl Metrics {
    /// Counts a refusal.
    pub fn refused(&self, kind: Kind) {
        self.refusals.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a retry.
    pub fn retried(&self, reason: RetryReason) {
        self.retries.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts an order to an engine.
    pub fn ordered(&self, cause: OrderCause) {
        self.orders.get_or_create(&CauseLabel { cause }).inc();
    }

    /// Orders so far, of one cause.
    pub fn orders(&self, cause: OrderCause) -> u64 {
        self.orders.get_or_create(&CauseLabel { cause }).get()
    }

    /// Counts a call to the platform.
    pub fn platform_call(&self, purpose: PlatformUse) {
        self.platform.get_or_create(&UseLabel { purpose }).inc();
    }

    /// Refusals so far, by kind.
    pub fn refusals(&self) -> Vec<(Kind, u64)> {
        let count = |kind| self.refusals.get_or_create(&KindLabel { kind }).get();
        Kind::ALL.into_iter().map(|kind| (kind, count(kind))).collect()
    }

    /// The text that `/metrics` answers.
    pub fn text(&self) -> String {
        let mut text = String::new();
        let registry = self.registry.lock();
        match prometheus_client::encoding::text::encode(&mut text, &registry) {
            Ok(()) => text,
            Err(e) => format!("# {e}\n"),
        }
    }
}
