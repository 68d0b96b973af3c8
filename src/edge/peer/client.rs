//! Requests to other nodes, over one connection to each.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use h2::client::SendRequest;
use http::StatusCode;
use parking_lot::Mutex;
use tokio::net::TcpStream;
use tokio::time::Instant;

use super::codec::{CodecError, PROTOCOL_VERSION, pack, unpack};
use super::server::{VERSION_HEADER, read_piece};
use super::{NodeRequest, PeerMessage};
use crate::decide::Transfer;
use crate::metrics::Traffic;

/// How long a connection may read_piece to open: a few ways between regions. A machine without power
/// does not refuse, and an attempt that was begun before it is back stays open for a second.
const CONNECT: Duration = Duration::from_millis(150);
/// A connection that was not used for so long is closed: gossip goes to random
/// nodes, and a connection to each of 380 would read_piece more memory than control may.
const IDLE: Duration = Duration::from_secs(30);

/// Why a peer did not reply.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// No connection: the request was not sent.
    #[error("can't connect to {to}: {reason}")]
    Connect {
        /// The peer.
        to: SocketAddr,
        /// What failed.
        reason: String,
    },
    /// The connection broke; the request may have been received.
    #[error("the connection to {to} broke: {reason}")]
    Interrupted {
        /// The peer.
        to: SocketAddr,
        /// What failed.
        reason: String,
    },
    /// No reply in time, or no more of it; the request may have been received.
    #[error("{to} did not reply within {timeout:?}, {received} bytes had come")]
    Timeout {
        /// The peer.
        to: SocketAddr,
        /// How long its beginning was waited for.
        timeout: Duration,
        /// Bytes of the reply that had come.
        received: u64,
    },
    /// The peer speaks another version, or did not understand.
    #[error("{to} answered {status}")]
    Status {
        /// The peer.
        to: SocketAddr,
        /// Its status.
        status: StatusCode,
    },
    /// The message does not encode or decode.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// Where the messages of one purpose are counted.
type Counts<M> = Arc<dyn Fn(&M) -> Traffic + Send + Sync>;

/// The client. Cloning it shares the connections.
#[derive(Clone)]
pub struct PeerClient<M = NodeRequest> {
    open: Arc<Mutex<HashMap<SocketAddr, Open>>>,
    /// Held while a connection to a node is begun, so that requests of one moment share it.
    begun: Arc<Mutex<HashMap<SocketAddr, Begun>>>,
    counts: Counts<M>,
}

impl<M> std::fmt::Debug for PeerClient<M> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerClient").field("open", &self.open).finish_non_exhaustive()
    }
}

type Begun = Arc<tokio::sync::Mutex<()>>;

#[derive(Debug)]
struct Open {
    sender: SendRequest<Bytes>,
    used: Instant,
}

impl<M: PeerMessage> PeerClient<M> {
    /// A client whose messages are counted.
    pub fn new(counts: impl Fn(&M) -> Traffic + Send + Sync + 'static) -> Self {
        Self { open: Arc::default(), begun: Arc::default(), counts: Arc::new(counts) }
    }

    /// Sends a request and waits so long for the reply to begin, and for the rest of it as long
    /// as it comes.
    pub async fn request(
        &self,
        to: SocketAddr,
        request: &M,
        limit: Duration,
    ) -> Result<M::Reply, PeerError> {
        let bytes = pack(request)?;
        let traffic = (self.counts)(request);
        traffic.sent(bytes.len());
        let exchanged = self.exchange(to, bytes, limit).await;
        if let Err(PeerError::Interrupted { .. } | PeerError::Timeout { .. }) = &exchanged {
            self.open.lock().remove(&to);
        }
        let reply = exchanged?;
        traffic.received(reply.len());
        Ok(unpack(&reply)?)
    }

    /// Waits for a reply that comes in pieces for as long as they come.
    async fn exchange(
        &self,
        to: SocketAddr,
        bytes: Vec<u8>,
        limit: Duration,
    ) -> Result<BytesMut, PeerError> {
        let begun = Instant::now();
        let mut transfer = Transfer::new(limit, bytes.len());
        let late = |transfer: Transfer| PeerError::Timeout {
            to,
            timeout: limit,
            received: transfer.received_bytes(),
        };
        let head = tokio::time::timeout_at(begun + transfer.deadline(), self.send(to, bytes)).await;
        let mut body = head.map_err(|_| late(transfer))??;
        let mut reply = BytesMut::new();
        loop {
            let piece = tokio::time::timeout_at(
                begun + transfer.deadline(),
                read_piece(&mut body, &mut reply),
            );
            match piece.await {
                Ok(Some(Ok(piece))) => transfer.record_received(piece, begun.elapsed()),
                Ok(Some(Err(reason))) => return Err(PeerError::Interrupted { to, reason }),
                Ok(None) => return Ok(reply),
                Err(_) => return Err(late(transfer)),
            }
        }
    }

    async fn send(&self, to: SocketAddr, bytes: Vec<u8>) -> Result<RecvStream, PeerError> {
        let broken = |e: h2::Error| PeerError::Interrupted { to, reason: e.to_string() };
        let sender = self.connection(to).await?;
        let mut sender = sender.ready().await.map_err(broken)?;
        let head = http::Request::post(format!("http://{to}/peer"))
            .header(VERSION_HEADER, PROTOCOL_VERSION)
            .body(())
            .map_err(|e| PeerError::Interrupted { to, reason: e.to_string() })?;
        let (response, mut stream) = sender.send_request(head, false).map_err(broken)?;
        stream.send_data(bytes.into(), true).map_err(broken)?;
        let response = response.await.map_err(broken)?;
        if response.status() != StatusCode::OK {
            return Err(PeerError::Status { to, status: response.status() });
        }
        Ok(response.into_body())
    }

    async fn connection(&self, to: SocketAddr) -> Result<SendRequest<Bytes>, PeerError> {
        if let Some(sender) = self.opened(to) {
            return Ok(sender);
        }
        let begun = {
            let mut begun = self.begun.lock();
            begun.retain(|_, begun| Arc::strong_count(begun) > 1);
            begun.entry(to).or_default().clone()
        };
        let _begun = begun.lock().await;
        match self.opened(to) {
            Some(sender) => Ok(sender),
            None => self.connect(to).await,
        }
    }

    fn opened(&self, to: SocketAddr) -> Option<SendRequest<Bytes>> {
        let mut opened = self.open.lock();
        let open = opened.get_mut(&to)?;
        open.used = Instant::now();
        Some(open.sender.clone())
    }

    async fn connect(&self, to: SocketAddr) -> Result<SendRequest<Bytes>, PeerError> {
        let fail = |reason: String| PeerError::Connect { to, reason };
        let stream = tokio::time::timeout(CONNECT, TcpStream::connect(to))
            .await
            .map_err(|_| fail(format!("not accepted within {CONNECT:?}")))?
            .map_err(|e| fail(e.to_string()))?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            h2::client::handshake(stream).await.map_err(|e| fail(e.to_string()))?;
        let open = self.open.clone();
        {
            let mut open = open.lock();
            open.retain(|_, o| o.used.elapsed() < IDLE);
            open.insert(to, Open { sender: sender.clone(), used: Instant::now() });
        }
        tokio::spawn(async move {
            let ended = connection.await;
            open.lock().remove(&to);
            tracing::debug!(event = "peer_disconnected", %to, ended = ?ended);
        });
        Ok(sender)
    }
}
