//! The keys that this service writes in the store, and the records under them.
//!
//! Everything that every node must know lies under one prefix, so that a single watch follows
//! it; it changes only when nodes join or leave, and for requests that crash replicas. The data of a job lies elsewhere and is
//! watched only by the job's owner, because otherwise each change would cost a store call at
//! every node.

use std::net::SocketAddr;

use serde::{Deserialize, Deserializer, Serialize};

use super::reported_capacity::ReportedCapacity;
use crate::Name;
use crate::decide::failures::FailureCount;
use crate::metrics::StorePurpose;

/// Prefix of what every node watches: the records of the nodes, of the leader, and of requests that
/// crashed several replicas.
pub(super) const MEMBERSHIP_PREFIX: &str = "mulberry/live/";
/// Key of the leader record.
pub(super) const LEADER_KEY: &str = "mulberry/live/holder";

/// Key of the last usage report that the leader has fixed.
pub(super) const USAGE_KEY: &str = "mulberry/usage";

/// Key of the replica counts that the leader has ordered for each service.
pub(super) const SCALE_KEY: &str = "mulberry/scale";

/// Prefix of the node records.
const NODE_PREFIX: &str = "mulberry/live/node/";
/// Prefix of the job records.
pub(super) const JOB_RECORD_PREFIX: &str = "mulberry/home/";
/// Prefix of the failure records of all jobs.
pub(super) const FAILURES_PREFIX: &str = "mulberry/failed/";
/// Prefix of the records of requests that crashed several replicas.
pub(super) const CRASHING_PREFIX: &str = "mulberry/live/crashing/";
/// Prefix of the submissions, results and unfinished texts of all jobs.
const JOB_DATA_PREFIX: &str = "mulberry/job/";

/// A live node. The record is attached to the node's lease and vanishes with it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct NodeRecord {
    /// Identifies one run of the node's process.
    #[serde(rename = "life")]
    pub incarnation: Name,
    /// The listen address for clients; none if the node serves none.
    pub callers: Option<SocketAddr>,
    /// The listen address for other nodes; none if they don't connect to this one.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
    /// The availability zone. None in the records of older versions, or if it is not a text.
    #[serde(default, deserialize_with = "text_or_none", skip_serializing_if = "Option::is_none")]
    pub zone: Option<Name>,
    /// The capacity of the machine. Unknown in the records of older versions.
    #[serde(default, skip_serializing_if = "ReportedCapacity::is_unknown")]
    pub capacity: ReportedCapacity,
}

/// Which process owns a job, and how far the job is. Only the owner runs the job's samples and
/// writes its results.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct JobRecord {
    /// The incarnation of the owner's process.
    #[serde(rename = "life")]
    pub incarnation: Name,
    /// The number of the job's samples.
    #[serde(rename = "total")]
    pub sample_count: usize,
    /// The number of values that hold the submission.
    #[serde(rename = "parts")]
    pub part_count: usize,
    /// Whether no work is left: every result is written, or the trainer ended the job.
    pub done: bool,
    /// Whether the trainer ended the job.
    pub ended: bool,
    /// How often another process became its owner.
    #[serde(default)]
    pub takeovers: u32,
    /// When the job was accepted, in milliseconds since the Unix epoch.
    #[serde(rename = "since")]
    pub accepted_ms: u64,
}

/// The failures of a job's texts and reward calls.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct FailureRecord {
    /// The organisation that submitted the job; none if it came without a key.
    pub organisation: Option<Name>,
    /// How often the job had been taken over. Only older versions read it.
    pub takeovers: u32,
    /// The failures by request.
    pub counts: Vec<(Name, FailureCount)>,
}

/// The leader. The record is attached to the leader's lease, and the revision that wrote it is
/// the fencing token of the term.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LeaderRecord {
    /// The incarnation of the leader's process.
    #[serde(rename = "life")]
    pub incarnation: Name,
}

/// A parsed key under [`MEMBERSHIP_PREFIX`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum MembershipKey<'a> {
    /// The record of the node of this name.
    Node(&'a str),
    /// The leader record.
    Leader,
}

