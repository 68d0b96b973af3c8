//! The listener for requests of other nodes.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::{Response, StatusCode};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::codec::{MAX_MESSAGE_BYTES, PROTOCOL_VERSION, pack, unpack};
use super::message_reader::MessageReader;
use super::open_requests::OpenRequests;
use super::{PeerLimits, PeerMessage};
use crate::edge::Reclaimable;
use crate::edge::acceptor::Acceptor;
use crate::edge::connection_slots::ConnectionSlots;
use crate::metrics::Traffic;

/// How long the HTTP/2 handshake may take. A peer sends its preface right after connecting.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
/// The largest head of a message, in bytes. It has little more than the protocol version.
const MAX_HEADER_BYTES: u32 = 4 << 10;
/// The largest frame, in bytes: the least that HTTP/2 allows.
const MAX_FRAME_BYTES: u32 = 16 << 10;
/// The most open streams of one connection. A node waits before it opens more.
const MAX_CONNECTION_STREAMS: u32 = 1_024;
/// The most open streams of all connections. Each node of the planned fleet may wait for changes of
/// every kind at one node. Further ones are refused.
const MAX_STREAMS: usize = 4_096;
/// How long a connection that makes room may take to end, unless it has open requests: its client may
/// not answer.
const RECLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// The header with the protocol version.
pub(super) const VERSION_HEADER: &str = "mulberry-peer-version";

/// Handles the requests of peers.
pub trait PeerHandler: Send + Sync + 'static {
    /// The type of the requests.
    type Request: PeerMessage;

    /// Handles one request.
    fn handle(
        self: Arc<Self>,
        request: Self::Request,
    ) -> impl Future<Output = <Self::Request as PeerMessage>::Reply> + Send;

    /// Returns the counter for the bytes of a request and its reply.
    fn traffic(&self, request: &Self::Request) -> Traffic;
}

/// What all connections of a listener share.
struct Shared<H> {
    handler: Arc<H>,
    tracker: TaskTracker,
    cancel: CancellationToken,
    slots: ConnectionSlots,
    /// The open streams of all connections.
    streams: Arc<Semaphore>,
    messages: MessageReader,
}

/// A listener that is bound but does not accept connections yet.
#[derive(Debug)]
pub struct PeerListener {
    acceptor: Acceptor,
}

impl PeerListener {
    /// Binds an address. Port 0 lets the operating system choose a free port.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        Ok(Self { acceptor: Acceptor::bind(address).await? })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.acceptor.address()
    }

    /// Accepts connections until cancelled, then lets each connection finish its open streams.
    /// `connections` tracks the connections and streams.
    pub fn spawn<H: PeerHandler>(
        self,
        handler: Arc<H>,
        limits: PeerLimits,
        connections: &TaskTracker,
        cancel: CancellationToken,
    ) {
        let shared = Arc::new(Shared {
            handler,
            tracker: connections.clone(),
            cancel,
            slots: ConnectionSlots::new(limits.max_open),
            streams: Arc::new(Semaphore::new(MAX_STREAMS)),
            messages: MessageReader::new(limits.message_memory),
        });
        connections.spawn(async move {
            while let Some((stream, from)) = self.acceptor.accept(&shared.cancel).await {
                let Some(slot) = shared.slots.admit() else {
                    tracing::warn!(event = "peer_refused", %from, most = limits.max_open);
                    continue;
                };
                shared.tracker.spawn(serve(stream, from, shared.clone(), slot));
            }
        });
    }
}

