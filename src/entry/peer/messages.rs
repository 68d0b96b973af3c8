//! What nodes say to each other.

use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::Name;
use crate::decide::job::JobSpec;
use crate::decide::usage::WindowNote;
use crate::edge::peer::Message;
use crate::edge::store::{Item, Page, StoreError, Txn, TxnEnd, Watched};
use crate::entry::follow::FeedUpdate;
use crate::entry::read::Read;
use crate::entry::submit::Submitted;
use crate::metrics::PeerUse;

/// A request to another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerRequest {
    /// Be home to this job.
    Submit(JobSpec),
    /// Say whether you have this job.
    OwnsJob(Name),
    /// The body of a sample of a job that you have.
    Body {
        /// The job.
        job: Name,
        /// The sample.
        item: Name,
    },
    /// The results of a job that you have.
    Read {
        /// The job.
        job: Name,
        /// From this position on.
        after: usize,
        /// How long to wait for one.
        wait: Duration,
    },
    /// All of what you believe.
    Snapshot {
        /// Of what.
        followed: FeedTopic,
        /// How long to wait for it, where nothing is known yet.
        wait: Duration,
    },
    /// Changes that you have watched.
    Follow {
        /// Of what.
        followed: FeedTopic,
        /// After this revision.
        after: u64,
        /// How long to wait for one.
        wait: Duration,
    },
    /// Say what the steps of each model bring at you.
    Demand,
    /// Call the store for me.
    Store(StoreRequest),
    /// What you should know of the requests that have begun at me.
    Usage {
        /// The incarnation of the node that counted the requests.
        incarnation: Name,
        /// The time of day there.
        time: Duration,
        /// Its counts.
        notes: Vec<WindowNote>,
    },
    /// The store answers again.
    StoreRecovered,
}

/// What one node may follow at another.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedTopic {
    /// The configuration.
    Routes,
    /// The list of replicas.
    Replicas,
    /// Nodes and the holder of orders.
    Nodes,
}

/// A call to the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreRequest {
    /// A key.
    Get(Name),
    /// All keys under a prefix.
    Range(Name),
    /// Changes under a prefix after a revision.
    Watch {
        /// The prefix.
        prefix: Name,
        /// The revision.
        after: u64,
        /// How long to wait for one.
        wait: Duration,
    },
    /// A write.
    Txn(Txn),
    /// A new lease.
    Grant(Duration),
    /// The renewal of a lease.
    Keep(u64),
    /// The end of a lease.
    End(u64),
}

/// The answer of another node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerReply {
    /// What became of a submission.
    Submitted(Submitted),
    /// The results; none where this node is not surely home.
    Read(Option<Read>),
    /// Whether this node is surely home to it, or has all of it.
    Found(bool),
    /// The body; none where this node does not have it.
    Body(Option<Bytes>),
    /// What was heard; none where this node can't say.
    Followed(Option<FeedUpdate>),
    /// What the steps of each model bring.
    Demand {
        /// The work of one step, by model.
        steps: Vec<(Name, u64)>,
        /// The incarnation that says so.
        life: Name,
        /// How long its samples have wanted places, by service, in place milliseconds.
        wanted: Vec<(Name, u64)>,
    },
    /// What the store said.
    Store(Result<StoreReply, StoreError>),
    /// The counts were heard.
    UsageNoted {
        /// The incarnation that heard them.
        life: Name,
        /// The time of day there.
        time: Duration,
    },
    /// It was heard.
    Noted,
}

/// The answer of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum StoreReply {
    /// To `Get`.
    Item(Option<Item>),
    /// To `Range`.
    Page(Page),
    /// To `Watch`.
    Watched(Watched),
    /// To `Txn`.
    Txn(TxnEnd),
    /// To `Grant`.
    Lease(u64),
    /// To `Keep`.
    Kept(bool),
    /// To `End`.
    Ended,
}

impl Message for PeerRequest {
    type Reply = PeerReply;
}

impl PeerRequest {
    /// What its bytes, and those of its reply, count for.
    pub fn purpose(&self) -> PeerUse {
        match self {
            Self::Submit(_) => PeerUse::Submit,
            Self::OwnsJob(_) | Self::Body { .. } | Self::Read { .. } => PeerUse::Read,
            Self::Snapshot { .. } | Self::Follow { .. } | Self::Demand => PeerUse::Follow,
            Self::Store(_) | Self::StoreRecovered => PeerUse::Store,
            Self::Usage { .. } => PeerUse::Usage,
        }
    }
}
