//! The port.

use std::net::SocketAddr;
use std::time::Duration;

use futures_util::future::BoxFuture;

use super::messages::{PeerReply, PeerRequest};
use crate::edge::peer::PeerError;

/// The other nodes.
pub trait Peers: std::fmt::Debug + Send + Sync + 'static {
    /// Asks one of them.
    fn ask(
        &self,
        to: SocketAddr,
        ask: PeerRequest,
        limit: Duration,
    ) -> BoxFuture<'static, Result<PeerReply, PeerError>>;
}
