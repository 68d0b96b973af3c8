//! The messages between nodes.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::Name;
use crate::bundle::Envelope;
use crate::decide::Departure;
use crate::decide::claim::{AttemptState, ClaimDecision, ClaimKey, ClaimOutcome, ClaimRequest};
use crate::decide::members::{Gossip, MemberRecord, NodeState};
use crate::decide::quarantine::CrashNotice;
use crate::metrics::ControlPurpose;

/// A request type of the peer protocol.
pub trait PeerMessage: Serialize + DeserializeOwned + Send + Sync + 'static {
    /// The type of the reply.
    type Reply: Serialize + DeserializeOwned + Send;
}

impl PeerMessage for NodeRequest {
    type Reply = NodeReply;
}

/// What a node reports about itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeInfo {
    /// The name of the node.
    pub name: Name,
    /// The region of the node.
    pub region: Name,
    /// The availability zone of the node.
    pub zone: Name,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for peers.
    pub peers: SocketAddr,
    /// A number that grows each time the node starts: the milliseconds since the Unix epoch at its
    /// start.
    pub incarnation: u64,
    /// Whether the node accepts work.
    pub state: NodeState,
    /// The number of the node's active bundle, 0 for none.
    pub bundle: u64,
}

/// The location and the addresses of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NodeLocation {
    /// The region of the node.
    pub region: Name,
    /// The availability zone of the node.
    pub zone: Name,
    /// The address for callers.
    pub callers: SocketAddr,
    /// The address for peers.
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
    fn from(record: &MemberRecord<NodeLocation>) -> Self {
        let NodeLocation { region, zone, callers, peers } = &record.contact;
        Self {
            name: record.name.clone(),
            region: region.clone(),
            zone: zone.clone(),
            callers: *callers,
            peers: *peers,
            incarnation: record.incarnation,
            state: record.state,
            bundle: record.bundle,
        }
    }
}

/// A request between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeRequest {
    /// Exchanges member records.
    Gossip(Gossip<NodeLocation>),
    /// Lists the known nodes in pages, from a node that starts. The page begins after this name.
    Join(Option<Name>),
    /// Requests the active bundle.
    Bundle,
    /// Sends a bundle that is newer than the receiver's.
    Offer(Envelope),
    /// Reports upstream VMs that are about to be removed.
    Departures(Vec<Departure>),
    /// Claims a call, to run it.
    Claim(ClaimRequest),
    /// Reports that a claimed call has ended.
    CallEnded {
        /// The key of the call.
        key: ClaimKey,
        /// The nonce of the attempt.
        nonce: u64,
        /// How the call ended.
        outcome: ClaimOutcome,
    },
    /// Requests the state of an attempt of the receiver, by its nonce.
    Attempt(u64),
    /// Reports requests that were in flight at an upstream that crashed, or that have since been
    /// cleared.
    Suspects(Vec<CrashNotice>),
    /// Requests the suspect requests that the receiver knows.
    ListSuspects,
    /// Asks for the trial lock of an upstream, for which the receiver is the owner, to run a
    /// suspect request there.
    Trial {
        /// The name of the upstream.
        upstream: Name,
        /// A random number that identifies the trial.
        trial_id: u64,
    },
    /// Releases the trial lock.
    TrialOver {
        /// The name of the upstream.
        upstream: Name,
        /// The number that identifies the trial.
        trial_id: u64,
    },
}

impl NodeRequest {
    /// The purpose that the bytes of the request and its reply are counted for.
    pub fn purpose(&self) -> ControlPurpose {
        match self {
            Self::Gossip(_) | Self::Join(_) | Self::Departures(_) => ControlPurpose::Hello,
            Self::Bundle | Self::Offer(_) => ControlPurpose::Bundle,
            Self::Claim(_) | Self::CallEnded { .. } | Self::Attempt(_) => ControlPurpose::Claim,
            Self::Suspects(_)
            | Self::ListSuspects
            | Self::Trial { .. }
            | Self::TrialOver { .. } => ControlPurpose::Quarantine,
        }
    }
}

/// The reply to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum NodeReply {
    /// The member records of the replying node.
    Gossip(Gossip<NodeLocation>),
    /// A page of the known nodes. Empty after the last page.
    Nodes(Vec<MemberRecord<NodeLocation>>),
    /// The active bundle, if there is one.
    Bundle(Option<Envelope>),
    /// The request was received.
    Acknowledged,
    /// The decision on a claim.
    Decision(ClaimDecision),
    /// Whether the replying node has recorded the request.
    Recorded(bool),
    /// The suspect requests that the replying node knows.
    Suspects(Vec<CrashNotice>),
    /// The state of the attempt. None if the replying node does not know it.
    Attempt(Option<AttemptState>),
}
