//! The port.

use std::time::Duration;

use futures_util::future::BoxFuture;

use super::{CallError, OrderOutcome, ReplicaCall, ReplicaStatus, Reply, Target, WeightOrder};

/// The replicas. Dropping a future or a body ends the request at the replica.
pub trait Replicas: std::fmt::Debug + Send + Sync + 'static {
    /// The field of an event that names the version of the weights from there on.
    fn version_field(&self) -> &'static str;
    /// Sends a request and waits for the head of its answer.
    fn send(&self, to: &Target, call: ReplicaCall) -> BoxFuture<'static, Result<Reply, CallError>>;
    /// Asks a replica what it stands at.
    fn status(
        &self,
        to: &Target,
        limit: Duration,
    ) -> BoxFuture<'static, Result<ReplicaStatus, CallError>>;
    /// Gives an order.
    fn order(
        &self,
        to: &Target,
        order: WeightOrder,
        limit: Duration,
    ) -> BoxFuture<'static, OrderOutcome>;
}
