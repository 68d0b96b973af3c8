//! The port to the other entry nodes.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;

use super::messages::{PeerReply, PeerRequest};
use crate::edge::peer::PeerError;

/// Sends requests to other entry nodes.
pub trait Peers: std::fmt::Debug + Send + Sync + 'static {
    /// Sends a request to the node at `to` and waits at most `timeout` for its reply.
    fn request(
        &self,
        to: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> BoxFuture<'static, Result<PeerReply, PeerError>>;
}
