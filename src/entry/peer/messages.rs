//! The messages that entry nodes exchange. They are encoded by position, so the order of variants
//! and fields is part of the protocol.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::Name;
use crate::decide::StepDemand;
use crate::decide::job::JobSpec;
use crate::decide::load::{ShareOrder, TrainerDemand};
use crate::decide::quarantine::CrashNotice;
use crate::decide::usage::WindowNote;
use crate::edge::peer::PeerMessage;
use crate::edge::store::{KeyValue, RangeResult, StoreError, Txn, TxnOutcome, WatchBatch};
use crate::entry::follow::FeedReply;
use crate::entry::read::ReadResult;
use crate::entry::submit::SubmitResult;
use crate::metrics::PeerPurpose;

/// A request to another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Own this job: accept it and run it.
    Submit(JobSpec),
    /// Ask whether the node owns a job, or has all results of it.
    OwnsJob(Name),
    /// Read the request body of a sample of a job that the node has.
    Body {
        /// The id of the job.
        job: Name,
        /// The id of the sample.
        item: Name,
    },
    /// Read results of a job that the node has.
    Read {
        /// The id of the job.
        job: Name,
        /// The position of the first result to return.
        after: usize,
        /// How long to wait for a result.
        wait: Duration,
    },
    /// Read a snapshot of a feed.
    Snapshot {
        /// The feed.
        topic: FeedTopic,
        /// How long to wait for the first snapshot if the node has none yet.
        wait: Duration,
        /// The most keys that the sender takes from this node. None for any number.
        max_keys: Option<usize>,
    },
    /// Read the changes of a feed that the node has watched in the store.
    Follow {
        /// The feed.
        topic: FeedTopic,
        /// The revision after which changes are returned.
        after: u64,
        /// How long to wait for a change.
        wait: Duration,
    },
    /// Read the demand of the training steps and samples on the node, which applies the shares of
    /// slots that the leader computed. None before the first of its term.
    Demand(Option<ShareOrder>),
    /// Make a call to the store for the sender.
    Store(StoreRequest),
    /// Share the counts of requests that the sender has made.
    Usage {
        /// The incarnation of the node that counted the requests.
        incarnation: Name,
        /// The time of day there, since the Unix epoch.
        time: Duration,
        /// Its counts by window.
        notes: Vec<WindowNote>,
    },
    /// Tell the node that the store answers again after an outage.
    StoreRecovered {
        /// The nodes that it tells in turn.
        rest: Vec<SocketAddr>,
        /// Identifies the announcement of the node that reached the store first.
        id: u64,
    },
    /// Tell the node of requests that crashed replicas.
    Crashes(Vec<CrashNotice>),
    /// Tell the node of one more run of a request that crashed several replicas, and ask what it
    /// knows of the request.
    Rerun {
        /// Hash of the service and the content.
        fingerprint: u64,
        /// What the sender knows, with the run.
        notices: Vec<CrashNotice>,
    },
}

/// A topic that one node may follow on another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedTopic {
    /// The configuration.
    Routes,
    /// The list of replicas.
    Replicas,
    /// The nodes and the leader.
    Nodes,
}

/// A call to the store that another node makes for the sender.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// Read a key.
    Get(Name),
    /// Read all keys under a prefix.
    Range(Name),
    /// Wait for changes under a prefix after a revision.
    Watch {
        /// The prefix.
        prefix: Name,
        /// The revision after which changes are returned.
        after: u64,
        /// How long to wait for a change.
        wait: Duration,
    },
    /// Run a transaction.
    Txn(Txn),
    /// Grant a lease with this time to live.
    Grant(Duration),
    /// Renew a lease.
    Renew(u64),
    /// Revoke a lease.
    Revoke(u64),
}

/// The reply of a node to a [`PeerRequest`]. The names of its variants and fields appear in log
/// lines.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// What became of a submission.
    Submitted(SubmitResult),
    /// The results. None if the node may not be the owner of the job any more.
    Read(Option<ReadResult>),
    /// Whether the node is certain to own the job, or has all results of it.
    Found(bool),
    /// The body. None if the node does not have it.
    Body(Option<Bytes>),
    /// The snapshot or the changes. None if the node has none.
    Followed(Option<FeedReply>),
    /// The demand on the node.
    Demand {
        /// The demand of one step, by model.
        steps: Vec<(Name, StepDemand)>,
        /// The incarnation of the node that replies.
        life: Name,
        /// How long its samples have waited for slots or held them, by service, in
        /// slot-milliseconds.
        wanted: Vec<(Name, u64)>,
        /// The samples of each trainer there.
        trainers: Vec<TrainerDemand>,
    },
    /// The reply of the store.
    Store(Result<StoreReply, StoreError>),
    /// Usage counts were recorded.
    UsageNoted {
        /// The incarnation of the node that recorded them.
        life: Name,
        /// The time of day there, since the Unix epoch.
        time: Duration,
    },
    /// The message was received.
    Noted,
    /// Replies to `Snapshot`: the feed has more keys than the sender takes.
    TooLarge,
    /// Replies to `Follow`: the sender needs a snapshot, and the node is sending others.
    Busy,
    /// Replies to `Rerun`: what the node knows of the request.
    Reruns(Vec<CrashNotice>),
}

/// The reply of the store to a [`StoreRequest`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// Replies to `Get`: the key, if it exists.
    KeyValue(Option<KeyValue>),
    /// Replies to `Range`.
    Range(RangeResult),
    /// Replies to `Watch`.
    Watch(WatchBatch),
    /// Replies to `Txn`.
    Txn(TxnOutcome),
    /// Replies to `Grant`: the lease id.
    Granted(u64),
    /// Replies to `Renew`: whether the lease still exists.
    Renewed(bool),
    /// Replies to `Revoke`.
    Revoked,
}

impl PeerMessage for PeerRequest {
    type Reply = PeerReply;
}

impl PeerRequest {
    /// Returns the purpose under which the bytes of the request and of its reply are counted.
    pub fn purpose(&self) -> PeerPurpose {
        match self {
            Self::Submit(_) => PeerPurpose::Submit,
            Self::OwnsJob(_) | Self::Body { .. } | Self::Read { .. } => PeerPurpose::Read,
            Self::Snapshot { .. } | Self::Follow { .. } | Self::Demand(_) => PeerPurpose::Follow,
            Self::Store(_) | Self::StoreRecovered { .. } => PeerPurpose::Store,
            Self::Usage { .. } => PeerPurpose::Usage,
            Self::Crashes(_) | Self::Rerun { .. } => PeerPurpose::Quarantine,
        }
    }
}
