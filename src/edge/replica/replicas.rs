//! The interface for sending requests and orders to replicas.

use std::time::Duration;

use futures_util::future::BoxFuture;

use super::{CallError, OrderOutcome, ReplicaCall, ReplicaStatus, Reply, Target, WeightOrder};
use crate::Name;
use crate::edge::upstream::ProbeResult;

/// The client of the replicas. Dropping a future or a response body cancels the request at the
/// replica.
pub trait Replicas: std::fmt::Debug + Send + Sync + 'static {
    /// The name of the event field that holds the version of the weights from that event on.
    fn version_field(&self) -> &'static str;
    /// Returns the most tokens that a text may have, by the headers of its request. None if they don't
    /// say.
    fn max_tokens(&self, headers: &[(Name, Name)]) -> Option<u64>;
    /// Sends a request and waits for the head of its response.
    fn send(&self, to: &Target, call: ReplicaCall) -> BoxFuture<'static, Result<Reply, CallError>>;
    /// Checks whether a replica's process runs, after a connection to it broke.
    fn probe(&self, to: &Target) -> BoxFuture<'static, ProbeResult>;
    /// Reads a replica's status.
    fn status(
        &self,
        to: &Target,
        timeout: Duration,
    ) -> BoxFuture<'static, Result<ReplicaStatus, CallError>>;
    /// Sends an order to load weights.
    fn order(
        &self,
        to: &Target,
        order: WeightOrder,
        timeout: Duration,
    ) -> BoxFuture<'static, OrderOutcome>;
}
