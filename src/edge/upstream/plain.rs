//! The client of plain services: a fresh connection for each attempt, so that it
//! is certain whether anything was sent.
//!
//! A connection that is used again may be closed by the upstream just as the next
//! request is written; then nobody can tell whether it was read. A fresh one costs
//! a round trip and leaves three certain cases: it does not open; it closes before
//! the request is taken off the queue to be written, which hyper tells by handing
//! the request back; or the request was written, in part at least, and may have run.

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
use crate::edge::http::{Body, read_body};

/// The largest answer, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;
/// How long a connection may take to open.
const CONNECT: Duration = Duration::from_secs(1);

/// An attempt that did not bring a whole answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct AttemptFailure {
    /// What that says about the request.
    pub outcome: AttemptOutcome,
    /// For people.
    pub reason: String,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainResponse {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
}

/// The client.
#[derive(Debug, Clone, Copy, Default)]
pub struct PlainClient;

impl PlainClient {
    /// Makes one attempt and reads the whole answer, until the deadline.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Body>,
        deadline: Instant,
    ) -> Result<PlainResponse, AttemptFailure> {
        let stream = connect(to, deadline).await?;
        match tokio::time::timeout_at(deadline, exchange(to, stream, request)).await {
            Ok(ended) => ended,
            Err(_) => Err(unknown(format!("{to} gave no whole answer before the deadline"))),
        }
    }
}

/// Opens the connection. No byte of the request is there to be sent yet.
async fn connect(to: SocketAddr, deadline: Instant) -> Result<TcpStream, AttemptFailure> {
    let limit = deadline.min(Instant::now() + CONNECT);
    tokio::time::timeout_at(limit, TcpStream::connect(to))
        .await
        .map_err(|_| unsent(format!("{to} did not accept in time")))?
        .map_err(|e| unsent(format!("can't connect to {to}: {e}")))
}

async fn exchange(
    to: SocketAddr,
    stream: TcpStream,
    request: Request<Body>,
) -> Result<PlainResponse, AttemptFailure> {
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|e| unsent(format!("can't open HTTP to {to}: {e}")))?;
    // Ends with this attempt, also when that is dropped.
    let _connection = AbortOnDropHandle::new(tokio::spawn(connection));
    let response = sender.try_send_request(request).await.map_err(|mut e| {
        let handed_back = e.take_message().is_some();
        let reason = format!("{to} did not answer: {}", e.into_error());
        if handed_back { unsent(reason) } else { unknown(reason) }
    })?;
    let (head, body) = response.into_parts();
    let body = read_body(body, ANSWER_LIMIT)
        .await
        .map_err(|e| unknown(format!("the answer of {to} is not whole: {e}")))?;
    Ok(PlainResponse { status: head.status, headers: head.headers, body })
}

fn unsent(reason: String) -> AttemptFailure {
    AttemptFailure { outcome: AttemptOutcome::Unsent, reason }
}

fn unknown(reason: String) -> AttemptFailure {
    AttemptFailure { outcome: AttemptOutcome::Unknown, reason }
}
