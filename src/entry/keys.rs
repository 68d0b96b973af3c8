//! The keys of this service in the store, and their values.
//!
//! What every node has to know lies under one prefix, so that one watch follows all of it,
//! and it changes only when nodes come and go. What concerns one job lies apart: only its
//! home follows it, as each change would cost a call of every node otherwise.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::metrics::StoreUse;

/// Nodes and the holder of orders: followed by every node.
pub(super) const MEMBERSHIP_PREFIX: &str = "mulberry/live/";
/// The holder of orders.
pub(super) const LEADER_KEY: &str = "mulberry/live/holder";

/// The last usage report that is fixed.
pub(super) const USAGE_KEY: &str = "mulberry/usage";

/// What is ordered of each service.
pub(super) const SCALE_KEY: &str = "mulberry/scale";

const NODE_PREFIX: &str = "mulberry/live/node/";
/// Where each job is.
pub(super) const JOB_RECORD_PREFIX: &str = "mulberry/home/";
const JOB_DATA_PREFIX: &str = "mulberry/job/";

/// A node that is alive; under the node's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct NodeRecord {
    /// The incarnation of its process.
    #[serde(rename = "life")]
    pub incarnation: Name,
    /// Where clients connect; none where nobody does.
    pub callers: Option<SocketAddr>,
    /// Where other nodes connect; none where nobody does.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
}

/// Where a job is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct JobRecord {
    /// The incarnation of the process that runs it.
    #[serde(rename = "life")]
    pub incarnation: Name,
    /// The number of its samples.
    #[serde(rename = "total")]
    pub sample_count: usize,
    /// How many values its submission lies in.
    #[serde(rename = "parts")]
    pub part_count: usize,
    /// Nothing more is to be done: every sample is listed, or its trainer ended it.
    pub done: bool,
    /// Its trainer ended it.
    pub ended: bool,
    /// When it was accepted, in milliseconds of the time of day.
    #[serde(rename = "since")]
    pub accepted_ms: u64,
}

/// Who gives orders; under that node's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct LeaderRecord {
    /// The incarnation of its process.
    #[serde(rename = "life")]
    pub incarnation: Name,
}

/// What a key under [`MEMBERSHIP_PREFIX`] is about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum MembershipKey<'a> {
    Node(&'a str),
    Leader,
}

pub(super) fn parse_membership_key(key: &str) -> Option<MembershipKey<'_>> {
    if key == LEADER_KEY {
        return Some(MembershipKey::Leader);
    }
    key.strip_prefix(NODE_PREFIX).map(MembershipKey::Node)
}

/// What a key or prefix of this service is about.
pub(super) fn key_use(key: &str) -> StoreUse {
    if let Some(live) = parse_membership_key(key) {
        return match live {
            MembershipKey::Node(_) => StoreUse::Nodes,
            MembershipKey::Leader => StoreUse::Holder,
        };
    }
    match key {
        USAGE_KEY => return StoreUse::Usage,
        SCALE_KEY => return StoreUse::Scale,
        _ => {}
    }
    if key.starts_with(JOB_RECORD_PREFIX) {
        return StoreUse::Homes;
    }
    let Some(part) = key.strip_prefix(JOB_DATA_PREFIX).and_then(|rest| rest.split('/').nth(1))
    else {
        return StoreUse::Other;
    };
    match part {
        "spec" => StoreUse::Submissions,
        "results" => StoreUse::Results,
        "texts" => StoreUse::Texts,
        _ => StoreUse::Other,
    }
}

pub(super) fn node_key(name: &str) -> Name {
    format!("{NODE_PREFIX}{name}").into()
}

pub(super) fn job_record_key(job: &str) -> Name {
    format!("{JOB_RECORD_PREFIX}{job}").into()
}

/// One part of a submission.
pub(super) fn spec_part_key(job: &str, index: usize) -> Name {
    format!("{JOB_DATA_PREFIX}{job}/spec/{index:04}").into()
}

/// The prefix of all parts of a submission.
pub(super) fn spec_prefix(job: &str) -> Name {
    format!("{JOB_DATA_PREFIX}{job}/spec/").into()
}

/// The results that begin at a position.
pub(super) fn results_key(job: &str, position: usize) -> Name {
    format!("{JOB_DATA_PREFIX}{job}/results/{position:06}").into()
}

/// The prefix of all results.
pub(super) fn results_prefix(job: &str) -> Name {
    format!("{JOB_DATA_PREFIX}{job}/results/").into()
}

/// A write of unfinished texts.
pub(super) fn texts_key(job: &str, index: usize) -> Name {
    format!("{JOB_DATA_PREFIX}{job}/texts/{index:06}").into()
}

/// The prefix of all of these.
pub(super) fn texts_prefix(job: &str) -> Name {
    format!("{JOB_DATA_PREFIX}{job}/texts/").into()
}

/// The prefix of all that a job is made of, its home's key aside.
pub(super) fn job_data_prefix(job: &str) -> Name {
    format!("{JOB_DATA_PREFIX}{job}/").into()
}
