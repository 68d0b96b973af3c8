//! The client of plain HTTP services. It opens a new connection for each attempt, so that it is
//! certain whether anything was sent.
//!
//! The upstream may close a reused connection just as the next request is written, and then it is
//! unknown whether the upstream read the request. A new connection costs a round trip and leaves
//! three clear cases: it does not open; it closes before the request is taken off the queue to be
//! written, which hyper reports by returning the request; or the request was written, at least in
//! part, and may have run.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use crate::decide::AttemptOutcome;
use crate::edge::http::{Body, check_final, read_body};

/// The largest response body.
const MAX_RESPONSE_BYTES: usize = 16 << 20;
/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// An attempt without a complete response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct AttemptFailure {
    /// What the failure says about the request: whether it was sent, refused, or may have run.
    pub outcome: AttemptOutcome,
    /// The reason, for logs and error messages.
    pub reason: String,
}

/// A complete response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainResponse {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

/// The client of plain HTTP services.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlainClient;

impl PlainClient {
    /// Makes one attempt and reads the whole response before the deadline.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<PlainResponse, AttemptFailure> {
        let stream = connect(to, deadline).await?;
        match tokio::time::timeout_at(deadline, exchange(to, stream, request)).await {
            Ok(ended) => ended,
            Err(_) => Err(unknown(format!("no complete response from {to} before the deadline"))),
        }
    }
}

/// Opens a connection. A failure here means that no byte of the request was sent.
async fn connect(to: SocketAddr, deadline: Instant) -> Result<TcpStream, AttemptFailure> {
    let limit = deadline.min(Instant::now() + CONNECT_TIMEOUT);
    tokio::time::timeout_at(limit, TcpStream::connect(to))
        .await
        .map_err(|_| unsent(format!("{to} did not accept the connection in time")))?
        .map_err(|e| unsent(format!("can't connect to {to}: {e}")))
}

/// Sends the request over a new connection and reads the whole response.
async fn exchange(
    to: SocketAddr,
    stream: TcpStream,
    request: Request<Body>,
) -> Result<PlainResponse, AttemptFailure> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| unsent(format!("can't open HTTP to {to}: {e}")))?;
    // Dropping the handle, also when the attempt is cancelled, ends the connection's task.
    let _connection = AbortOnDropHandle::new(tokio::spawn(connection));
    let response = sender.try_send_request(request).await.map_err(|mut e| {
        let returned = e.take_message().is_some();
        let reason = format!("{to} did not respond: {}", e.into_error());
        if returned { unsent(reason) } else { unknown(reason) }
    })?;
    check_final(response.status()).map_err(|e| unknown(format!("{to}: {e}")))?;
    let (head, body) = response.into_parts();
    let body = read_body(body, MAX_RESPONSE_BYTES)
        .await
        .map_err(|e| unknown(format!("the response of {to} is incomplete: {e}")))?;
    Ok(PlainResponse { status: head.status, headers: head.headers, body })
}

fn unsent(reason: String) -> AttemptFailure {
    AttemptFailure { outcome: AttemptOutcome::Unsent, reason }
}

fn unknown(reason: String) -> AttemptFailure {
    AttemptFailure { outcome: AttemptOutcome::Unknown, reason }
}
