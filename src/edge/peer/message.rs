//! What nodes say to each other.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::Name;
use crate::bundle::Envelope;
use crate::decide::Departure;
use crate::decide::claim::{AttemptState, ClaimDecision, ClaimKey, ClaimOutcome, ClaimRequest};
use crate::decide::members::{Gossip, MemberRecord, NodeState};
use crate::decide::quarantine::CrashNotice;
use crate::metrics::Purpose;

/// A request between nodes.
pub trait PeerMessage: Serialize + DeserializeOwned + Send + Sync + 'static {
    /// What answers it.
    type Reply: Serialize + DeserializeOwned + Send;
}

impl PeerMessage for NodeRequest {
    type Reply = NodeReply;
}

/// What a node says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// Its name.
    pub name: Name,
    /// Its region.
    pub region: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where peers connect.
    pub peers: SocketAddr,
    /// Grows each time that the node starts: milliseconds since 1970 at its start.
    pub incarnation: u64,
    /// Whether it takes work.
    pub state: NodeState,
    /// Number of the bundle in force there, 0 for none.
    pub bundle: u64,
}

/// Where a node is and how it is reached.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeLocation {
    /// Its region.
    pub region: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where peers connect.
    pub peers: SocketAddr,
}

impl From<&NodeInfo> for MemberRecord<NodeLocation> {
    fn from(info: &NodeInfo) -> Self {
        let NodeInfo { name, region, zone, callers, peers, incarnation, state, bundle } = info;
        Self {
            name: name.clone(),
            incarnation: *incarnation,
            state: *state,
            heartbeat: 0,
            bundle: *bundle,
            suspected: false,
            contact: NodeLocation {
                region: region.clone(),
                zone: zone.clone(),
                callers: *callers,
                peers: *peers,
            },
        }
    }
}

impl From<&MemberRecord<NodeLocation>> for NodeInfo {
    fn from(news: &MemberRecord<NodeLocation>) -> Self {
        let NodeLocation { region, zone, callers, peers } = &news.contact;
        Self {
            name: news.name.clone(),
            region: region.clone(),
            zone: zone.clone(),
            callers: *callers,
            peers: *peers,
            incarnation: news.incarnation,
            state: news.state,
            bundle: news.bundle,
        }
    }
}

/// A request between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeRequest {
    /// What I know; what do you know?
    Gossip(Gossip<NodeLocation>),
    /// I am new: which nodes do you know, after this name?
    Join(Option<Name>),
    /// Which bundle is in force at your place?
    Bundle,
    /// A bundle that is later than yours.
    Offer(Envelope),
    /// Upstream VMs that leave.
    Departures(Vec<Departure>),
    /// May I run this call?
    Claim(ClaimRequest),
    /// A claimed call ended.
    CallEnded {
        /// Its key.
        key: ClaimKey,
        /// The attempt.
        nonce: u64,
        /// How.
        outcome: ClaimOutcome,
    },
    /// What became of this attempt of yours?
    Attempt(u64),
    /// News of requests that were in flight at an upstream that crashed.
    Suspects(Vec<CrashNotice>),
    /// Which suspects do you know?
    ListSuspects,
    /// May I run a suspect at this upstream, which you are home to?
    Trial {
        /// The upstream.
        upstream: Name,
        /// Random, for this trial alone.
        holder: u64,
    },
    /// The trial is over.
    TrialOver {
        /// The upstream.
        upstream: Name,
        /// As before.
        holder: u64,
    },
}

impl NodeRequest {
    /// What its bytes, and those of its reply, count for.
    pub fn purpose(&self) -> Purpose {
        match self {
            Self::Gossip(_) | Self::Join(_) | Self::Departures(_) => Purpose::Hello,
            Self::Bundle | Self::Offer(_) => Purpose::Bundle,
            Self::Claim(_) | Self::CallEnded { .. } | Self::Attempt(_) => Purpose::Claim,
            Self::Suspects(_)
            | Self::ListSuspects
            | Self::Trial { .. }
            | Self::TrialOver { .. } => Purpose::Quarantine,
        }
    }
}

/// The reply to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeReply {
    /// What the other knows.
    Gossip(Gossip<NodeLocation>),
    /// A page of the nodes that it knows; empty after the last.
    Nodes(Vec<MemberRecord<NodeLocation>>),
    /// The bundle in force, if there is one.
    Bundle(Option<Envelope>),
    /// Taken, or not needed.
    Acknowledged,
    /// The answer to a claim.
    Verdict(ClaimDecision),
    /// Whether it is recorded at this node.
    Recorded(bool),
    /// The suspects that are known here.
    Suspects(Vec<CrashNotice>),
    /// What became of the attempt; none if it is not known here.
    Attempt(Option<AttemptState>),
}
