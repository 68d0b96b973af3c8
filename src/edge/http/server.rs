//! An HTTP listener with one task per connection, a limit on open connections, and graceful
//! shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::{Body, WriteTimeout, problem_response};
use crate::edge::acceptor::Acceptor;
use crate::error::{Kind, Refusal};
use crate::settings::ConnectionSettings;

/// The most connections over the limit that are sent a refusal at the same time. Others are closed
/// without a response.
const MAX_OPEN_REFUSALS: usize = 64;
/// How long sending a refusal may take.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// The time after which a refused client may try again.
const REFUSAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Handles the requests of a listener.
pub trait Handler: Send + Sync + 'static {
    /// Handles one request from the address `from`.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> impl Future<Output = Response<Body>> + Send;

    /// Called for each connection that is refused because of the limit.
    fn connection_refused(&self, _kind: Kind) {}
}

/// A listener that is bound but does not accept connections yet.
#[derive(Debug)]
pub struct Listener {
    acceptor: Acceptor,
}

/// The state that all connections of a listener share.
struct Shared<H> {
    handler: Arc<H>,
    limits: ConnectionSettings,
    cancel: CancellationToken,
}

impl Listener {
    /// Binds an address. Port 0 lets the operating system choose a free port.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        Ok(Self { acceptor: Acceptor::bind(address).await? })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.acceptor.address()
    }

    /// Accepts connections until cancelled, then lets each connection finish its open requests.
    ///
    /// `connections` tracks the connections. Once it is closed and empty, all have ended.
    pub fn spawn<H: Handler>(
        self,
        handler: Arc<H>,
        limits: ConnectionSettings,
        connections: &TaskTracker,
        cancel: CancellationToken,
    ) {
        let shared = Arc::new(Shared { handler, limits, cancel });
        connections.spawn(accept(self.acceptor, shared, connections.clone()));
    }
}

/// Accepts connections and refuses those over the limit.
async fn accept<H: Handler>(acceptor: Acceptor, shared: Arc<Shared<H>>, tracker: TaskTracker) {
    let open = Arc::new(Semaphore::new(shared.limits.max_open));
    let refusals = Arc::new(Semaphore::new(MAX_OPEN_REFUSALS));
    while let Some((stream, from)) = acceptor.accept(&shared.cancel).await {
        if let Ok(permit) = open.clone().try_acquire_owned() {
            let task = serve(stream, from, shared.clone());
            tracker.spawn(async move {
                task.await;
                drop(permit);
            });
            continue;
        }
        shared.handler.connection_refused(Kind::TooManyConnections);
        tracing::warn!(event = "connection_refused", %from, most = shared.limits.max_open);
        if let Ok(permit) = refusals.clone().try_acquire_owned() {
            tracker.spawn(async move {
                let _ = tokio::time::timeout(REFUSAL_TIMEOUT, refuse(stream)).await;
                drop(permit);
            });
        }
    }
}

/// Serves one connection until it ends.
async fn serve<H: Handler>(stream: TcpStream, from: SocketAddr, shared: Arc<Shared<H>>) {
    let got_request = Arc::new(AtomicBool::new(false));
    let (handler, received) = (shared.handler.clone(), got_request.clone());
    let service = service_fn(move |request| {
        received.store(true, Ordering::Relaxed);
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request, from).await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(shared.limits.head_timeout);
    let stream = WriteTimeout::new(stream, shared.limits.write_timeout);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // hyper's own limit for the head begins once the protocol version is known. This one covers
    // a client that does not send even that.
    let head_timeout = tokio::time::sleep(shared.limits.head_timeout);
    tokio::pin!(head_timeout);
    let mut head_checked = false;
    let ended = loop {
        tokio::select! {
            ended = connection.as_mut() => break ended,
            () = shared.cancel.cancelled() => {
                connection.as_mut().graceful_shutdown();
                break connection.await;
            }
            () = head_timeout.as_mut(), if !head_checked => {
                head_checked = true;
                if !got_request.load(Ordering::Relaxed) {
                    tracing::info!(event = "request_head_timeout", %from);
                    return;
                }
            }
        }
    };
    if let Err(e) = ended {
        tracing::debug!(event = "connection_ended", %from, error = %e);
    }
}

/// Answers the first request of a connection with a refusal and closes the connection.
async fn refuse(stream: TcpStream) {
    let service = service_fn(|_: Request<Incoming>| async {
        let refusal = Refusal::new(Kind::TooManyConnections, "try another node")
            .with_retry_after(REFUSAL_RETRY_AFTER);
        Ok::<_, Infallible>(problem_response(&refusal))
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().keep_alive(false);
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}
