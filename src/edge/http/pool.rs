//! A pool of HTTP/1 connections to many servers, each kept open for its next request.
//!
//! hyper's own pooled client hides which connection a request uses and whether any of its bytes
//! were sent. This pool distinguishes an unsent request from one that may have run, and closes a
//! connection whose response was not read to its end, so that the server stops its work.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use http::{HeaderMap, Request, Response};
use http_body_util::Full;
use hyper::body::{Body as _, Incoming};
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use super::check_final;

/// TCP keep-alive probes on a connection without traffic, so that a dead connection is detected
/// while a watch waits on it.
const TCP_KEEPALIVE: TcpKeepalive = TcpKeepalive::new()
    .with_time(Duration::from_secs(1))
    .with_interval(Duration::from_secs(1))
    .with_retries(1);
/// How long sent bytes or probes may stay unacknowledged before the connection is closed.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2_000);
/// How long before the server closes an unused connection it is no longer used, so that no
/// request is sent while the connection is being closed.
const CLOSE_MARGIN: Duration = Duration::from_millis(700);
/// The most unused connections that are kept for one address. Others are closed.
const MAX_IDLE_PER_ADDRESS: usize = 16;

/// Why a request has no response.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No byte of the request was sent.
    #[error("not sent: {0}")]
    Unsent(String),
    /// The connection failed, and the request may have been received.
    #[error("the connection was interrupted: {0}")]
    Interrupted(String),
}

/// One open connection. Dropping it closes the connection.
#[derive(Debug)]
struct Connection {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// How long it is kept open while unused.
    idle_timeout: Duration,
    /// Until when it may be used again.
    usable_until: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// The state that clones of a pool share.
#[derive(Debug)]
struct Shared {
    idle: Mutex<HashMap<SocketAddr, Vec<Connection>>>,
    connect_timeout: Duration,
    idle_timeout: Duration,
}

/// A pool of HTTP/1 connections. Clones share the connections.
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    shared: Arc<Shared>,
}

impl ConnectionPool {
    /// Creates a pool that gives up opening a connection after `connect_timeout`. An unused one is
    /// kept for `idle_timeout`, unless the server announces how long it keeps it.
    pub fn new(connect_timeout: Duration, idle_timeout: Duration) -> Self {
        let idle = Mutex::default();
        Self { shared: Arc::new(Shared { idle, connect_timeout, idle_timeout }) }
    }

    /// Sends a request and waits for the head of the response. A request that an unused connection
    /// did not send is sent over another one.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<ResponseBody>, SendError> {
        let mut request = request;
        while let Some(connection) = self.take_idle(to) {
            match exchange(connection, request).await {
                Ok(exchanged) => return Ok(self.with_pooled_body(to, exchanged)),
                Err((SendError::Unsent(_), Some(unsent))) => request = *unsent,
                Err((error, _)) => return Err(error),
            }
        }
        let connection = self.connect(to).await?;
        let exchanged = exchange(connection, request).await.map_err(|(error, _)| error)?;
        Ok(self.with_pooled_body(to, exchanged))
    }

    /// Closes the unused connections to an address whose server is gone.
    pub fn close_idle(&self, to: SocketAddr) {
        self.shared.idle.lock().remove(&to);
    }

    /// Takes an unused connection to an address that is still open.
    fn take_idle(&self, to: SocketAddr) -> Option<Connection> {
        let mut idle = self.shared.idle.lock();
        let connections = idle.get_mut(&to)?;
        let found = loop {
            let connection = connections.pop()?;
            if connection.usable_until > Instant::now() && !connection.sender.is_closed() {
                break connection;
            }
        };
        Some(found)
    }

    /// Opens a connection.
    async fn connect(&self, to: SocketAddr) -> Result<Connection, SendError> {
        let opening = async {
            let stream = TcpStream::connect(to).await?;
            stream.set_nodelay(true)?;
            let socket = SockRef::from(&stream);
            socket.set_tcp_keepalive(&TCP_KEEPALIVE)?;
            socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
            Ok::<_, std::io::Error>(stream)
        };
        let stream = match tokio::time::timeout(self.shared.connect_timeout, opening).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(SendError::Unsent(e.to_string())),
            Err(_) => return Err(SendError::Unsent("no connection within the timeout".to_owned())),
        };
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(|e| SendError::Unsent(e.to_string()))?;
        let driver = tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!(event = "connection_ended", %to, error = %e);
            }
        });
        Ok(Connection {
            sender,
            driver: driver.abort_handle(),
            idle_timeout: self.shared.idle_timeout,
            usable_until: Instant::now(),
        })
    }

    /// Wraps the body of a response, so that its connection returns to the pool.
    fn with_pooled_body(
        &self,
        to: SocketAddr,
        exchanged: (Connection, Response<Incoming>),
    ) -> Response<ResponseBody> {
        let (mut connection, response) = exchanged;
        let (head, body) = response.into_parts();
        let idle_timeout = announced_timeout(&head.headers)
            .map_or(self.shared.idle_timeout, |t| t.saturating_sub(CLOSE_MARGIN));
        connection.idle_timeout = idle_timeout;
        let mut body =
            ResponseBody { body, connection: Some(connection), pool: self.shared.clone(), to };
        if body.body.is_end_stream() {
            body.return_connection();
        }
        Response::from_parts(head, body)
    }
}

/// The time for which the server keeps an unused connection open, from its `Keep-Alive` header.
fn announced_timeout(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// The request, if no byte of it was sent.
type UnsentRequest = Option<Box<Request<Full<Bytes>>>>;

/// Sends a request over a connection and waits for the head of the response.
async fn exchange(
    mut connection: Connection,
    request: Request<Full<Bytes>>,
) -> Result<(Connection, Response<Incoming>), (SendError, UnsentRequest)> {
    match connection.sender.try_send_request(request).await {
        Ok(response) => match check_final(response.status()) {
            Ok(()) => Ok((connection, response)),
            Err(reason) => Err((SendError::Interrupted(reason), None)),
        },
        Err(mut e) => {
            let unsent = e.take_message().map(Box::new);
            let reason = e.into_error().to_string();
            match unsent {
                Some(request) => Err((SendError::Unsent(reason), Some(request))),
                None => Err((SendError::Interrupted(reason), None)),
            }
        }
    }
}

/// The body of a response. Its connection returns to the pool once the body has been read to its
/// end, and is closed otherwise.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    connection: Option<Connection>,
    pool: Arc<Shared>,
    to: SocketAddr,
}

impl ResponseBody {
    /// Returns the connection to the pool.
    fn return_connection(&mut self) {
        let Some(mut connection) = self.connection.take() else { return };
        connection.usable_until = Instant::now() + connection.idle_timeout;
        let mut idle = self.pool.idle.lock();
        let connections = idle.entry(self.to).or_default();
        if connections.len() < MAX_IDLE_PER_ADDRESS {
            connections.push(connection);
        }
    }
}

impl Stream for ResponseBody {
    type Item = Result<Bytes, String>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            let frame = match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(frame) => frame,
            };
            match frame {
                None => {
                    self.return_connection();
                    return Poll::Ready(None);
                }
                Some(Err(e)) => {
                    self.connection = None;
                    return Poll::Ready(Some(Err(e.to_string())));
                }
                Some(Ok(frame)) => {
                    let Ok(data) = frame.into_data() else { continue };
                    return Poll::Ready(Some(Ok(data)));
                }
            }
        }
    }
}
