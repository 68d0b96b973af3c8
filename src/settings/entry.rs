//! The settings of an entry process, which keeps all lasting state in the key-value store.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::limits::machine_limits;
use super::log_level::log_level;
use super::{Document, SettingsError};
use crate::Name;
use crate::decide::load::NodeCapacity;
use crate::decide::usage::Windows;

/// Default time to live of a node's lease; two renewals in a row may be lost.
const DEFAULT_LEASE_TTL: Duration = Duration::from_millis(2_000);
/// Default number of seconds for which clients may cache an address answer.
const DEFAULT_ADDRESS_TTL_SECS: u64 = 1;
/// Default minimum time between the orders of two successive leaders.
const DEFAULT_ORDER_GAP: Duration = Duration::from_millis(3_000);
/// Default time for which the store keeps its revision history.
const DEFAULT_STORE_HISTORY: Duration = Duration::from_secs(20);
/// Default time for which a replica may still get work after it has reported that it leaves.
const DEFAULT_DRAIN_TIME: Duration = Duration::from_millis(2_000);
/// Default time after which a new configuration has to be in force on every node.
const DEFAULT_APPLY_TIME: Duration = Duration::from_millis(2_000);
/// Default time after its submission for which a job can be read.
const DEFAULT_JOB_RETENTION: Duration = Duration::from_secs(120);
/// Default time that a process may take to stop.
const DEFAULT_STOP_GRACE: Duration = Duration::from_secs(8);
/// Shortest allowed time in which a change has to be in use. With less, every node would read the
/// store several times a second.
const MIN_CHANGE_TIME: Duration = Duration::from_millis(500);
/// Smallest allowed `[store] value`; a smaller value would hold little more than its encoding.
const MIN_VALUE_BYTES: usize = 16 << 10;
/// Shortest allowed usage window, and its default.
const MIN_USAGE_WINDOW: Duration = Duration::from_secs(1);
/// Sections that a settings file may have.
const SECTIONS: [&str; 12] = [
    "node", "limits", "store", "routes", "replicas", "jobs", "duties", "usage", "orders", "stop",
    "answers", "log",
];
/// Default size limit of a value in the store.
const DEFAULT_VALUE_BYTES: usize = 1 << 20;

/// The contents of an entry process's settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// `[node] name`.
    pub name: Name,
    /// `[node] zone`.
    pub zone: Name,
    /// `[node] callers`: listen address for clients and trainers; none if this node serves
    /// neither.
    pub client_address: Option<SocketAddr>,
    /// `[node] ready`: listen address for readiness checks.
    pub readiness_address: Option<SocketAddr>,
    /// `[node] addresses`: listen address where clients ask which nodes to use.
    pub directory_address: Option<SocketAddr>,
    /// `[node] peers`: listen address for other nodes; none if they don't connect to this one.
    pub peer_address: Option<SocketAddr>,
    /// `[node] seeds`: peer addresses of some nodes, for requests before any node is known.
    pub seeds: Vec<SocketAddr>,
    /// `[node] metrics`: listen address for metrics.
    pub metrics_address: Option<SocketAddr>,
    /// `[node] keeps`: whether the machine has a disk that an operator may ask to have emptied.
    pub has_disk: bool,
    /// `[limits]`: the limits of the machine, as far as they are known.
    pub limits: NodeCapacity,
    /// `[store] address`: where the key-value store listens.
    pub store_address: SocketAddr,
    /// `[store] value`: the size limit of a value in the store, in bytes.
    pub value_bytes: usize,
    /// `[store] history`: how long the store keeps its revision history.
    pub store_history: Duration,
    /// `[store] lease`: how long a node counts as alive without renewing its lease.
    pub lease_ttl: Duration,
    /// `[routes] apply`: how long after it was written a new configuration has to be in force.
    pub apply_time: Duration,
    /// `[replicas] drain`: how long a replica may still get work after it has reported that it
    /// leaves.
    pub drain_time: Duration,
    /// `[jobs] kept`: how long after its submission a job can be read.
    pub job_retention: Duration,
    /// `[duties] address`: the platform's service for the leader's duties, such as usage reports
    /// and scaling; none if there are no duties.
    pub duties_address: Option<SocketAddr>,
    /// `[usage] window`, `late`: the windows by which usage is reported; none if it is not.
    pub usage_windows: Option<Windows>,
    /// `[orders] turn`: minimum time between the orders of two successive leaders.
    pub order_gap: Duration,
    /// `[stop] grace`: how long the process may take to stop.
    pub stop_grace: Duration,
    /// `[answers] ttl`: how long clients may cache addresses, in seconds.
    pub ttl_secs: u64,
    /// `[log] level`: the filter for log lines.
    pub log_level: String,
}

impl EntrySettings {
    /// Reads and validates a settings file.
    pub fn open(path: &Path) -> Result<Self, SettingsError> {
        Self::read(&Document::open(path)?)
    }

