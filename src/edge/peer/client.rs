//! The client for requests to other nodes. It keeps one connection to each.

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
use super::reply_start::ReplyStart;
use super::server::{VERSION_HEADER, read_piece};
use super::{NodeRequest, PeerMessage};
use crate::decide::Transfer;
use crate::metrics::Traffic;

/// How long a connection may take to open: a few trips between regions. A machine without power
/// does not refuse connections, and an attempt to connect that began before the machine is back
/// would stay open for a second.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long an unused connection is kept open. Gossip goes to random nodes, and a connection to
/// each of 380 nodes would take more memory than the control traffic is allowed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Why there is no reply of a peer.
#[derive(Debug, thiserror::Error)]
pub enum PeerError {
    /// No connection was opened, so the request was not sent.
    #[error("can't connect to {to}: {reason}")]
    Connect {
        /// The address of the peer.
        to: SocketAddr,
        /// The cause.
        reason: String,
    },
    /// The connection failed. The request may have been received.
    #[error("the connection to {to} failed: {reason}")]
    Interrupted {
        /// The address of the peer.
        to: SocketAddr,
        /// The cause.
        reason: String,
    },
    /// The reply did not begin in time, or stopped before its end. The request may have been
    /// received.
    #[error("{to} did not reply within {timeout:?}, {received} bytes were received")]
    Timeout {
        /// The address of the peer.
        to: SocketAddr,
        /// The timeout for the start of the reply.
        timeout: Duration,
        /// The bytes of the reply that were received.
        received: u64,
    },
    /// The peer uses another protocol version, or could not read the request.
    #[error("{to} responded with {status}")]
    Status {
        /// The address of the peer.
        to: SocketAddr,
        /// The status of the response.
        status: StatusCode,
    },
    /// The request does not encode, or the reply does not decode.
    #[error(transparent)]
    Codec(#[from] CodecError),
}

/// Returns the counter for a request's purpose.
type TrafficOf<M> = Arc<dyn Fn(&M) -> Traffic + Send + Sync>;

/// The client for requests to peers. Clones share the connections.
#[derive(Clone)]
pub struct PeerClient<M = NodeRequest> {
    connections: Arc<Mutex<HashMap<SocketAddr, Connection>>>,
    /// Locked while a connection to a node is opened, so that concurrent requests share it.
    connect_locks: Arc<Mutex<HashMap<SocketAddr, ConnectLock>>>,
    traffic: TrafficOf<M>,
}

impl<M> std::fmt::Debug for PeerClient<M> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerClient").field("open", &self.connections).finish_non_exhaustive()
    }
}

/// Locked while a connection to one node is opened.
type ConnectLock = Arc<tokio::sync::Mutex<()>>;

/// An open connection, and when it was last used.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Bytes>,
    last_used: Instant,
}

impl<M: PeerMessage> PeerClient<M> {
    /// Creates a client that counts the bytes of each exchange in `traffic` of its request.
    pub fn new(traffic: impl Fn(&M) -> Traffic + Send + Sync + 'static) -> Self {
        Self {
            connections: Arc::default(),
            connect_locks: Arc::default(),
            traffic: Arc::new(traffic),
        }
    }

    /// Sends a request and reads the reply. The reply has to begin within the timeout, and the rest
    /// is read for as long as it keeps arriving.
    pub async fn request(
        &self,
        to: SocketAddr,
        request: &M,
        timeout: Duration,
    ) -> Result<M::Reply, PeerError> {
        self.request_with_start(to, request, timeout, &ReplyStart::default()).await
    }

    /// The same, and records in `start` when the reply begins to arrive.
    pub async fn request_with_start(
        &self,
        to: SocketAddr,
        request: &M,
        timeout: Duration,
        start: &ReplyStart,
    ) -> Result<M::Reply, PeerError> {
        let bytes = pack(request)?;
        let traffic = (self.traffic)(request);
        traffic.count_sent(bytes.len());
        let exchanged = self.exchange(to, bytes, timeout, start).await;
        if let Err(PeerError::Interrupted { .. } | PeerError::Timeout { .. }) = &exchanged {
            self.connections.lock().remove(&to);
        }
        let reply = exchanged?;
        traffic.count_received(reply.len());
        Ok(unpack(&reply)?)
    }

