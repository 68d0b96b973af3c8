//! Requests to other nodes over HTTP/2.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::BoxFuture;

use super::message::{PeerAsk, PeerReply};
use super::port::Peers;
use crate::edge::peer::{PeerClient, PeerError};
use crate::metrics::Tally;

/// The client.
#[derive(Debug, Clone)]
pub struct PeerLine {
    client: PeerClient<PeerAsk>,
}

impl PeerLine {
    /// A client whose messages are counted.
    pub fn new(tally: Arc<Tally>) -> Self {
        let counts = move |ask: &PeerAsk| tally.peer(ask.purpose());
        Self { client: PeerClient::new(counts) }
    }
}

impl Peers for PeerLine {
    fn ask(
        &self,
        to: SocketAddr,
        ask: PeerAsk,
        limit: Duration,
    ) -> BoxFuture<'static, Result<PeerReply, PeerError>> {
        let client = self.client.clone();
        Box::pin(async move { client.request(to, &ask, limit).await })
    }
}
