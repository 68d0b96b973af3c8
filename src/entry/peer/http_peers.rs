//! Sends requests to other entry nodes over HTTP/2.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;

use super::messages::{PeerReply, PeerRequest};
use super::peers::Peers;
use crate::edge::peer::{PeerClient, PeerError, ReplyStart};
use crate::metrics::EntryMetrics;

/// An HTTP/2 client for requests to other entry nodes.
#[derive(Debug, Clone)]
pub struct HttpPeers {
    client: PeerClient<PeerRequest>,
}

impl HttpPeers {
    /// Creates a client that counts its messages and bytes.
    pub fn new(tally: Arc<EntryMetrics>) -> Self {
        let counts = move |request: &PeerRequest| tally.peer_traffic(request.purpose());
        Self { client: PeerClient::new(counts) }
    }
}

impl Peers for HttpPeers {
    fn request_with_start(
        &self,
        to: SocketAddr,
        request: PeerRequest,
        timeout: Duration,
        start: ReplyStart,
    ) -> BoxFuture<'static, Result<PeerReply, PeerError>> {
        let client = self.client.clone();
        Box::pin(async move { client.request_with_start(to, &request, timeout, &start).await })
    }
}
