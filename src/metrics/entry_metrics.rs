//! The counters of an entry process, for `/metrics`.

use std::sync::atomic::AtomicI64;
use std::time::Duration;

use parking_lot::Mutex;
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::Registry;

use super::labels::KindLabel;
use super::metrics::encode_text;
use super::process::Process;
use super::{Direction, Traffic};
use crate::edge::duty::DutyOutcome;
use crate::edge::replica::OrderOutcome;
use crate::error::Kind;

/// How an attempt at a replica ended, for requests and for samples.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum AttemptEnd {
    /// With a whole answer.
    Answered,
    /// The replica ran it and failed.
    Failed,
    /// No connection.
    Unsent,
    /// The replica refused it: full, or loading weights.
    NotRun,
    /// Another incarnation or version was there.
    Stranger,
    /// It broke off, or no sign came in time.
    Broken,
    /// Another replica was faster.
    Slow,
    /// The events did not fit what was there.
    Fault,
}

/// How a sample ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum SampleEnd {
    /// With a text and a score.
    Completed,
    /// Given up.
    Dead,
}

/// What a job went through here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum JobEvent {
    /// Accepted from a trainer.
    Accepted,
    /// Not kept.
    Refused,
    /// It may be kept.
    Unsure,
    /// Taken over from a home that was gone.
    Taken,
    /// Handed over as this process left.
    HandedOver,
    /// Another node is home.
    Lost,
    /// Every sample listed.
    Complete,
    /// Ended by its trainer.
    Ended,
}

/// A call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum StoreCall {
    /// A key.
    Get,
    /// A prefix.
    Range,
    /// A watch.
    Watch,
    /// A write.
    Txn,
    /// A new lease.
    Grant,
    /// A renewal.
    Keep,
    /// The end of a lease.
    End,
}

/// How it ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum StoreEnd {
    /// With an answer.
    Answered,
    /// Nothing was done.
    Refused,
    /// It may have been done.
    Unknown,
    /// The history was gone.
    Compacted,
}

/// What a call to the store is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum StorePurpose {
    /// The configuration.
    Routes,
    /// The versions that trainers name.
    Versions,
    /// The machines that are to be emptied.
    Retirements,
    /// The list of replicas.
    Replicas,
    /// Nodes.
    Nodes,
    /// The holder of orders.
    Holder,
    /// Where jobs are.
    Homes,
    /// What jobs were submitted with.
    Submissions,
    /// Results of jobs.
    Results,
    /// Unfinished texts.
    Texts,
    /// Usage reports.
    Usage,
    /// The replicas that are ordered.
    Scale,
    /// This node's lease.
    Lease,
    /// Something else.
    Other,
}

/// What entry nodes ask each other for.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum PeerPurpose {
    /// Submissions.
    Submit,
    /// Reads of results.
    Read,
    /// Changes.
    Follow,
    /// Calls to the store.
    Store,
    /// Counts of usage.
    Usage,
}

macro_rules! label {
    ($name:ident, $field:ident: $kind:ty) => {
        #[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
        struct $name {
            $field: $kind,
        }
    };
}

label!(AttemptLabel, end: AttemptEnd);
label!(SampleLabel, end: SampleEnd);
label!(JobLabel, step: JobEvent);
label!(OrderLabel, result: OrderOutcome);
label!(DutyLabel, result: DutyOutcome);
label!(UseLabel, purpose: PeerPurpose);

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PeerLabel {
    purpose: PeerPurpose,
    way: Direction,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreLabel {
    call: StoreCall,
    end: StoreEnd,
    purpose: StorePurpose,
}

/// Everything that an entry process counts.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Mutex<Registry>,
    refusals: Family<KindLabel, Counter>,
    attempts: Family<AttemptLabel, Counter>,
    sample_attempts: Family<AttemptLabel, Counter>,
    samples: Family<SampleLabel, Counter>,
    jobs: Family<JobLabel, Counter>,
    orders: Family<OrderLabel, Counter>,
    usage_reports: Family<DutyLabel, Counter>,
    scale_orders: Family<DutyLabel, Counter>,
    store_calls: Family<StoreLabel, Counter>,
    peer_bytes: Family<PeerLabel, Counter>,
    peer_messages: Family<PeerLabel, Counter>,
    peer_failures: Family<UseLabel, Counter>,
    store_seconds: Histogram,
    request_seconds: Histogram,
    /// Jobs that run here.
    pub open_jobs: Gauge<i64, AtomicI64>,
    /// The version of the configuration in force; 0 for none.
    pub routes_version: Gauge<i64, AtomicI64>,
    /// Log lines that were left out for their number.
    pub dropped_lines: Gauge<i64, AtomicI64>,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        // From 1 ms in steps of two to 16 s: an answer of the store to the longest request.
        let seconds = || Histogram::new(exponential_buckets(0.001, 2.0, 15));
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("mulberry")),
            refusals: Family::default(),
            attempts: Family::default(),
            sample_attempts: Family::default(),
            samples: Family::default(),
            jobs: Family::default(),
            orders: Family::default(),
            usage_reports: Family::default(),
            scale_orders: Family::default(),
            store_calls: Family::default(),
            peer_bytes: Family::default(),
            peer_messages: Family::default(),
            peer_failures: Family::default(),
            store_seconds: seconds(),
            request_seconds: seconds(),
            open_jobs: Gauge::default(),
            routes_version: Gauge::default(),
            dropped_lines: Gauge::default(),
        };
        metrics.register();
        for kind in Kind::ALL.iter().copied() {
            drop(metrics.refusals.get_or_create(&KindLabel { kind }));
        }
        metrics
    }
}

