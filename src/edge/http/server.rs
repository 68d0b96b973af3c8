//! An HTTP listener with one task per connection, a limit on open connections, and graceful
//! shutdown.

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::activity::Activity;
use super::guarded_stream::{BUFFER_FACTOR, GuardedStream};
use super::{Body, WriteTimeout, problem_response};
use crate::decide::load::HeadLimits;
use crate::edge::acceptor::Acceptor;
use crate::edge::connection_slots::ConnectionSlots;
use crate::edge::{MemoryBudget, Reclaimable};
use crate::error::{Kind, Refusal};
use crate::settings::ConnectionSettings;

/// The most connections over the limit that are sent a refusal at the same time. Others are closed
/// without a response.
const MAX_OPEN_REFUSALS: usize = 64;
/// The same as one part in this many of the limit, if that is less.
const REFUSAL_DIVISOR: usize = 8;
/// How long a connection that has to make room may take to end.
const RECLAIM_TIMEOUT: Duration = Duration::from_secs(1);
/// The smallest buffer that the HTTP library allows.
const MIN_BUFFER_BYTES: usize = 8 << 10;
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

    /// Returns the limits on the heads of a new connection's requests. `None` for those in the
    /// settings of the listener.
    fn head_limits(&self) -> Option<HeadLimits> {
        None
    }

    /// Called for each connection that is refused or closed because of a limit.
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
    slots: ConnectionSlots,
    refusals: Arc<Semaphore>,
    /// For heads of requests that are larger than usual.
    head_memory: MemoryBudget,
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
        let refusals = (limits.max_open / REFUSAL_DIVISOR).clamp(1, MAX_OPEN_REFUSALS);
        let shared = Arc::new(Shared {
            handler,
            limits,
            cancel,
            slots: ConnectionSlots::new(limits.max_open),
            refusals: Arc::new(Semaphore::new(refusals)),
            head_memory: MemoryBudget::new(limits.head_memory),
        });
        connections.spawn(accept(self.acceptor, shared, connections.clone()));
    }
}

/// Accepts connections and refuses those over the limit.
async fn accept<H: Handler>(acceptor: Acceptor, shared: Arc<Shared<H>>, tracker: TaskTracker) {
    while let Some((stream, from)) = acceptor.accept(&shared.cancel).await {
        if let Some(slot) = shared.slots.admit() {
            tracker.spawn(serve(stream, from, shared.clone(), slot));
            continue;
        }
        shared.handler.connection_refused(Kind::TooManyConnections);
        tracing::warn!(event = "connection_refused", %from, most = shared.limits.max_open);
        if let Ok(permit) = shared.refusals.clone().try_acquire_owned() {
            tracker.spawn(async move {
                let _ = tokio::time::timeout(REFUSAL_TIMEOUT, refuse(stream)).await;
                drop(permit);
            });
        }
    }
}

impl<H: Handler> Shared<H> {
    /// Returns the limits on the heads of a new connection's requests, as far as the memory allows.
    fn head_limits(&self) -> HeadLimits {
        let limits = self.handler.head_limits().unwrap_or_else(|| self.limits.head_limits());
        let most = self.head_memory.limit().map_or(usize::MAX, |limit| limit / BUFFER_FACTOR);
        HeadLimits { max_bytes: limits.max_bytes.min(most).max(MIN_BUFFER_BYTES), ..limits }
    }
}

/// Serves one connection until it ends.
async fn serve<H: Handler>(
    stream: TcpStream,
    from: SocketAddr,
    shared: Arc<Shared<H>>,
    slot: Arc<Reclaimable>,
) {
    let activity = Activity::new(shared.slots.waiting().clone(), slot);
    let limits = shared.head_limits();
    let (handler, requests) = (shared.handler.clone(), activity.clone());
    let service = service_fn(move |request| {
        let (handler, open) = (handler.clone(), requests.begin());
        async move {
            let response = handler.handle(request, from).await;
            Ok::<_, Infallible>(response.map(|body| open.track(body)))
        }
    });
    let stream = WriteTimeout::new(stream, shared.limits.write_timeout);
    let memory = shared.head_memory.clone();
    let stream = GuardedStream::new(stream, activity.clone(), limits, memory);
    let mut builder = http1::Builder::new();
    builder.max_buf_size(limits.max_bytes).header_read_timeout(None);
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = shared.cancel.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        () = activity.reclaimed().cancelled() => {
            tracing::info!(event = "connection_reclaimed", %from);
            connection.as_mut().graceful_shutdown();
            finish(connection, &activity).await
        }
    };
    let Err(e) = ended else { return };
    if e.is_parse_too_large() {
        shared.handler.connection_refused(Kind::HeadTooLarge);
        tracing::info!(event = "head_refused", %from, limit = limits.max_bytes);
    } else {
        tracing::debug!(event = "connection_ended", %from, error = %e);
    }
}

/// Waits until a connection has ended that takes no more requests. One that only waits is given up
/// after a time.
async fn finish<C>(mut connection: Pin<&mut C>, activity: &Activity) -> hyper::Result<()>
where
    C: Future<Output = hyper::Result<()>>,
{
    loop {
        match tokio::time::timeout(RECLAIM_TIMEOUT, connection.as_mut()).await {
            Ok(ended) => return ended,
            Err(_) if activity.is_idle() => return Ok(()),
            Err(_) => {}
        }
    }
}

/// Answers the first request of a connection with a refusal and closes the connection.
async fn refuse(stream: TcpStream) {
    let service = service_fn(|_: Request<Incoming>| async {
        let refusal = Refusal::new(Kind::TooManyConnections, "try another node")
            .with_retry_after(REFUSAL_RETRY_AFTER);
        Ok::<_, Infallible>(problem_response(&refusal))
    });
    let mut builder = http1::Builder::new();
    builder.keep_alive(false).max_buf_size(MIN_BUFFER_BYTES).header_read_timeout(None);
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}
