//! A TCP proxy that holds back what one side sends until a test releases it, so that a message is
//! late or its sender appears to be paused.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Which traffic the proxy holds back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum HeldTraffic {
    /// Nothing.
    #[default]
    Nothing,
    /// What the client sends.
    Requests,
    /// What the server sends.
    Responses,
}

/// A running proxy. Dropping it closes it.
#[derive(Debug)]
pub struct HoldingProxy {
    address: SocketAddr,
    held: watch::Sender<HeldTraffic>,
    /// How many reads have been held back so far.
    held_reads: watch::Sender<u64>,
}

impl HoldingProxy {
    /// Binds an address and forwards its connections to `server`.
    pub async fn bind(address: SocketAddr, server: SocketAddr) -> std::io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        let address = socket.local_addr()?;
        let (held, held_now) = watch::channel(HeldTraffic::Nothing);
        let held_reads = watch::Sender::new(0);
        tokio::spawn(accept(socket, server, held_now, held_reads.clone()));
        Ok(Self { address, held, held_reads })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets which traffic is held back from now on; other traffic held so far is released.
    pub fn hold(&self, held: HeldTraffic) {
        self.held.send_replace(held);
    }

    /// Waits until something has been held back, now or earlier.
    pub async fn wait_until_held(&self) {
        let _ = self.held_reads.subscribe().wait_for(|count| *count > 0).await;
    }
}

/// Forwards connections until the proxy is dropped.
async fn accept(
    socket: TcpListener,
    server: SocketAddr,
    held: watch::Receiver<HeldTraffic>,
    held_reads: watch::Sender<u64>,
) {
    let mut proxy_dropped = held.clone();
    loop {
        let accepted = tokio::select! {
            accepted = socket.accept() => accepted,
            closed = proxy_dropped.wait_for(|_| false) => {
                drop(closed);
                return;
            }
        };
        let Ok((client, _)) = accepted else { continue };
        let Ok(server) = TcpStream::connect(server).await else { continue };
        let (from_client, to_client) = client.into_split();
        let (from_server, to_server) = server.into_split();
        tokio::spawn(copy(
            from_client,
            to_server,
            held.clone(),
            HeldTraffic::Requests,
            held_reads.clone(),
        ));
        tokio::spawn(copy(
            from_server,
            to_client,
            held.clone(),
            HeldTraffic::Responses,
            held_reads.clone(),
        ));
    }
}

/// Copies one direction of a connection, and waits while it is held back.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut held: watch::Receiver<HeldTraffic>,
    direction: HeldTraffic,
    held_reads: watch::Sender<u64>,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(count) = from.read(&mut buffer).await else { return };
        if count > 0 && *held.borrow() == direction {
            held_reads.send_modify(|count| *count += 1);
        }
        if held.wait_for(|h| *h != direction).await.is_err() || count == 0 {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
