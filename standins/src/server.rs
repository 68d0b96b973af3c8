//! A small HTTP server that can cut, freeze and die on order.

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

/// Answered in place of a response: the connection is cut.
#[derive(Debug, thiserror::Error)]
#[error("cut on order")]
pub struct Cut;

/// What a stand-in answers.
pub type Answer = Result<Response<Body>, Cut>;

/// The service behind a server.
pub trait Service: Send + Sync + 'static {
    /// Answers one request, or cuts its connection.
    fn answer(self: Arc<Self>, request: Request<Incoming>) -> impl Future<Output = Answer> + Send;
}

/// A running server. Dropping it ends it and cuts its connections.
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

    /// Ends at once: nothing in flight is finished.
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
            let service = service_fn(move |request| service.clone().answer(request));
            let builder = auto::Builder::new(TokioExecutor::new());
            let connection = builder.serve_connection(TokioIo::new(stream), service);
            tokio::select! {
                () = cancel.cancelled() => {}
                _ = connection => {}
            }
        });
    }
}

/// A JSON answer.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Answer {
    Ok(mulberrycourse::edge::http::json_response(status, value))
}

/// An empty or textual answer.
pub fn text(status: StatusCode, text: impl Into<Bytes>) -> Answer {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    Ok(response)
}
