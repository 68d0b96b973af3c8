//! The client of plain services: a fresh connection for each attempt, so that it
//! is certain whether anything was sent.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Request, StatusCode};
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::decide::Outcome;
use crate::edge::http::{Body, read};

/// The largest answer, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;
/// How long a connection may take to open.
const CONNECT: Duration = Duration::from_secs(1);

/// An attempt that did not bring a whole answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{reason}")]
pub struct Failure {
    /// What that says about the request.
    pub outcome: Outcome,
    /// For people.
    pub reason: String,
}

/// A whole answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlainAnswer {
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
    /// Makes one attempt and reads the whole answer.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Body>,
    ) -> Result<PlainAnswer, Failure> {
        let unsent = |reason: String| Failure { outcome: Outcome::Unsent, reason };
        let unknown = |reason: String| Failure { outcome: Outcome::Unknown, reason };
        let stream = tokio::time::timeout(CONNECT, TcpStream::connect(to))
            .await
            .map_err(|_| unsent(format!("{to} did not accept within {CONNECT:?}")))?
            .map_err(|e| unsent(format!("can't connect to {to}: {e}")))?;
        let (mut sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|e| unsent(format!("can't open HTTP to {to}: {e}")))?;
        let connection = tokio::spawn(connection);
        let response = sender.send_request(request).await;
        let answer = match response {
            Err(e) => Err(unknown(format!("{to} did not answer: {e}"))),
            Ok(response) => {
                let (head, body) = response.into_parts();
                match read(body, ANSWER_LIMIT).await {
                    Ok(body) => {
                        Ok(PlainAnswer { status: head.status, headers: head.headers, body })
                    }
                    Err(e) => Err(unknown(format!("the answer of {to} is not whole: {e}"))),
                }
            }
        };
        connection.abort();
        answer
    }
}