impl EntryMetrics {
    fn register(&self) {
        let mut all = self.registry.lock();
        all.register("refusals", "Requests refused, by kind", self.refusals.clone());
        all.register("attempts", "Attempts at requests, by end", self.attempts.clone());
        let help = "Attempts at samples, by end";
        all.register("sample_attempts", help, self.sample_attempts.clone());
        all.register("samples", "Samples that ended here", self.samples.clone());
        all.register("jobs", "What jobs went through here", self.jobs.clone());
        all.register("orders", "Orders given, by result", self.orders.clone());
        all.register("usage_reports", "Usage reports sent, by result", self.usage_reports.clone());
        all.register("scale_orders", "Orders of replicas, by result", self.scale_orders.clone());
        all.register(
            "store_calls",
            "Calls to the store, by end and purpose",
            self.store_calls.clone(),
        );
        let help = "Bytes between nodes, by purpose and way";
        all.register("peer_bytes", help, self.peer_bytes.clone());
        let help = "Messages between nodes, by purpose and way";
        all.register("peer_messages", help, self.peer_messages.clone());
        let help = "Requests to other nodes that ended without a reply, by purpose";
        all.register("peer_given_up", help, self.peer_failures.clone());
        let help = "Time of answered calls to the store, watches aside";
        all.register("store_seconds", help, self.store_seconds.clone());
        let help = "Time from a request's head to the head of its answer";
        all.register("request_seconds", help, self.request_seconds.clone());
        all.register("open_jobs", "Jobs that run here", self.open_jobs.clone());
        all.register("routes_version", "Configuration in force", self.routes_version.clone());
        let help = "Log lines left out for their number";
        all.register("log_lines_dropped", help, self.dropped_lines.clone());
        all.register_collector(Box::new(Process));
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, kind: Kind) {
        self.refusals.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts an attempt at a request.
    pub fn count_attempt(&self, end: AttemptEnd) {
        self.attempts.get_or_create(&AttemptLabel { end }).inc();
    }

    /// Counts an attempt at a sample.
    pub fn count_sample_attempt(&self, end: AttemptEnd) {
        self.sample_attempts.get_or_create(&AttemptLabel { end }).inc();
    }

    /// Counts a sample.
    pub fn count_sample(&self, end: SampleEnd) {
        self.samples.get_or_create(&SampleLabel { end }).inc();
    }

    /// Counts a step of a job.
    pub fn count_job_event(&self, step: JobEvent) {
        self.jobs.get_or_create(&JobLabel { step }).inc();
    }

    /// Counts an order.
    pub fn count_order(&self, result: OrderOutcome) {
        self.orders.get_or_create(&OrderLabel { result }).inc();
    }

    /// Counts a usage report.
    pub fn count_usage_report(&self, result: DutyOutcome) {
        self.usage_reports.get_or_create(&DutyLabel { result }).inc();
    }

    /// Counts an order of replicas.
    pub fn count_scale_order(&self, result: DutyOutcome) {
        self.scale_orders.get_or_create(&DutyLabel { result }).inc();
    }

    /// Counts a call to the store; `took` for one that was to be answered at once.
    pub fn count_store_call(
        &self,
        call: StoreCall,
        end: StoreEnd,
        purpose: StorePurpose,
        took: Option<Duration>,
    ) {
        self.store_calls.get_or_create(&StoreLabel { call, end, purpose }).inc();
        if let Some(took) = took {
            self.store_seconds.observe(took.as_secs_f64());
        }
    }

    /// The counters of what nodes ask each other for.
    pub fn peer_traffic(&self, purpose: PeerPurpose) -> Traffic {
        let bytes = |way| self.peer_bytes.get_or_create(&PeerLabel { purpose, way }).clone();
        let messages = |way| self.peer_messages.get_or_create(&PeerLabel { purpose, way }).clone();
        Traffic::new(bytes, messages)
    }

    /// Counts a request to another node that ended without a reply.
    pub fn count_peer_failure(&self, purpose: PeerPurpose) {
        self.peer_failures.get_or_create(&UseLabel { purpose }).inc();
    }

    /// A request has its answer.
    pub fn observe_request(&self, took: Duration) {
        self.request_seconds.observe(took.as_secs_f64());
    }

    /// The text that `/metrics` answers.
    pub fn text_format(&self) -> String {
        encode_text(&self.registry)
    }
}
