//! Requests and orders to a replica, and its replies.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::BoxStream;
use http::{HeaderMap, Method, StatusCode};
use prometheus_client::encoding::EncodeLabelValue;

use crate::Name;

/// One incarnation of a replica, with its address. No other incarnation runs a request sent to it.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub struct Target {
    /// The replica's id. It is new at each start, or stays the same with another `started_ms`.
    pub id: Name,
    /// When this incarnation started, in milliseconds since the Unix epoch. None where replicas
    /// don't report it and each start has an id of its own.
    pub started_ms: Option<u64>,
    /// The address that it listens on.
    pub address: SocketAddr,
}

/// A request to a replica.
#[derive(Debug, Clone)]
pub struct ReplicaCall {
    /// The id of the request, which the client chose.
    pub id: Name,
    /// The HTTP method.
    pub method: Method,
    /// The path and query, unchanged.
    pub path: Name,
    /// The host that the client sent the request to.
    pub host: Name,
    /// The organisation that the request belongs to.
    pub organisation: Option<Name>,
    /// The other headers of the client that are forwarded.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// How long the replica may take to answer.
    pub timeout: Duration,
    /// The number of the last event already received. The stream resumes after it.
    pub last_event: Option<u64>,
    /// The priority at the replica, 0 being the highest. None leaves it to the replica's default.
    pub priority: Option<u8>,
}

/// The load that a replica reports in a response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReplicaLoad {
    /// The number of running requests.
    pub running: u32,
    /// The number of waiting requests.
    pub waiting: u32,
    /// How long work takes on the replica's machine at this moment, in percent of the usual time.
    /// None if the replica does not report it.
    pub slowdown: Option<u32>,
}

/// The body of a response in pieces, as they arrive. An error means that the body was cut off.
pub type BodyStream = BoxStream<'static, Result<Bytes, String>>;

/// The head of the response to a request, with the body still to be read.
pub struct Reply {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers for the client.
    pub headers: HeaderMap,
    /// The replica's signature, if it signed the response.
    pub signature: Option<Name>,
    /// The version of the weights at the first event.
    pub version: Option<u64>,
    /// The replica's load, if it reports it.
    pub load: Option<ReplicaLoad>,
    /// The response body.
    pub body: BodyStream,
}

impl std::fmt::Debug for Reply {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Reply").field("status", &self.status).finish_non_exhaustive()
    }
}

/// Why there is no response of the replica to forward.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CallError {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    Unsent(String),
    /// The replica reports that it did not run the request.
    #[error("the replica did not run the request: {0}")]
    NotRun(StatusCode),
    /// Another incarnation, or one with another version of the weights, is at the address. It did
    /// not run the request.
    #[error("the address belongs to another replica or weight version")]
    WrongInstance,
    /// The connection or the response failed, and the request may have run.
    #[error("the call was interrupted: {0}")]
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
    /// Whether requests in progress continue under the new version. Otherwise they finish before
    /// the weights are loaded.
    pub keep_runs: bool,
    /// The name of the leader that sends the order.
    pub leader: Name,
    /// The fencing token of the leader's term.
    pub fencing_token: u64,
    /// The number of orders that the replica must have accepted so far for this one to be valid.
    pub accepted_orders: u64,
}

/// The outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum OrderOutcome {
    /// The replica is carrying out the order.
    Accepted,
    /// The replica already has this version.
    Holds,
    /// Another order is in progress, or the number of accepted orders differs.
    Busy,
    /// A leader of a later term has sent orders.
    Fenced,
    /// The replica does not accept such an order, or is another one.
    Refused,
    /// No answer: the replica may carry out the order, now or later.
    Unknown,
}

/// The orders and weights that a replica reports.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// When the reporting incarnation started, in milliseconds since the Unix epoch, if it reports
    /// that.
    pub started_ms: Option<u64>,
    /// The number of orders that the replica has accepted.
    pub accepted_orders: u64,
    /// Whether an order is in progress.
    pub busy: bool,
    /// The loaded models with the version of each.
    pub versions: Vec<(Name, u64)>,
}

impl ReplicaStatus {
    /// Whether the report is of another incarnation than the target. False where either start time
    /// is unknown.
    pub fn is_other_incarnation(&self, target: &Target) -> bool {
        self.started_ms
            .zip(target.started_ms)
            .is_some_and(|(reported, expected)| reported != expected)
    }
}
