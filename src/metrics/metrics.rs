//! The counters of one process, for `/metrics`.

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
use super::process::Process;
use super::timed::Seconds;
use super::{
    ControlPurpose, ControlTask, Direction, OrderCause, PlatformPurpose, RetryReason, StateKind,
    Timed, Traffic,
};
use crate::error::Kind;

/// Everything that the node counts.
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
    /// Number of the bundle in force.
    pub bundle_number: Gauge<i64, AtomicI64>,
    /// Requests in flight.
    pub inflight: Gauge<i64, AtomicI64>,
    /// Samples handed over to trainers.
    pub samples: Counter,
    /// Samples that were too old or had no certain label.
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
        let mut all = self.registry.lock();
        all.register("refusals", "Final answers that refuse, by kind", self.refusals.clone());
        all.register("retries", "Attempts made again, by reason", self.retries.clone());
        let help = "Calls to the platform, by purpose";
        all.register("platform_calls", help, self.platform_calls.clone());
        all.register("orders", "Orders to engines, by cause", self.orders.clone());
        let help = "Bytes of control bodies and messages, by purpose and way";
        all.register("control_bytes", help, self.control_bytes.clone());
        let help = "Control bodies and messages, by purpose and way";
        all.register("control_messages", help, self.control_messages.clone());
        let help = "Processor time of control tasks, in seconds";
        all.register("control_seconds", help, self.control_seconds.clone());
        all.register("state_entries", "Entries of state held here, by kind", self.entries.clone());
        all.register("bundle_number", "Number of the bundle in force", self.bundle_number.clone());
        all.register("inflight", "Requests in flight", self.inflight.clone());
        all.register("samples", "Samples handed over", self.samples.clone());
        all.register(
            "samples_discarded",
            "Samples not handed over",
            self.discarded_samples.clone(),
        );
        all.register_collector(Box::new(Process));
    }

    /// A counter that is missing reads as one that was never watched: each is there from
    /// the start.
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

    /// The counters of one purpose of control traffic.
    pub fn traffic(&self, purpose: ControlPurpose) -> Traffic {
        let bytes = |way| self.control_bytes.get_or_create(&TrafficLabel { purpose, way }).clone();
        let messages =
            |way| self.control_messages.get_or_create(&TrafficLabel { purpose, way }).clone();
        Traffic::new(bytes, messages)
    }

    /// Counts the processor time of a control task.
    pub fn timed<F: Future>(&self, task: ControlTask, future: F) -> Timed<F> {
        Timed::new(future, self.control_seconds.get_or_create(&TaskLabel { task }).clone())
    }

    /// Sets how many entries of a kind are held.
    pub fn set_entry_count(&self, kind: StateKind, count: usize) {
        self.entries.get_or_create(&EntryLabel { kind }).set(count as i64);
    }

    /// Refusals so far, by kind.
    pub fn refusals(&self) -> Vec<(Kind, u64)> {
        let count = |kind| self.refusals.get_or_create(&KindLabel { kind }).get();
        Kind::ALL.iter().map(|kind| (*kind, count(*kind))).collect()
    }

    /// The text that `/metrics` answers.
    pub fn text_format(&self) -> String {
        encode_text(&self.registry)
    }
}

/// A registry in the text format.
pub(super) fn encode_text(registry: &Mutex<Registry>) -> String {
    let mut text = String::new();
    match prometheus_client::encoding::text::encode(&mut text, &registry.lock()) {
        Ok(()) => text,
        Err(e) => format!("# {e}\n"),
    }
}
