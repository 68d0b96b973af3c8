//! A bound TCP listener that accepts until it is cancelled.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// How long to wait after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// A bound TCP listener. Dropping it closes the port.
#[derive(Debug)]
pub(super) struct Acceptor {
    listener: TcpListener,
    address: SocketAddr,
}

impl Acceptor {
    /// Binds an address. Port 0 lets the operating system choose a free port.
    pub(super) async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address })
    }

    /// Returns the bound address.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits for the next connection. Returns `None` once cancelled.
    pub(super) async fn accept(
        &self,
        cancel: &CancellationToken,
    ) -> Option<(TcpStream, SocketAddr)> {
        loop {
            let accepted = tokio::select! {
                () = cancel.cancelled() => return None,
                accepted = self.listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, from)) => {
                    // A failure only delays small messages, so it is ignored.
                    let _ = stream.set_nodelay(true);
                    return Some((stream, from));
                }
                Err(e) => {
                    tracing::warn!(event = "accept_failed", at = %self.address, error = %e);
                    tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
    }
}
