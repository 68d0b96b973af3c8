//! A TCP gate between two sides: holds what one side sends until it is opened,
//! so that a message is late, or its sender looks paused.

use std::net::SocketAddr;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// What is held.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Hold {
    /// Nothing.
    #[default]
    Nothing,
    /// What the client sends.
    Requests,
    /// What the server sends.
    Replies,
}

/// A running gate. Dropping it ends it.
#[derive(Debug)]
pub struct Gate {
    address: SocketAddr,
    hold: watch::Sender<Hold>,
    caught: watch::Sender<u64>,
}

impl Gate {
    /// Binds an address and forwards to `to`.
    pub async fn bind(address: SocketAddr, to: SocketAddr) -> std::io::Result<Self> {
        let socket = TcpListener::bind(address).await?;
        let address = socket.local_addr()?;
        let (hold, held) = watch::channel(Hold::Nothing);
        let caught = watch::Sender::new(0);
        tokio::spawn(accept(socket, to, held, caught.clone()));
        Ok(Self { address, hold, caught })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Holds one side from now on, or lets everything go.
    pub fn set(&self, hold: Hold) {
        self.hold.send_replace(hold);
    }

    /// Waits until something is held back.
    pub async fn caught(&self) {
        let _ = self.caught.subscribe().wait_for(|count| *count > 0).await;
    }
}

async fn accept(
    socket: TcpListener,
    to: SocketAddr,
    held: watch::Receiver<Hold>,
    caught: watch::Sender<u64>,
) {
    let mut ended = held.clone();
    loop {
        let accepted = tokio::select! {
            accepted = socket.accept() => accepted,
            gone = ended.wait_for(|_| false) => {
                drop(gone);
                return;
            }
        };
        let Ok((client, _)) = accepted else { continue };
        let Ok(server) = TcpStream::connect(to).await else { continue };
        let (from_client, to_client) = client.into_split();
        let (from_server, to_server) = server.into_split();
        tokio::spawn(copy(from_client, to_server, held.clone(), Hold::Requests, caught.clone()));
        tokio::spawn(copy(from_server, to_client, held.clone(), Hold::Replies, caught.clone()));
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    mut held: watch::Receiver<Hold>,
    side: Hold,
    caught: watch::Sender<u64>,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(count) = from.read(&mut buffer).await else { return };
        if count > 0 && *held.borrow() == side {
            caught.send_modify(|count| *count += 1);
        }
        if held.wait_for(|h| *h != side).await.is_err() || count == 0 {
            return;
        }
        if to.write_all(&buffer[..count]).await.is_err() {
            return;
        }
    }
}
