//! The metrics of an entry node, served at `/metrics`.

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
use super::process::ProcessCollector;
use super::{Direction, Traffic};
use crate::decide::failures::RequestFailure;
use crate::decide::load::ShareOutcome;
use crate::edge::duty::DutyOutcome;
use crate::edge::replica::OrderOutcome;
use crate::error::Kind;

/// How an attempt at a replica ended, for requests and for samples.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum AttemptEnd {
    /// With a complete response.
    Answered,
    /// The replica ran it and it failed.
    Failed,
    /// No connection could be opened.
    Unsent,
    /// The replica refused it because it was full or loading weights.
    NotRun,
    /// Another incarnation of the replica or another weight version answered.
    Stranger,
    /// The connection broke, or nothing was received in time.
    Broken,
    /// It was abandoned because another replica is faster.
    Slow,
    /// Its events did not continue the text received before.
    Fault,
}

/// How a sample ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum SampleEnd {
    /// With a text and a score.
    Completed,
    /// It was given up.
    Dead,
}

/// An event in the life cycle of a job at this node.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum JobEvent {
    /// It was accepted from a trainer.
    Accepted,
    /// It was refused and not stored.
    Refused,
    /// The outcome of storing it is unknown.
    Unsure,
    /// This node took it over from an owner that had gone.
    Taken,
    /// It was handed over because this process shuts down.
    HandedOver,
    /// Another node owns it now.
    Lost,
    /// Every sample has a result.
    Complete,
    /// Its trainer ended it.
    Ended,
}

/// The operation of a call to the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum StoreCall {
    /// Reading a key.
    Get,
    /// Reading the keys with a prefix.
    Range,
    /// Watching a prefix.
    Watch,
    /// A transaction that writes.
    Txn,
    /// Granting a lease.
    Grant,
    /// Renewing a lease.
    Keep,
    /// Revoking a lease.
    End,
}

/// How a call to the store ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum StoreEnd {
    /// With a response.
    Answered,
    /// The store did nothing.
    Refused,
    /// The store may have done it.
    Unknown,
    /// The revision asked for was already compacted.
    Compacted,
}

/// The data that a call to the store is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum StorePurpose {
    /// The routes, which are the configuration.
    Routes,
    /// The weight versions that trainers name.
    Versions,
    /// Requests of operators to empty a machine.
    Retirements,
    /// The list of replicas.
    Replicas,
    /// The list of nodes.
    Nodes,
    /// The leader, which gives orders to replicas.
    Holder,
    /// The job records, which name the owner of each job.
    Homes,
    /// The specifications of submitted jobs.
    Submissions,
    /// The results of jobs.
    Results,
    /// The texts of unfinished samples.
    Texts,
    /// The failures of texts and reward calls.
    Failures,
    /// The requests that crashed several replicas.
    Quarantine,
    /// Usage reports.
    Usage,
    /// The number of replicas ordered.
    Scale,
    /// This node's lease.
    Lease,
    /// Any other data.
    Other,
}

/// The purpose of a request from one entry node to another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum PeerPurpose {
    /// Submitting jobs.
    Submit,
    /// Reading results.
    Read,
    /// Following changes of the store.
    Follow,
    /// Calling the store through another node.
    Store,
    /// Sharing usage counts.
    Usage,
    /// Requests that crash replicas.
    Quarantine,
}