    /// Sends the bytes of a request and reads those of the reply.
    async fn exchange(
        &self,
        to: SocketAddr,
        bytes: Vec<u8>,
        timeout: Duration,
        start: &ReplyStart,
    ) -> Result<BytesMut, PeerError> {
        let started = Instant::now();
        let mut transfer = Transfer::new(timeout, bytes.len());
        let late = |transfer: Transfer| PeerError::Timeout {
            to,
            timeout,
            received: transfer.received_bytes(),
        };
        let head =
            tokio::time::timeout_at(started + transfer.deadline(), self.send(to, bytes)).await;
        let mut body = head.map_err(|_| late(transfer))??;
        start.record();
        let mut reply = BytesMut::new();
        loop {
            let piece = tokio::time::timeout_at(
                started + transfer.deadline(),
                read_piece(&mut body, &mut reply),
            );
            match piece.await {
                Ok(Some(Ok(piece))) => transfer.record_received(piece, started.elapsed()),
                Ok(Some(Err(reason))) => return Err(PeerError::Interrupted { to, reason }),
                Ok(None) => return Ok(reply),
                Err(_) => return Err(late(transfer)),
            }
        }
    }

    /// Sends a request and waits for the head of the response.
    async fn send(&self, to: SocketAddr, bytes: Vec<u8>) -> Result<RecvStream, PeerError> {
        let interrupted = |e: h2::Error| PeerError::Interrupted { to, reason: e.to_string() };
        let sender = self.connection(to).await?;
        let mut sender = sender.ready().await.map_err(interrupted)?;
        let head = http::Request::post(format!("http://{to}/peer"))
            .header(VERSION_HEADER, PROTOCOL_VERSION)
            .body(())
            .map_err(|e| PeerError::Interrupted { to, reason: e.to_string() })?;
        let (response, mut stream) = sender.send_request(head, false).map_err(interrupted)?;
        stream.send_data(bytes.into(), true).map_err(interrupted)?;
        let response = response.await.map_err(interrupted)?;
        if response.status() != StatusCode::OK {
            return Err(PeerError::Status { to, status: response.status() });
        }
        Ok(response.into_body())
    }

    /// Returns the connection to a node, and opens it if there is none.
    async fn connection(&self, to: SocketAddr) -> Result<SendRequest<Bytes>, PeerError> {
        if let Some(sender) = self.open_connection(to) {
            return Ok(sender);
        }
        let connect_lock = {
            let mut locks = self.connect_locks.lock();
            locks.retain(|_, lock| Arc::strong_count(lock) > 1);
            locks.entry(to).or_default().clone()
        };
        let _connecting = connect_lock.lock().await;
        match self.open_connection(to) {
            Some(sender) => Ok(sender),
            None => self.connect(to).await,
        }
    }

    /// Returns the open connection to a node, if there is one.
    fn open_connection(&self, to: SocketAddr) -> Option<SendRequest<Bytes>> {
        let mut connections = self.connections.lock();
        let connection = connections.get_mut(&to)?;
        connection.last_used = Instant::now();
        Some(connection.sender.clone())
    }

    /// Opens a connection to a node, and closes those that were unused for too long.
    async fn connect(&self, to: SocketAddr) -> Result<SendRequest<Bytes>, PeerError> {
        let fail = |reason: String| PeerError::Connect { to, reason };
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(to))
            .await
            .map_err(|_| {
                fail(format!("the connection was not accepted within {CONNECT_TIMEOUT:?}"))
            })?
            .map_err(|e| fail(e.to_string()))?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            h2::client::handshake(stream).await.map_err(|e| fail(e.to_string()))?;
        let connections = self.connections.clone();
        {
            let mut connections = connections.lock();
            connections.retain(|_, c| c.last_used.elapsed() < IDLE_TIMEOUT);
            connections
                .insert(to, Connection { sender: sender.clone(), last_used: Instant::now() });
        }
        tokio::spawn(async move {
            let ended = connection.await;
            connections.lock().remove(&to);
            tracing::debug!(event = "peer_disconnected", %to, ended = ?ended);
        });
        Ok(sender)
    }
}
