//! The settings of a process on machines where a store holds all that lasts.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use super::{Document, Invalid};
use crate::Name;
use crate::decide::usage::Windows;

/// How long the lease of a node lasts by default: two renewals may be lost.
const LEASE: Duration = Duration::from_millis(2_000);
/// How long callers keep an answer with addresses, in seconds.
const TTL: u64 = 1;
/// How long a holder of orders waits before its first order by default.
const TURN: Duration = Duration::from_millis(3_000);
/// How long the store keeps its history by default.
const HISTORY: Duration = Duration::from_secs(20);
/// How long after a replica has reported that it leaves it may still get work, by default.
const DRAIN: Duration = Duration::from_millis(2_000);
/// How long a job can be read after its submission by default.
const KEPT: Duration = Duration::from_secs(120);
/// How long a process may take to stop by default.
const GRACE: Duration = Duration::from_secs(8);
/// A value below this would hold little beside its frame, in bytes.
const LEAST_VALUE: usize = 16 << 10;
/// The shortest window that usage is reported by.
const LEAST_WINDOW: Duration = Duration::from_secs(1);
/// The sections that a file may have.
const SECTIONS: [&str; 10] =
    ["node", "store", "replicas", "jobs", "duties", "usage", "orders", "stop", "answers", "log"];
/// The largest value of the store by default, in bytes.
const VALUE: usize = 1 << 20;

/// Everything that a process reads from its file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// `[node] name`.
    pub name: Name,
    /// `[node] zone`.
    pub zone: Name,
    /// `[node] callers`: where clients and trainers connect; none where nobody does.
    pub client_address: Option<SocketAddr>,
    /// `[node] ready`: where readiness is asked.
    pub readiness_address: Option<SocketAddr>,
    /// `[node] addresses`: where clients ask which nodes to use.
    pub directory_address: Option<SocketAddr>,
    /// `[node] peers`: where other nodes connect; none where nobody does.
    pub peer_address: Option<SocketAddr>,
    /// `[node] seeds`: where some other nodes may be asked before any is known.
    pub seeds: Vec<SocketAddr>,
    /// `[node] metrics`: where metrics are asked for.
    pub metrics_address: Option<SocketAddr>,
    /// `[node] keeps`: whether the machine has a disk that an operator may ask to empty.
    pub has_disk: bool,
    /// `[store] address`.
    pub store_address: SocketAddr,
    /// `[store] value`: the largest value, in bytes.
    pub max_value: usize,
    /// `[store] history`: how long the store keeps its history.
    pub store_history: Duration,
    /// `[store] lease`: how long a node counts as alive without a renewal.
    pub lease_ttl: Duration,
    /// `[replicas] drain`: how long after a replica has reported that it leaves it may still
    /// get work.
    pub drain_time: Duration,
    /// `[jobs] kept`: how long a job can be read after its submission.
    pub job_retention: Duration,
    /// `[duties] address`: where duties are done; none where there are none.
    pub duties_address: Option<SocketAddr>,
    /// `[usage] window`, `late`: how usage is reported; none where it is not.
    pub usage_windows: Option<Windows>,
    /// `[orders] turn`: how long orders of two holders must lie apart.
    pub order_gap: Duration,
    /// `[stop] grace`: how long stopping may take.
    pub stop_grace: Duration,
    /// `[answers] ttl`: how long callers may keep addresses, in seconds.
    pub address_ttl: u64,
    /// `[log] level`.
    pub log_level: String,
}

impl EntrySettings {
    /// Reads and checks a file.
    pub fn open(path: &Path) -> Result<Self, Invalid> {
        Self::read(&Document::open(path)?)
    }

    /// Checks a parsed text.
    pub fn read(doc: &Document) -> Result<Self, Invalid> {
        doc.only(&SECTIONS, &[])?;
        let node = doc.section("node")?;
        let store = doc.section("store")?;
        let mut settings = Self {
            name: node.required("name")?.into(),
            zone: node.required("zone")?.into(),
            client_address: address(&node, "callers")?,
            readiness_address: address(&node, "ready")?,
            directory_address: address(&node, "addresses")?,
            peer_address: address(&node, "peers")?,
            seeds: node.list("seeds")?,
            metrics_address: address(&node, "metrics")?,
            has_disk: node.value_or("keeps", false)?,
            store_address: store.value("address")?,
            max_value: store.within("value", LEAST_VALUE..=64 << 20, VALUE)?,
            store_history: store.duration("history", HISTORY)?,
            lease_ttl: store.duration("lease", LEASE)?,
            drain_time: DRAIN,
            job_retention: KEPT,
            duties_address: None,
            usage_windows: None,
            order_gap: TURN,
            stop_grace: GRACE,
            address_ttl: TTL,
            log_level: "info".to_owned(),
        };
        node.finish()?;
        store.finish()?;
        if let Some(replicas) = doc.optional("replicas") {
            settings.drain_time = replicas.duration("drain", DRAIN)?;
            replicas.finish()?;
        }
        if let Some(jobs) = doc.optional("jobs") {
            settings.job_retention = jobs.duration("kept", KEPT)?;
            jobs.finish()?;
        }
        if let Some(duties) = doc.optional("duties") {
            settings.duties_address = address(&duties, "address")?;
            duties.finish()?;
        }
        if let Some(usage) = doc.optional("usage") {
            settings.usage_windows = Some(windows(&usage)?);
            usage.finish()?;
        }
        if let Some(orders) = doc.optional("orders") {
            settings.order_gap = orders.duration("turn", TURN)?;
            orders.finish()?;
        }
        if let Some(stop) = doc.optional("stop") {
            settings.stop_grace = stop.duration("grace", GRACE)?;
            stop.finish()?;
        }
        if let Some(answers) = doc.optional("answers") {
            settings.address_ttl = answers.within("ttl", 1..=3_600, TTL)?;
            answers.finish()?;
        }
        if let Some(log) = doc.optional("log") {
            settings.log_level = log.text("level").unwrap_or("info").to_owned();
            log.finish()?;
        }
        Ok(settings)
    }
}

fn windows(section: &super::Section<'_>) -> Result<Windows, Invalid> {
    let length = section.duration("window", LEAST_WINDOW)?;
    if length < LEAST_WINDOW {
        let text = section.text("window").unwrap_or_default();
        return Err(section.bad("window", text, "shorter than a second".to_owned()));
    }
    Ok(Windows { length, report_grace: section.duration("late", length)? })
}

/// An address that may be left out or empty.
fn address(section: &super::Section<'_>, key: &str) -> Result<Option<SocketAddr>, Invalid> {
    match section.text(key) {
        None | Some("") => Ok(None),
        Some(_) => section.value(key).map(Some),
    }
}