    /// Validates a parsed document. An unknown section or key, a missing key, or a value out of
    /// bounds is an error.
    pub fn read(doc: &Document) -> Result<Self, SettingsError> {
        doc.check_sections(&SECTIONS, &[])?;
        let node = doc.section("node")?;
        let store = doc.section("store")?;
        let mut settings = Self {
            name: node.required("name")?.into(),
            zone: node.required("zone")?.into(),
            client_address: optional_address(&node, "callers")?,
            readiness_address: optional_address(&node, "ready")?,
            directory_address: optional_address(&node, "addresses")?,
            peer_address: optional_address(&node, "peers")?,
            seeds: node.list("seeds")?,
            metrics_address: optional_address(&node, "metrics")?,
            has_disk: node.value_or("keeps", false)?,
            limits: NodeCapacity::default(),
            store_address: store.value("address")?,
            value_bytes: store.in_range(
                "value",
                MIN_VALUE_BYTES..=64 << 20,
                DEFAULT_VALUE_BYTES,
            )?,
            store_history: store.duration("history", DEFAULT_STORE_HISTORY)?,
            lease_ttl: store.duration("lease", DEFAULT_LEASE_TTL)?,
            apply_time: DEFAULT_APPLY_TIME,
            drain_time: DEFAULT_DRAIN_TIME,
            job_retention: DEFAULT_JOB_RETENTION,
            duties_address: None,
            usage_windows: None,
            order_gap: DEFAULT_ORDER_GAP,
            stop_grace: DEFAULT_STOP_GRACE,
            ttl_secs: DEFAULT_ADDRESS_TTL_SECS,
            log_level: "info".to_owned(),
        };
        node.finish()?;
        store.finish()?;
        if let Some(limits) = doc.optional_section("limits") {
            settings.limits = machine_limits(limits)?;
        }
        if let Some(routes) = doc.optional_section("routes") {
            settings.apply_time = change_time(&routes, "apply", DEFAULT_APPLY_TIME)?;
            routes.finish()?;
        }
        if let Some(replicas) = doc.optional_section("replicas") {
            settings.drain_time = change_time(&replicas, "drain", DEFAULT_DRAIN_TIME)?;
            replicas.finish()?;
        }
        if let Some(jobs) = doc.optional_section("jobs") {
            settings.job_retention = jobs.duration("kept", DEFAULT_JOB_RETENTION)?;
            jobs.finish()?;
        }
        if let Some(duties) = doc.optional_section("duties") {
            settings.duties_address = optional_address(&duties, "address")?;
            duties.finish()?;
        }
        if let Some(usage) = doc.optional_section("usage") {
            settings.usage_windows = Some(usage_windows(&usage)?);
            usage.finish()?;
        }
        if let Some(orders) = doc.optional_section("orders") {
            settings.order_gap = orders.duration("turn", DEFAULT_ORDER_GAP)?;
            orders.finish()?;
        }
        if let Some(stop) = doc.optional_section("stop") {
            settings.stop_grace = stop.duration("grace", DEFAULT_STOP_GRACE)?;
            stop.finish()?;
        }
        if let Some(answers) = doc.optional_section("answers") {
            settings.ttl_secs = answers.in_range("ttl", 1..=3_600, DEFAULT_ADDRESS_TTL_SECS)?;
            answers.finish()?;
        }
        if let Some(log) = doc.optional_section("log") {
            settings.log_level = log_level(log)?;
        }
        Ok(settings)
    }
}

/// Reads how soon a change has to be in use.
fn change_time(
    section: &super::Section<'_>,
    key: &str,
    default: Duration,
) -> Result<Duration, SettingsError> {
    let time = section.duration(key, default)?;
    if time < MIN_CHANGE_TIME {
        let text = section.text(key).unwrap_or_default();
        let reason = format!("shorter than {MIN_CHANGE_TIME:?}");
        return Err(section.invalid_value(key, text, reason));
    }
    Ok(time)
}

/// Reads the `[usage]` section. `late` defaults to the length of the window.
fn usage_windows(section: &super::Section<'_>) -> Result<Windows, SettingsError> {
    let length = section.duration("window", MIN_USAGE_WINDOW)?;
    if length < MIN_USAGE_WINDOW {
        let text = section.text("window").unwrap_or_default();
        return Err(section.invalid_value("window", text, "shorter than a second".to_owned()));
    }
    Ok(Windows { length, report_grace: section.duration("late", length)? })
}

/// Reads an address that may be absent or empty.
fn optional_address(
    section: &super::Section<'_>,
    key: &str,
) -> Result<Option<SocketAddr>, SettingsError> {
    match section.text(key) {
        None | Some("") => Ok(None),
        Some(_) => section.value(key).map(Some),
    }
}
