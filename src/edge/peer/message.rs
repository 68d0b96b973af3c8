//! What nodes say to each other.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::Name;
use crate::bundle::Envelope;
use crate::decide::claim::{Ask, Attempt, ClaimKey, End, Verdict};
use crate::decide::quarantine::News;
use crate::metrics::Purpose;

/// Whether a node takes work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum NodeState {
    /// It is not ready yet.
    Starting,
    /// It serves.
    Serving,
    /// It finishes what it has and takes nothing new.
    Draining,
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

/// A request between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Request {
    /// Who I am; who are you and whom do you know?
    Hello(NodeInfo),
    /// Which bundle is in force at your place?
    Bundle,
    /// A bundle that is later than yours.
    Offer(Envelope),
    /// May I run this call?
    Claim(Ask),
    /// A claimed call ended.
    Ended {
        /// Its key.
        key: ClaimKey,
        /// The attempt.
        nonce: u64,
        /// How.
        end: End,
    },
    /// What became of this attempt of yours?
    Attempt(u64),
    /// News of requests that were in flight at an upstream that crashed.
    Suspects(Vec<News>),
    /// Which suspects do you know?
    Known,
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

impl Request {
    /// What its bytes, and those of its reply, count for.
    pub fn purpose(&self) -> Purpose {
        match self {
            Self::Hello(_) => Purpose::Hello,
            Self::Bundle | Self::Offer(_) => Purpose::Bundle,
            Self::Claim(_) | Self::Ended { .. } | Self::Attempt(_) => Purpose::Claim,
            Self::Suspects(_) | Self::Known | Self::Trial { .. } | Self::TrialOver { .. } => {
                Purpose::Quarantine
            }
        }
    }
}

/// The reply to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The node itself, first, and those that it knows.
    Known(Vec<NodeInfo>),
    /// The bundle in force, if there is one.
    Bundle(Option<Envelope>),
    /// Taken, or not needed.
    Noted,
    /// The answer to a claim.
    Verdict(Verdict),
    /// Whether it is recorded at this node.
    Recorded(bool),
    /// The suspects that are known here.
    Suspects(Vec<News>),
    /// What became of the attempt; none if it is not known here.
    Attempt(Option<Attempt>),
}
