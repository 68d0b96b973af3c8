//! Requests to other nodes over HTTP/2.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;

use super::messages::{PeerReply, PeerRequest};
use super::peers::Peers;
use crate::edge::peer::{PeerClient, PeerError};
use crate::metrics::Tally;

/// The client.
#[derive(Debug, Clone)]
pub struct HttpPeers {
    client: PeerClient<PeerRequest>,
}

impl HttpPeers {
    /// A client whose messages are counted.
    pub fn new(tally: Arc<Tally>) -> Self {
        let counts = move |ask: &PeerRequest| tally.peer(ask.purpose());
        Self { client: PeerClient::new(counts) }
    }
}

impl Peers for HttpPeers {
    fn ask(
        &self,
        to: SocketAddr,
        ask: PeerRequest,
        limit: Duration,
    ) -> BoxFuture<'static, Result<PeerReply, PeerError>> {
        let client = self.client.clone();
        Box::pin(async move { client.ask(to, &ask, limit).await })
    }
}
