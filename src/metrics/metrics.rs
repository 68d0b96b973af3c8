//! The metrics of a node, served at `/metrics`.

use std::future::Future;
use std::sync::atomic::AtomicI64;

use parking_lot::Mutex;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use super::labels::{
    CauseLabel, EntryLabel, KindLabel, ReasonLabel, TaskLabel, TrafficLabel, UseLabel,
};
use super::process::ProcessCollector;
use super::timed::Seconds;
use super::{
    ControlPurpose, ControlTask, Direction, OrderCause, PlatformPurpose, RetryReason, StateKind,
    Timed, Traffic,
};
use crate::error::Kind;

/// The counters and gauges of a node.
#[derive(Debug)]
pub struct Metrics {
    registry: Mutex<Registry>,
    refusals: Family<KindLabel, Counter>,
    retries: Family<ReasonLabel, Counter>,
    platform_calls: Family<UseLabel, Counter>,
    orders: Family<CauseLabel, Counter>,
    control_bytes: Family<TrafficLabel, Counter>,
    control_messages: Family<TrafficLabel, Counter>,
    control_seconds: Family<TaskLabel, Seconds>,
    entries: Family<EntryLabel, Gauge>,
    /// Number of the active bundle.
    pub bundle_number: Gauge<i64, AtomicI64>,
    /// Requests in flight.
    pub inflight: Gauge<i64, AtomicI64>,
    /// Samples delivered to trainers.
    pub samples: Counter,
    /// Samples that were not delivered because they were too old or their weight version was
    /// uncertain.
    pub discarded_samples: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("mulberry")),
            refusals: Family::default(),
            retries: Family::default(),
            platform_calls: Family::default(),
            orders: Family::default(),
            control_bytes: Family::default(),
            control_messages: Family::default(),
            control_seconds: Family::default(),
            entries: Family::default(),
            bundle_number: Gauge::default(),
            inflight: Gauge::default(),
            samples: Counter::default(),
            discarded_samples: Counter::default(),
        };
        metrics.register();
        metrics.start_at_zero();
        metrics
    }
}

impl Metrics {
    fn register(&self) {
        let mut registry = self.registry.lock();
        registry.register("refusals", "Final answers that refuse, by kind", self.refusals.clone());
        registry.register("retries", "Attempts made again, by reason", self.retries.clone());
        let help = "Calls to the platform, by purpose";
        registry.register("platform_calls", help, self.platform_calls.clone());
        registry.register("orders", "Orders to engines, by cause", self.orders.clone());
        let help = "Bytes of control bodies and messages, by purpose and way";
        registry.register("control_bytes", help, self.control_bytes.clone());
        let help = "Control bodies and messages, by purpose and way";
        registry.register("control_messages", help, self.control_messages.clone());
        let help = "Processor time of control tasks, in seconds";
        registry.register("control_seconds", help, self.control_seconds.clone());
        registry.register(
            "state_entries",
            "Entries of state held here, by kind",
            self.entries.clone(),
        );
        registry.register(
            "bundle_number",
            "Number of the bundle in force",
            self.bundle_number.clone(),
        );
        registry.register("inflight", "Requests in flight", self.inflight.clone());
        registry.register("samples", "Samples handed over", self.samples.clone());
        registry.register(
            "samples_discarded",
            "Samples not handed over",
            self.discarded_samples.clone(),
        );
        registry.register_collector(Box::new(ProcessCollector));
    }

    /// Creates every series with the value 0. A series that is missing until its first event
    /// can't be told from one that is not collected.
    fn start_at_zero(&self) {
        for kind in Kind::ALL.iter().copied() {
            drop(self.refusals.get_or_create(&KindLabel { kind }));
        }
        for reason in RetryReason::ALL.iter().copied() {
            drop(self.retries.get_or_create(&ReasonLabel { reason }));
        }
        for purpose in PlatformPurpose::ALL.iter().copied() {
            drop(self.platform_calls.get_or_create(&UseLabel { purpose }));
        }
        for cause in OrderCause::ALL.iter().copied() {
            drop(self.orders.get_or_create(&CauseLabel { cause }));
        }
        for purpose in ControlPurpose::ALL.iter().copied() {
            for way in [Direction::In, Direction::Out] {
                drop(self.control_bytes.get_or_create(&TrafficLabel { purpose, way }));
                drop(self.control_messages.get_or_create(&TrafficLabel { purpose, way }));
            }
        }
        for task in ControlTask::ALL.iter().copied() {
            drop(self.control_seconds.get_or_create(&TaskLabel { task }));
        }
        for kind in StateKind::ALL.iter().copied() {
            drop(self.entries.get_or_create(&EntryLabel { kind }));
        }
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, kind: Kind) {
        self.refusals.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts a retry.
    pub fn count_retry(&self, reason: RetryReason) {
        self.retries.get_or_create(&ReasonLabel { reason }).inc();
    }

    /// Counts a call to the platform.
    pub fn count_platform_call(&self, purpose: PlatformPurpose) {
        self.platform_calls.get_or_create(&UseLabel { purpose }).inc();
    }

    /// Counts an order to an engine.
    pub fn count_order(&self, cause: OrderCause) {
        self.orders.get_or_create(&CauseLabel { cause }).inc();
    }

    /// Returns the counters for one purpose of control traffic.
    pub fn traffic(&self, purpose: ControlPurpose) -> Traffic {
        let bytes = |way| self.control_bytes.get_or_create(&TrafficLabel { purpose, way }).clone();
        let messages =
            |way| self.control_messages.get_or_create(&TrafficLabel { purpose, way }).clone();
        Traffic::new(bytes, messages)
    }

    /// Wraps a control task so that its processor time is counted.
    pub fn timed<F: Future>(&self, task: ControlTask, future: F) -> Timed<F> {
        Timed::new(future, self.control_seconds.get_or_create(&TaskLabel { task }).clone())
    }

    /// Sets the number of entries of one kind.
    pub fn set_entry_count(&self, kind: StateKind, count: usize) {
        self.entries.get_or_create(&EntryLabel { kind }).set(count as i64);
    }

    /// Returns the number of refusals so far, by kind.
    pub fn refusals(&self) -> Vec<(Kind, u64)> {
        let count = |kind| self.refusals.get_or_create(&KindLabel { kind }).get();
        Kind::ALL.iter().map(|kind| (*kind, count(*kind))).collect()
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn text_format(&self) -> String {
        encode_text(&self.registry)
    }
}

/// Encodes a registry in the Prometheus text format.
pub(super) fn encode_text(registry: &Mutex<Registry>) -> String {
    let mut text = String::new();
    match prometheus_client::encoding::text::encode(&mut text, &registry.lock()) {
        Ok(()) => text,
        Err(e) => format!("# {e}\n"),
    }
}
