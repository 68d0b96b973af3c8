//! A bound TCP listener that accepts until it is cancelled.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Pause after a failed accept, such as when descriptors run out.
const PAUSE: Duration = Duration::from_millis(50);

/// The listener. Dropping it closes the port.
#[derive(Debug)]
pub(super) struct Acceptor {
    listener: TcpListener,
    address: SocketAddr,
}

impl Acceptor {
    /// Binds an address; port 0 takes a free one.
    pub(super) async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        Ok(Self { listener, address })
    }

    /// The bound address.
    pub(super) fn address(&self) -> SocketAddr {
        self.address
    }

    /// The next connection; `None` once cancelled.
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
                    // Only delays small messages if it fails.
                    let _ = stream.set_nodelay(true);
                    return Some((stream, from));
                }
                Err(e) => {
                    tracing::warn!(event = "accept_failed", at = %self.address, error = %e);
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    }
}
