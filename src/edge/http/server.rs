//! An HTTP listener: one task per connection, closed gracefully.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::Body;

/// How long a client may take to send the head of a request.
const HEAD: Duration = Duration::from_secs(10);
/// Pause after a failed accept, such as when descriptors run out.
const PAUSE: Duration = Duration::from_millis(50);

/// What answers the requests of a listener.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn answer(
        self: Arc<Self>,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> impl Future<Output = Response<Body>> + Send;
}

/// A listener that is bound but does not accept yet.
#[derive(Debug)]
pub struct Listener {
    socket: TcpListener,
    address: SocketAddr,
}

impl Listener {
    /// Binds an address; port 0 takes a free one.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        let address = socket.local_addr()?;
        Ok(Self { socket, address })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Accepts until cancelled; then lets each connection finish what it began.
    ///
    /// `connections` tracks them: once it is closed and empty, all are done.
    pub fn spawn<H: Handler>(
        self,
        handler: Arc<H>,
        connections: &TaskTracker,
        cancel: CancellationToken,
    ) {
        let tracker = connections.clone();
        connections.spawn(async move {
            loop {
                let accepted = tokio::select! {
                    () = cancel.cancelled() => return,
                    accepted = self.socket.accept() => accepted,
                };
                match accepted {
                    Ok((stream, from)) => {
                        let handler = handler.clone();
                        tracker.spawn(serve(stream, from, handler, cancel.clone()));
                    }
                    Err(e) => {
                        tracing::warn!(event = "accept_failed", error = %e);
                        tokio::time::sleep(PAUSE).await;
                    }
                }
            }
        });
    }
}

async fn serve<H: Handler>(
    stream: TcpStream,
    from: SocketAddr,
    handler: Arc<H>,
    cancel: CancellationToken,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.answer(request, from).await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(HEAD);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = cancel.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(e) = ended {
        tracing::debug!(event = "connection_ended", %from, error = %e);
    }
}
