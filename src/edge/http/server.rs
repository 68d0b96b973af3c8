//! An HTTP listener: one task per connection, as many as are allowed, closed gracefully.

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

use super::{Body, problem_response};
use crate::edge::acceptor::Acceptor;
use crate::error::{Kind, Refusal};
use crate::settings::Connections;

/// Connections over the limit that are told so at the same time; more are cut.
const TOLD: usize = 64;
/// How long telling them may take.
const TELL: Duration = Duration::from_secs(1);
/// When a refused connection may be tried again.
const COME_BACK: Duration = Duration::from_secs(1);

/// What answers the requests of a listener.
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
        from: SocketAddr,
    ) -> impl Future<Output = Response<Body>> + Send;

    /// A connection was refused.
    fn connection_refused(&self, _kind: Kind) {}
}

/// A listener that is bound but does not accept yet.
#[derive(Debug)]
pub struct Listener {
    acceptor: Acceptor,
}

/// What all connections of a listener share.
struct Shared<H> {
    handler: Arc<H>,
    limits: Connections,
    cancel: CancellationToken,
}

impl Listener {
    /// Binds an address; port 0 takes a free one.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        Ok(Self { acceptor: Acceptor::bind(address).await? })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.acceptor.address()
    }

    /// Accepts until cancelled; then lets each connection finish what it began.
    ///
    /// `connections` tracks them: once it is closed and empty, all are done.
    pub fn spawn<H: Handler>(
        self,
        handler: Arc<H>,
        limits: Connections,
        connections: &TaskTracker,
        cancel: CancellationToken,
    ) {
        let shared = Arc::new(Shared { handler, limits, cancel });
        connections.spawn(accept(self.acceptor, shared, connections.clone()));
    }
}

async fn accept<H: Handler>(acceptor: Acceptor, shared: Arc<Shared<H>>, tracker: TaskTracker) {
    let open = Arc::new(Semaphore::new(shared.limits.most));
    let told = Arc::new(Semaphore::new(TOLD));
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
        tracing::warn!(event = "connection_refused", %from, most = shared.limits.most);
        if let Ok(permit) = told.clone().try_acquire_owned() {
            tracker.spawn(async move {
                let _ = tokio::time::timeout(TELL, refuse(stream)).await;
                drop(permit);
            });
        }
    }
}

async fn serve<H: Handler>(stream: TcpStream, from: SocketAddr, shared: Arc<Shared<H>>) {
    let asked = Arc::new(AtomicBool::new(false));
    let (handler, begun) = (shared.handler.clone(), asked.clone());
    let service = service_fn(move |request| {
        begun.store(true, Ordering::Relaxed);
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(request, from).await) }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().timer(TokioTimer::new()).header_read_timeout(shared.limits.head);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    // hyper's own limit begins once the protocol version is known; this one covers
    // a client that does not even send that.
    let first = tokio::time::sleep(shared.limits.head);
    tokio::pin!(first);
    let mut waited = false;
    let ended = loop {
        tokio::select! {
            ended = connection.as_mut() => break ended,
            () = shared.cancel.cancelled() => {
                connection.as_mut().graceful_shutdown();
                break connection.await;
            }
            () = first.as_mut(), if !waited => {
                waited = true;
                if !asked.load(Ordering::Relaxed) {
                    tracing::info!(event = "head_late", %from);
                    return;
                }
            }
        }
    };
    if let Err(e) = ended {
        tracing::debug!(event = "connection_ended", %from, error = %e);
    }
}

/// Answers the first request with the refusal, and closes.
async fn refuse(stream: TcpStream) {
    let service = service_fn(|_: Request<Incoming>| async {
        let refusal = Refusal::new(Kind::TooManyConnections, "try another node").after(COME_BACK);
        Ok::<_, Infallible>(problem_response(&refusal))
    });
    let mut builder = auto::Builder::new(TokioExecutor::new());
    builder.http1().keep_alive(false);
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}
