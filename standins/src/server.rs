//! A small HTTP server that can cut single connections and stop without finishing requests.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use mulberrycourse::edge::http::{Body, full_body};
use serde::Serialize;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

/// Returned in place of a response to cut the connection.
#[derive(Debug, thiserror::Error)]
#[error("connection cut by an injected fault")]
pub struct ConnectionCut;

/// The response of a stand-in.
pub type ServiceResult = Result<Response<Body>, ConnectionCut>;

/// The service behind a server.
pub trait Service: Send + Sync + 'static {
    /// Responds to one request, or cuts its connection.
    fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> impl Future<Output = ServiceResult> + Send;
}

/// A running server. Dropping it stops it and cuts its connections.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    cancel: CancellationToken,
}

impl Server {
    /// Binds an address and serves.
    pub async fn bind<S: Service>(address: SocketAddr, service: Arc<S>) -> std::io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        let address = socket.local_addr()?;
        let cancel = CancellationToken::new();
        tokio::spawn(accept(socket, service, cancel.clone()));
        Ok(Self { address, cancel })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops at once and cuts all connections; requests in flight are not finished.
    pub fn kill(&self) {
        self.cancel.cancel();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.kill();
    }
}

async fn accept<S: Service>(socket: TcpListener, service: Arc<S>, cancel: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = cancel.cancelled() => return,
            accepted = socket.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else { continue };
        let _ = stream.set_nodelay(true);
        let service = service.clone();
        let cancel = cancel.clone();
        tokio::spawn(async move {
            let service = service_fn(move |request| service.clone().handle(request));
            let builder = auto::Builder::new(TokioExecutor::new());
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                () = cancel.cancelled() => {}
                _ = connection => {}
            }
        });
    }
}

/// A JSON response.
pub fn json_response<T: Serialize>(status: StatusCode, value: &T) -> ServiceResult {
    Ok(mulberrycourse::edge::http::json_response(status, value))
}

/// A response with a plain text, which may be empty.
pub fn text_response(status: StatusCode, text: impl Into<Bytes>) -> ServiceResult {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    Ok(response)
}