/// Serves one connection until it ends.
async fn serve<H: PeerHandler>(
    stream: TcpStream,
    from: SocketAddr,
    shared: Arc<Shared<H>>,
    slot: Arc<Reclaimable>,
) {
    let mut builder = h2::server::Builder::new();
    builder
        .max_header_list_size(MAX_HEADER_BYTES)
        .max_concurrent_streams(MAX_CONNECTION_STREAMS)
        .max_frame_size(MAX_FRAME_BYTES);
    let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, builder.handshake(stream));
    let mut connection = match handshake.await {
        Ok(Ok(connection)) => connection,
        Ok(Err(e)) => {
            tracing::warn!(event = "peer_handshake_failed", %from, error = %e);
            return;
        }
        Err(_) => {
            tracing::warn!(event = "peer_handshake_timeout", %from);
            return;
        }
    };
    let requests = OpenRequests::new(shared.slots.waiting().clone(), slot);
    let mut closing = false;
    // When a connection that makes room is looked at again.
    let mut closes_at = None;
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = shared.cancel.cancelled(), if !closing => {
                closing = true;
                connection.graceful_shutdown();
                continue;
            }
            () = requests.reclaimed().cancelled(), if !closing => {
                tracing::info!(event = "peer_connection_reclaimed", %from);
                closing = true;
                closes_at = Some(Instant::now() + RECLAIM_TIMEOUT);
                connection.graceful_shutdown();
                continue;
            }
            () = sleep_until(closes_at.unwrap_or_else(Instant::now)), if closes_at.is_some() => {
                if requests.is_idle() {
                    return;
                }
                closes_at = Some(Instant::now() + RECLAIM_TIMEOUT);
                continue;
            }
        };
        match accepted {
            Some(Ok((request, mut respond))) => {
                let Ok(permit) = shared.streams.clone().try_acquire_owned() else {
                    respond.send_reset(Reason::REFUSED_STREAM);
                    continue;
                };
                let (shared, open) = (shared.clone(), requests.begin());
                shared.tracker.clone().spawn(async move {
                    serve_stream(request, respond, &shared).await;
                    drop((permit, open));
                });
            }
            Some(Err(e)) => {
                tracing::debug!(event = "peer_connection_ended", %from, error = %e);
                return;
            }
            None => return,
        }
    }
}

/// Reads one request, has it handled and sends the reply.
async fn serve_stream<H: PeerHandler>(
    request: http::Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    shared: &Shared<H>,
) {
    let version = request.headers().get(VERSION_HEADER).and_then(|v| v.to_str().ok());
    if version != Some(PROTOCOL_VERSION) {
        tracing::warn!(
            event = "peer_version",
            theirs = version.unwrap_or("none"),
            ours = PROTOCOL_VERSION
        );
        respond_with(&mut respond, StatusCode::UPGRADE_REQUIRED, Vec::new());
        return;
    }
    let handler = shared.handler.clone();
    let Some(message) = shared.messages.read(request.into_body()).await else {
        respond.send_reset(Reason::ENHANCE_YOUR_CALM);
        return;
    };
    let bytes = &message.bytes;
    let (reply, traffic) = match unpack::<H::Request>(bytes) {
        Ok(request) => {
            let traffic = handler.traffic(&request);
            traffic.count_received(bytes.len());
            drop(message);
            (handler.handle(request).await, traffic)
        }
        Err(e) => {
            tracing::warn!(event = "peer_request_undecodable", error = %e);
            respond_with(&mut respond, StatusCode::BAD_REQUEST, Vec::new());
            return;
        }
    };
    match pack(&reply) {
        Ok(bytes) => {
            traffic.count_sent(bytes.len());
            respond_with(&mut respond, StatusCode::OK, bytes);
        }
        Err(e) => {
            tracing::error!(event = "peer_reply_unencodable", error = %e);
            respond_with(&mut respond, StatusCode::INTERNAL_SERVER_ERROR, Vec::new());
        }
    }
}

/// Sends a response with a body, which may be empty.
fn respond_with(respond: &mut SendResponse<Bytes>, status: StatusCode, bytes: Vec<u8>) {
    let mut head = Response::new(());
    *head.status_mut() = status;
    if let Ok(mut stream) = respond.send_response(head, bytes.is_empty())
        && !bytes.is_empty()
    {
        let _ = stream.send_data(bytes.into(), true);
    }
}

/// Appends the next piece of a message and returns its size in bytes, or `None` after the last
/// piece.
pub(super) async fn read_piece(
    body: &mut RecvStream,
    message: &mut BytesMut,
) -> Option<Result<usize, String>> {
    let piece = match body.data().await? {
        Ok(piece) => piece,
        Err(e) => return Some(Err(e.to_string())),
    };
    if message.len() + piece.len() > MAX_MESSAGE_BYTES {
        return Some(Err(format!("the message is larger than {MAX_MESSAGE_BYTES} bytes")));
    }
    message.extend_from_slice(&piece);
    let _ = body.flow_control().release_capacity(piece.len());
    Some(Ok(piece.len()))
}
