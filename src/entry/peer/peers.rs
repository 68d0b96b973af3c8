//! The port to the other entry nodes.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;

use super::messages::{PeerReply, PeerRequest};
use crate::edge::peer::{PeerError, ReplyStart};

/// Sends requests to other entry nodes.
pub trait Peers: std::fmt::Debug + Send + Sync + 'static {
    /// Sends a request to the node at `to` and waits at most `timeout` for the start of its reply,
    /// which is recorded in `start`.
    fn request_with_start(
        &self,
        to: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
        start: ReplyStart,
    ) -> BoxFuture<'static, Result<PeerReply, PeerError>>;

    /// Sends a request to the node at `to` and waits at most `timeout` for the start of its reply.
    fn request(
        &self,
        to: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
    ) -> BoxFuture<'static, Result<PeerReply, PeerError>> {
        self.request_with_start(to, request, timeout, ReplyStart::default())
    }
}