/// The purpose for which memory is held.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum HeldFor {
    /// Bodies, responses and events of calls.
    Calls,
    /// Jobs that the node owns.
    Jobs,
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
label!(FailureLabel, failure: RequestFailure);
label!(JobEventLabel, step: JobEvent);
label!(OrderLabel, result: OrderOutcome);
label!(DutyLabel, result: DutyOutcome);
label!(ShareLabel, result: ShareOutcome);
label!(PeerPurposeLabel, purpose: PeerPurpose);
label!(HeldLabel, purpose: HeldFor);

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabel {
    service: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CallRefusalLabel {
    service: String,
    kind: Kind,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PeerTrafficLabel {
    purpose: PeerPurpose,
    way: Direction,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StoreLabel {
    call: StoreCall,
    end: StoreEnd,
    purpose: StorePurpose,
}

/// Returns a histogram of times. Bounds double from 1 ms to 16 s, to cover a fast store call and
/// the longest request.
fn seconds() -> Histogram {
    Histogram::new(exponential_buckets(0.001, 2.0, 15))
}

/// The counters, gauges and histograms of an entry node.
#[derive(Debug)]
pub struct EntryMetrics {
    registry: Mutex<Registry>,
    refusals: Family<KindLabel, Counter>,
    attempts: Family<AttemptLabel, Counter>,
    sample_attempts: Family<AttemptLabel, Counter>,
    samples: Family<SampleLabel, Counter>,
    sample_failures: Family<FailureLabel, Counter>,
    jobs: Family<JobEventLabel, Counter>,
    orders: Family<OrderLabel, Counter>,
    usage_reports: Family<DutyLabel, Counter>,
    scale_orders: Family<DutyLabel, Counter>,
    store_calls: Family<StoreLabel, Counter>,
    peer_bytes: Family<PeerTrafficLabel, Counter>,
    peer_messages: Family<PeerTrafficLabel, Counter>,
    peer_failures: Family<PeerPurposeLabel, Counter>,
    calls_received: Family<ServiceLabel, Counter>,
    calls_sent: Family<ServiceLabel, Counter>,
    calls_refused: Family<CallRefusalLabel, Counter>,
    calls_waiting: Family<ServiceLabel, Gauge>,
    call_wait_seconds: Family<ServiceLabel, Histogram>,
    held_bytes: Family<HeldLabel, Gauge<i64, AtomicI64>>,
    held_bytes_limit: Family<HeldLabel, Gauge<i64, AtomicI64>>,
    store_seconds: Histogram,
    request_seconds: Histogram,
    share_orders: Family<ShareLabel, Counter>,
    ignored_demand: Counter,
    /// Slots given to trainers beyond their shares.
    pub over_share: Gauge<i64, AtomicI64>,
    /// Jobs that this node runs.
    pub open_jobs: Gauge<i64, AtomicI64>,
    /// The jobs of other nodes of which this node has a copy.
    pub remote_jobs: Gauge<i64, AtomicI64>,
    /// The version of the active routes; 0 if there are none.
    pub routes_version: Gauge<i64, AtomicI64>,
    /// Load reports of replicas that count more requests than can be there.
    pub ignored_load_reports: Counter,
    /// Registered nodes whose published capacity is not plausible.
    pub invalid_capacities: Gauge<i64, AtomicI64>,
    /// Views of the store that no watcher confirmed in time, so that this node read the store.
    pub unconfirmed_views: Counter,
    /// Log lines that the rate limit dropped.
    pub dropped_lines: Gauge<i64, AtomicI64>,
    /// Figures from replicas that were out of range and ignored.
    pub ignored_figures: Counter,
    /// Crashes of replicas that interrupted a request of this node.
    pub replica_crashes: Counter,
    /// Requests that were interrupted by crashes and are not quarantined.
    pub suspects: Gauge<i64, AtomicI64>,
    /// Requests that are quarantined.
    pub quarantined: Gauge<i64, AtomicI64>,
}

impl Default for EntryMetrics {
    fn default() -> Self {
        let metrics = Self {
            registry: Mutex::new(Registry::with_prefix("mulberry")),
            refusals: Family::default(),
            attempts: Family::default(),
            sample_attempts: Family::default(),
            samples: Family::default(),
            sample_failures: Family::default(),
            jobs: Family::default(),
            orders: Family::default(),
            usage_reports: Family::default(),
            scale_orders: Family::default(),
            store_calls: Family::default(),
            peer_bytes: Family::default(),
            peer_messages: Family::default(),
            peer_failures: Family::default(),
            calls_received: Family::default(),
            calls_sent: Family::default(),
            calls_refused: Family::default(),
            calls_waiting: Family::default(),
            call_wait_seconds: Family::new_with_constructor(seconds),
            held_bytes: Family::default(),
            held_bytes_limit: Family::default(),
            store_seconds: seconds(),
            request_seconds: seconds(),
            share_orders: Family::default(),
            ignored_demand: Counter::default(),
            over_share: Gauge::default(),
            open_jobs: Gauge::default(),
            remote_jobs: Gauge::default(),
            routes_version: Gauge::default(),
            ignored_load_reports: Counter::default(),
            invalid_capacities: Gauge::default(),
            unconfirmed_views: Counter::default(),
            dropped_lines: Gauge::default(),
            ignored_figures: Counter::default(),
            replica_crashes: Counter::default(),
            suspects: Gauge::default(),
            quarantined: Gauge::default(),
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
        let mut registry = self.registry.lock();
        registry.register("refusals", "Requests refused, by kind", self.refusals.clone());
        registry.register("attempts", "Attempts at requests, by end", self.attempts.clone());
        let help = "Attempts at samples, by end";
        registry.register("sample_attempts", help, self.sample_attempts.clone());
        registry.register("samples", "Samples that ended here", self.samples.clone());
        let help = "Failed runs of texts and reward calls, by failure";
        registry.register("sample_failures", help, self.sample_failures.clone());
        registry.register("jobs", "What jobs went through here", self.jobs.clone());
        registry.register("orders", "Orders given, by result", self.orders.clone());
        registry.register(
            "usage_reports",
            "Usage reports sent, by result",
            self.usage_reports.clone(),
        );
        registry.register(
            "scale_orders",
            "Orders of replicas, by result",
            self.scale_orders.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store, by end and purpose",
            self.store_calls.clone(),
        );
        let help = "Bytes between nodes, by purpose and way";
        registry.register("peer_bytes", help, self.peer_bytes.clone());
        let help = "Messages between nodes, by purpose and way";
        registry.register("peer_messages", help, self.peer_messages.clone());
        let help = "Requests to other nodes that ended without a reply, by purpose";
        registry.register("peer_given_up", help, self.peer_failures.clone());
        let help = "Requests without weights to a service whose replicas report their load";
        registry.register("calls_received", help, self.calls_received.clone());
        registry.register("calls_sent", "Those that got a slot", self.calls_sent.clone());
        let help = "Those that got no slot, by kind";
        registry.register("calls_refused", help, self.calls_refused.clone());
        registry.register("calls_waiting", "Those that wait", self.calls_waiting.clone());
        let help = "Time of those that found all replicas full until they were sent or refused";
        registry.register("call_wait_seconds", help, self.call_wait_seconds.clone());
        let help = "Load reports with more requests than can be there";
        registry.register("load_reports_ignored", help, self.ignored_load_reports.clone());
        let help = "Time of answered calls to the store, watches aside";
        registry.register("store_seconds", help, self.store_seconds.clone());
        let help = "Time from a request's head to the head of its answer";
        registry.register("request_seconds", help, self.request_seconds.clone());
        let help = "Shares of slots received from leaders, by result";
        registry.register("share_orders", help, self.share_orders.clone());
        let help = "Figures of other nodes' demand that were out of range";
        registry.register("demand_ignored", help, self.ignored_demand.clone());
        let help = "Slots given to trainers beyond their shares so far";
        registry.register("over_share", help, self.over_share.clone());
        registry.register("open_jobs", "Jobs that run here", self.open_jobs.clone());
        let help = "Jobs of other nodes of which this node has a copy";
        registry.register("remote_jobs", help, self.remote_jobs.clone());
        registry.register("routes_version", "Configuration in force", self.routes_version.clone());
        let help = "Nodes whose published capacity is not plausible";
        registry.register("invalid_capacities", help, self.invalid_capacities.clone());
        let help = "Bytes held for callers, by purpose";
        registry.register("held_bytes", help, self.held_bytes.clone());
        let help = "The most bytes that may be held for callers; 0 for no limit";
        registry.register("held_bytes_limit", help, self.held_bytes_limit.clone());
        let help = "Views of the store that no watcher confirmed in time";
        registry.register("unconfirmed_views", help, self.unconfirmed_views.clone());
        let help = "Log lines left out for their number";
        registry.register("log_lines_dropped", help, self.dropped_lines.clone());
        let help = "Figures from replicas that were out of range";
        registry.register("ignored_figures", help, self.ignored_figures.clone());
        let help = "Crashes of replicas that interrupted a request of this node";
        registry.register("replica_crashes", help, self.replica_crashes.clone());
        let help = "Requests that crashes interrupted, and that may run";
        registry.register("suspect_requests", help, self.suspects.clone());
        let help = "Requests that are refused because they crash replicas";
        registry.register("quarantined_requests", help, self.quarantined.clone());
        registry.register_collector(Box::new(ProcessCollector));
    }

    /// Records the memory that is held for a purpose and its limit, in bytes.
    pub fn record_memory(&self, purpose: HeldFor, held: usize, limit: Option<usize>) {
        let label = HeldLabel { purpose };
        self.held_bytes.get_or_create(&label).set(held as i64);
        self.held_bytes_limit.get_or_create(&label).set(limit.map_or(0, |n| n as i64));
    }

    /// Counts a refusal.
    pub fn count_refusal(&self, kind: Kind) {
        self.refusals.get_or_create(&KindLabel { kind }).inc();
    }

    /// Counts an attempt at a request by how it ended.
    pub fn count_attempt(&self, end: AttemptEnd) {
        self.attempts.get_or_create(&AttemptLabel { end }).inc();
    }

    /// Counts an attempt at a sample by how it ended.
    pub fn count_sample_attempt(&self, end: AttemptEnd) {
        self.sample_attempts.get_or_create(&AttemptLabel { end }).inc();
    }

    /// Counts a sample by how it ended.
    pub fn count_sample(&self, end: SampleEnd) {
        self.samples.get_or_create(&SampleLabel { end }).inc();
    }

    /// Counts a failed run of a text or reward call.
    pub fn count_sample_failure(&self, failure: RequestFailure) {
        self.sample_failures.get_or_create(&FailureLabel { failure }).inc();
    }

    /// Counts an event of a job.
    pub fn count_job_event(&self, step: JobEvent) {
        self.jobs.get_or_create(&JobEventLabel { step }).inc();
    }

    /// Counts a weight order by its outcome.
    pub fn count_order(&self, result: OrderOutcome) {
        self.orders.get_or_create(&OrderLabel { result }).inc();
    }

    /// Counts an order of shares by what became of it.
    pub fn count_share_order(&self, result: ShareOutcome) {
        self.share_orders.get_or_create(&ShareLabel { result }).inc();
    }

    /// Counts figures of another node's demand that were out of range.
    pub fn count_ignored_demand(&self, count: u64) {
        self.ignored_demand.inc_by(count);
    }

    /// Counts a usage report by its outcome.
    pub fn count_usage_report(&self, result: DutyOutcome) {
        self.usage_reports.get_or_create(&DutyLabel { result }).inc();
    }

    /// Counts an order to change the number of replicas by its outcome.
    pub fn count_scale_order(&self, result: DutyOutcome) {
        self.scale_orders.get_or_create(&DutyLabel { result }).inc();
    }

    /// Counts a call to the store. `took` is the duration of an answered call; none for a watch,
    /// which waits for changes.
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

    /// Returns the traffic counters for one purpose of requests between nodes.
    pub fn peer_traffic(&self, purpose: PeerPurpose) -> Traffic {
        let bytes = |way| self.peer_bytes.get_or_create(&PeerTrafficLabel { purpose, way }).clone();
        let messages =
            |way| self.peer_messages.get_or_create(&PeerTrafficLabel { purpose, way }).clone();
        Traffic::new(bytes, messages)
    }

    /// Counts a request to another node that ended without a reply.
    pub fn count_peer_failure(&self, purpose: PeerPurpose) {
        self.peer_failures.get_or_create(&PeerPurposeLabel { purpose }).inc();
    }

    /// Counts a request without weights to a service whose replicas report their load.
    pub fn count_call_received(&self, service: &str) {
        self.calls_received.get_or_create(&service_label(service)).inc();
    }

    /// Counts such a request that got a slot.
    pub fn count_call_sent(&self, service: &str) {
        self.calls_sent.get_or_create(&service_label(service)).inc();
    }

    /// Counts such a request that got no slot.
    pub fn count_call_refused(&self, service: &str, kind: Kind) {
        let service = service.to_owned();
        self.calls_refused.get_or_create(&CallRefusalLabel { service, kind }).inc();
    }

    /// Sets how many such requests to a service wait.
    pub fn set_waiting_calls(&self, service: &str, count: usize) {
        self.calls_waiting.get_or_create(&service_label(service)).set(count as i64);
    }

    /// Records how long such a request waited for a slot.
    pub fn observe_call_wait(&self, service: &str, waited: Duration) {
        self.call_wait_seconds.get_or_create(&service_label(service)).observe(waited.as_secs_f64());
    }

    /// Records the time from receiving a request to the head of its response.
    pub fn observe_request(&self, took: Duration) {
        self.request_seconds.observe(took.as_secs_f64());
    }

    /// Encodes all metrics in the Prometheus text format.
    pub fn text_format(&self) -> String {
        encode_text(&self.registry)
    }
}

fn service_label(service: &str) -> ServiceLabel {
    ServiceLabel { service: service.to_owned() }
}