/// Parses a key under [`MEMBERSHIP_PREFIX`]; none for any other key.
pub(super) fn parse_membership_key(key: &str) -> Option<MembershipKey<'_>> {
    if key == LEADER_KEY {
        return Some(MembershipKey::Leader);
    }
    key.strip_prefix(NODE_PREFIX).map(MembershipKey::Node)
}

/// Classifies a key or prefix of this service for the store call metrics.
pub(super) fn key_purpose(key: &str) -> StorePurpose {
    if let Some(parsed) = parse_membership_key(key) {
        return match parsed {
            MembershipKey::Node(_) => StorePurpose::Nodes,
            MembershipKey::Leader => StorePurpose::Holder,
        };
    }
    match key {
        USAGE_KEY => return StorePurpose::Usage,
        SCALE_KEY => return StorePurpose::Scale,
        _ => {}
    }
    if key.starts_with(JOB_RECORD_PREFIX) {
        return StorePurpose::Homes;
    }
    if key.starts_with(FAILURES_PREFIX) {
        return StorePurpose::Failures;
    }
    if key.starts_with(CRASHING_PREFIX) {
        return StorePurpose::Quarantine;
    }
    let Some(part) = key.strip_prefix(JOB_DATA_PREFIX).and_then(|rest| rest.split('/').nth(1))
    else {
        return StorePurpose::Other;
    };
    match part {
        "spec" => StorePurpose::Submissions,
        "results" => StorePurpose::Results,
        "texts" => StorePurpose::Texts,
        _ => StorePurpose::Other,
    }
}

/// Reads a text; none for any other value, which must not make the whole record unreadable.
fn text_or_none<'de, D: Deserializer<'de>>(value: D) -> Result<Option<Name>, D::Error> {
    let value = serde_json::Value::deserialize(value)?;
    Ok(value.as_str().map(Name::from))
}

/// Key of a node's record.
pub(super) fn node_key(name: &str) -> Name {
    format!("{NODE_PREFIX}{name}").into()
}

/// Key of a job's record.
pub(super) fn job_record_key(job: &str) -> Name {
    format!("{JOB_RECORD_PREFIX}{job}").into()
}

/// Key of a job's failure record.
pub(super) fn failures_key(job: &str) -> Name {
    format!("{FAILURES_PREFIX}{job}").into()
}

/// Key of the record of a request that crashed several replicas.
pub(super) fn crashing_key(fingerprint: u64) -> Name {
    format!("{CRASHING_PREFIX}{fingerprint:016x}").into()
}

/// Key of one part of a job's submission.
pub(super) fn spec_part_key(job: &str, index: usize) -> Name {
    format!("{JOB_DATA_PREFIX}{job}/spec/{index:04}").into()
}

/// Prefix of all parts of a job's submission.
pub(super) fn spec_prefix(job: &str) -> Name {
    format!("{JOB_DATA_PREFIX}{job}/spec/").into()
}

/// Key of the batch of results that begins at a position.
pub(super) fn results_key(job: &str, position: usize) -> Name {
    format!("{JOB_DATA_PREFIX}{job}/results/{position:06}").into()
}

/// Prefix of all results of a job.
pub(super) fn results_prefix(job: &str) -> Name {
    format!("{JOB_DATA_PREFIX}{job}/results/").into()
}

/// Key of one save of unfinished texts; `index` counts the saves of a job.
pub(super) fn texts_key(job: &str, index: usize) -> Name {
    format!("{JOB_DATA_PREFIX}{job}/texts/{index:06}").into()
}

/// Prefix of all saves of unfinished texts of a job.
pub(super) fn texts_prefix(job: &str) -> Name {
    format!("{JOB_DATA_PREFIX}{job}/texts/").into()
}

/// Prefix of all data of a job except its record.
pub(super) fn job_data_prefix(job: &str) -> Name {
    format!("{JOB_DATA_PREFIX}{job}/").into()
}
