//! What is sent to a replica and what comes back.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::BoxStream;
use http::{HeaderMap, Method, StatusCode};
use prometheus_client::encoding::EncodeLabelValue;

use crate::Name;

/// One incarnation of a replica at its address. No other incarnation runs what is sent to it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Target {
    /// The replica's id: a new one at each start, or the same with another time of birth.
    pub id: Name,
    /// When this incarnation started, in milliseconds of the time of day; none where replicas
    /// don't say so and each start has an id of its own.
    pub started_ms: Option<u64>,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A request for a replica.
#[derive(Debug, Clone)]
pub struct ReplicaCall {
    /// The request's id, as its sender chose it.
    pub id: Name,
    /// The method.
    pub method: Method,
    /// Path and query, unchanged.
    pub path: Name,
    /// The host it was sent to.
    pub host: Name,
    /// The organisation that it is made for.
    pub organisation: Option<Name>,
    /// All other headers of the sender that are passed on.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// How long the replica may take.
    pub timeout: Duration,
    /// The last event that is already there: the stream goes on after it.
    pub last_event: Option<u64>,
    /// Rank at the replica, 0 first; the replica's default without.
    pub priority: Option<u8>,
}

/// What a replica says of its load in an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
}

/// The body of an answer, as it comes; an error is a body that broke off.
pub type BodyStream = BoxStream<'static, Result<Bytes, String>>;

/// The head of an answer to this very request, with its open body.
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers that the sender gets.
    pub headers: HeaderMap,
    /// Whether the replica signed the answer.
    pub signature: Option<Name>,
    /// The version of the weights at the first event.
    pub version: Option<u64>,
    /// The replica's load.
    pub load: Option<ReplicaLoad>,
    /// The body.
    pub body: BodyStream,
}

impl std::fmt::Debug for Reply {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Reply").field("status", &self.status).finish_non_exhaustive()
    }
}

/// Why there is no answer of the replica to pass on.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No byte left for the replica.
    #[error("not sent: {0}")]
    Unsent(String),
    /// The replica says that it did not run the request.
    #[error("the replica did not run it: {0}")]
    NotRun(StatusCode),
    /// Another incarnation, or another version of the weights: not run.
    #[error("another replica or version is there")]
    WrongInstance,
    /// It may have run.
    #[error("broke off: {0}")]
    Interrupted(String),
}

impl CallError {
    /// Whether it is certain that the replica did not run the request.
    pub fn not_run(&self) -> bool {
        !matches!(self, Self::Interrupted(_))
    }
}

/// An order to load a version of a model's weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightOrder {
    /// The model.
    pub model: Name,
    /// The version.
    pub version: u64,
    /// Whether runs in progress go on under the new version; else they finish first.
    pub keep_runs: bool,
    /// The machine that gives it.
    pub holder: Name,
    /// The fencing token of the holder's term.
    pub fencing_token: u64,
    /// The number of orders that the replica has accepted: the order counts only then.
    pub accepted_orders: u64,
}

/// The end of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum OrderOutcome {
    /// It is being carried out.
    Accepted,
    /// It holds already.
    Holds,
    /// Another order is in progress, or the number of orders differs.
    Busy,
    /// A later holder has given orders.
    Fenced,
    /// The replica does not take such an order, or is another one.
    Refused,
    /// No answer: it may be carried out, also later.
    Unknown,
}

/// What a replica says of its orders and weights.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// When the incarnation that says this started, where it says so.
    pub started_ms: Option<u64>,
    /// The number of orders that it has accepted.
    pub accepted_orders: u64,
    /// Whether one is in progress.
    pub busy: bool,
    /// Model and version.
    pub versions: Vec<(Name, u64)>,
}

impl ReplicaStatus {
    /// Whether another incarnation than the target says this, as far as both say when they
    /// started.
    pub fn is_other_incarnation(&self, target: &Target) -> bool {
        self.started_ms.zip(target.started_ms).is_some_and(|(said, meant)| said != meant)
    }
}
