//! Connections to many servers, each kept for its next request.
//!
//! hyper's own pooled client hides which connection a request goes over and whether its
//! bytes left. Here an unsent request is told from one that may have run, and a connection
//! whose answer was not read to its end is cut, so that the other side stops its work.

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

/// Probes on a connection without traffic, so that one that has gone silent for good is
/// found while a watch waits on it.
const PROBES: TcpKeepalive = TcpKeepalive::new()
    .with_time(Duration::from_secs(1))
    .with_interval(Duration::from_secs(1))
    .with_retries(1);
/// How long sent bytes or probes may stay without a sign of the other side.
const SILENT: Duration = Duration::from_millis(2_000);
/// A connection is used no more this long before the other side closes it, so that no
/// request crosses the close.
const EARLY: Duration = Duration::from_millis(700);
/// Unused connections that are kept for one address; more are closed.
const KEPT: usize = 16;

/// Why a request has no answer.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum SendError {
    /// No byte of it left.
    #[error("not sent: {0}")]
    Unsent(String),
    /// It may have been received.
    #[error("broke off: {0}")]
    Interrupted(String),
}

/// One open connection. It is cut when dropped.
#[derive(Debug)]
struct Link {
    sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
    /// How long it is kept unused.
    keep: Duration,
    /// Until when it may be used again.
    until: Instant,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

#[derive(Debug)]
struct Inner {
    idle: Mutex<HashMap<SocketAddr, Vec<Link>>>,
    connect: Duration,
    keep: Duration,
}

/// The pool. Cloning it shares the connections.
#[derive(Debug, Clone)]
pub struct ConnectionPool {
    inner: Arc<Inner>,
}

impl ConnectionPool {
    /// A pool that opens a connection within `connect` and keeps an unused one for `keep`.
    pub fn new(connect: Duration, keep: Duration) -> Self {
        let idle = Mutex::default();
        Self { inner: Arc::new(Inner { idle, connect, keep }) }
    }

    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<ResponseBody>, SendError> {
        let mut request = request;
        while let Some(link) = self.idle(to) {
            match exchange(link, request).await {
                Ok(answer) => return Ok(self.opened(to, answer)),
                Err((SendError::Unsent(_), Some(unsent))) => request = *unsent,
                Err((error, _)) => return Err(error),
            }
        }
        let link = self.connect(to).await?;
        let answer = exchange(link, request).await.map_err(|(error, _)| error)?;
        Ok(self.opened(to, answer))
    }

    /// Closes the unused connections to an address, whose server is gone.
    pub fn close_idle(&self, to: SocketAddr) {
        self.inner.idle.lock().remove(&to);
    }

    fn idle(&self, to: SocketAddr) -> Option<Link> {
        let mut idle = self.inner.idle.lock();
        let links = idle.get_mut(&to)?;
        let found = loop {
            let link = links.pop()?;
            if link.until > Instant::now() && !link.sender.is_closed() {
                break link;
            }
        };
        Some(found)
    }

    async fn connect(&self, to: SocketAddr) -> Result<Link, SendError> {
        let opening = async {
            let stream = TcpStream::connect(to).await?;
            stream.set_nodelay(true)?;
            let socket = SockRef::from(&stream);
            socket.set_tcp_keepalive(&PROBES)?;
            socket.set_tcp_user_timeout(Some(SILENT))?;
            Ok::<_, std::io::Error>(stream)
        };
        let stream = match tokio::time::timeout(self.inner.connect, opening).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) => return Err(SendError::Unsent(e.to_string())),
            Err(_) => return Err(SendError::Unsent("no connection in time".to_owned())),
        };
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(|e| SendError::Unsent(e.to_string()))?;
        let driver = tokio::spawn(async move {
            if let Err(e) = connection.await {
                tracing::debug!(event = "connection_ended", %to, error = %e);
            }
        });
        Ok(Link {
            sender,
            driver: driver.abort_handle(),
            keep: self.inner.keep,
            until: Instant::now(),
        })
    }

    fn opened(&self, to: SocketAddr, answer: (Link, Response<Incoming>)) -> Response<ResponseBody> {
        let (mut link, response) = answer;
        let (head, body) = response.into_parts();
        let keep = stated(&head.headers).map_or(self.inner.keep, |t| t.saturating_sub(EARLY));
        link.keep = keep;
        let mut pieces = ResponseBody { body, link: Some(link), pool: self.inner.clone(), to };
        if pieces.body.is_end_stream() {
            pieces.give_back();
        }
        Response::from_parts(head, pieces)
    }
}

/// How long the other side keeps an unused connection, by its own word.
fn stated(headers: &HeaderMap) -> Option<Duration> {
    let text = headers.get("keep-alive")?.to_str().ok()?;
    let seconds = text.split(',').find_map(|part| part.trim().strip_prefix("timeout="))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

type Unsent = Option<Box<Request<Full<Bytes>>>>;

async fn exchange(
    mut link: Link,
    request: Request<Full<Bytes>>,
) -> Result<(Link, Response<Incoming>), (SendError, Unsent)> {
    match link.sender.try_send_request(request).await {
        Ok(response) => Ok((link, response)),
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

/// The body of an answer. Its connection is kept once it is read to its end, else cut.
#[derive(Debug)]
pub struct ResponseBody {
    body: Incoming,
    link: Option<Link>,
    pool: Arc<Inner>,
    to: SocketAddr,
}

impl ResponseBody {
    fn give_back(&mut self) {
        let Some(mut link) = self.link.take() else { return };
        link.until = Instant::now() + link.keep;
        let mut idle = self.pool.idle.lock();
        let links = idle.entry(self.to).or_default();
        if links.len() < KEPT {
            links.push(link);
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
                    self.give_back();
                    return Poll::Ready(None);
                }
                Some(Err(e)) => {
                    self.link = None;
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
