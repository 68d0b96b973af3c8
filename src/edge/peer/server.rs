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
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::PeerMessage;
use super::codec::{MAX_MESSAGE_BYTES, PROTOCOL_VERSION, pack, unpack};
use crate::edge::acceptor::Acceptor;
use crate::metrics::Traffic;

/// How long the HTTP/2 handshake may take. A peer sends its preface right after connecting.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);
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
        connections: &TaskTracker,
        cancel: CancellationToken,
    ) {
        let tracker = connections.clone();
        connections.spawn(async move {
            while let Some((stream, from)) = self.acceptor.accept(&cancel).await {
                tracker.spawn(serve(
                    stream,
                    from,
                    handler.clone(),
                    tracker.clone(),
                    cancel.clone(),
                ));
            }
        });
    }
}

/// Serves one connection until it ends.
async fn serve<H: PeerHandler>(
    stream: TcpStream,
    from: SocketAddr,
    handler: Arc<H>,
    tracker: TaskTracker,
    cancel: CancellationToken,
) {
    let handshake = tokio::time::timeout(HANDSHAKE_TIMEOUT, h2::server::handshake(stream));
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
    let mut closing = false;
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = cancel.cancelled(), if !closing => {
                closing = true;
                connection.graceful_shutdown();
                continue;
            }
        };
        match accepted {
            Some(Ok((request, respond))) => {
                tracker.spawn(serve_stream(request, respond, handler.clone()));
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
    handler: Arc<H>,
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
    let Some(bytes) = read_message(request.into_body()).await else {
        respond.send_reset(Reason::ENHANCE_YOUR_CALM);
        return;
    };
    let (reply, traffic) = match unpack::<H::Request>(&bytes) {
        Ok(request) => {
            let traffic = handler.traffic(&request);
            traffic.count_received(bytes.len());
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

/// Reads a whole message. Returns `None` if it is too large or cut off.
async fn read_message(mut body: RecvStream) -> Option<BytesMut> {
    let mut bytes = BytesMut::new();
    while let Some(read) = read_piece(&mut body, &mut bytes).await {
        read.ok()?;
    }
    Some(bytes)
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
