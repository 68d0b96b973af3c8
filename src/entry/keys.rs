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
pub(super) const LIVE: &str = "mulberry/live/";
/// The holder of orders.
pub(super) const HOLDER: &str = "mulberry/live/holder";

/// The last usage report that is fixed.
pub(super) const USAGE: &str = "mulberry/usage";

/// What is ordered of each service.
pub(super) const SCALE: &str = "mulberry/scale";

const NODES: &str = "mulberry/live/node/";
/// Where each job is.
pub(super) const HOMES: &str = "mulberry/home/";
const JOBS: &str = "mulberry/job/";

/// A node that is alive; under the node's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct NodeValue {
    /// The incarnation of its process.
    pub life: Name,
    /// Where clients connect; none where nobody does.
    pub callers: Option<SocketAddr>,
    /// Where other nodes connect; none where nobody does.
    #[serde(default)]
    pub peers: Option<SocketAddr>,
}

/// Where a job is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct HomeValue {
    /// The incarnation of the process that runs it.
    pub life: Name,
    /// The number of its samples.
    pub total: usize,
    /// How many values its submission lies in.
    pub parts: usize,
    /// Nothing more is to be done: every sample is listed, or its trainer ended it.
    pub done: bool,
    /// Its trainer ended it.
    pub ended: bool,
    /// When it was accepted, in milliseconds of the time of day.
    pub since: u64,
}

/// Who gives orders; under that node's lease.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct HolderValue {
    /// The incarnation of its process.
    pub life: Name,
}

/// What a key under [`LIVE`] is about.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum LiveKey<'a> {
    Node(&'a str),
    Holder,
}

pub(super) fn live_key(key: &str) -> Option<LiveKey<'_>> {
    if key == HOLDER {
        return Some(LiveKey::Holder);
    }
    key.strip_prefix(NODES).map(LiveKey::Node)
}

/// What a key or prefix of this service is about.
pub(super) fn own_use(key: &str) -> StoreUse {
    if let Some(live) = live_key(key) {
        return match live {
            LiveKey::Node(_) => StoreUse::Nodes,
            LiveKey::Holder => StoreUse::Holder,
        };
    }
    match key {
        USAGE => return StoreUse::Usage,
        SCALE => return StoreUse::Scale,
        _ => {}
    }
    if key.starts_with(HOMES) {
        return StoreUse::Homes;
    }
    let Some(part) = key.strip_prefix(JOBS).and_then(|rest| rest.split('/').nth(1)) else {
        return StoreUse::Other;
    };
    match part {
        "spec" => StoreUse::Submissions,
        "results" => StoreUse::Results,
        "texts" => StoreUse::Texts,
        _ => StoreUse::Other,
    }
}

pub(super) fn node(name: &str) -> Name {
    format!("{NODES}{name}").into()
}

pub(super) fn home(job: &str) -> Name {
    format!("{HOMES}{job}").into()
}

/// One part of a submission.
pub(super) fn part(job: &str, index: usize) -> Name {
    format!("{JOBS}{job}/spec/{index:04}").into()
}

/// The prefix of all parts of a submission.
pub(super) fn parts(job: &str) -> Name {
    format!("{JOBS}{job}/spec/").into()
}

/// The results that begin at a position.
pub(super) fn results(job: &str, position: usize) -> Name {
    format!("{JOBS}{job}/results/{position:06}").into()
}

/// The prefix of all results.
pub(super) fn all_results(job: &str) -> Name {
    format!("{JOBS}{job}/results/").into()
}

/// A write of unfinished texts.
pub(super) fn texts(job: &str, index: usize) -> Name {
    format!("{JOBS}{job}/texts/{index:06}").into()
}

/// The prefix of all of these.
pub(super) fn all_texts(job: &str) -> Name {
    format!("{JOBS}{job}/texts/").into()
}

/// The prefix of all that a job is made of, its home's key aside.
pub(super) fn whole_job(job: &str) -> Name {
    format!("{JOBS}{job}/").into()
}
