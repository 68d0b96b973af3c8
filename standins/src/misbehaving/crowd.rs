//! Many clients that behave in the same way at once.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::Behaviour;

/// How often a client connects again after its connection was closed.
const RECONNECTS: usize = 2;
/// How long a client waits for the other side to read. Then it holds the connection as it is.
const WRITE_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections of misbehaving clients. They are closed when it is dropped.
#[derive(Debug)]
pub struct Crowd {
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Opens `size` connections to an address. Returns once each client has sent what it can and
    /// holds its connection, or was cut off for the last time.
    pub async fn connect(to: SocketAddr, size: usize, behaviour: &Behaviour) -> Self {
        let (settled, mut all_settled) = mpsc::channel::<()>(1);
        let mut clients = JoinSet::new();
        for _ in 0..size {
            clients.spawn(misbehave(to, behaviour.clone(), settled.clone()));
        }
        drop(settled);
        while all_settled.recv().await.is_some() {}
        Self { _clients: clients }
    }
}

/// Plays one client. Drops `settled` once it only holds its connection.
async fn misbehave(to: SocketAddr, behaviour: Behaviour, settled: mpsc::Sender<()>) {
    for _ in 0..=RECONNECTS {
        let Ok(mut stream) = TcpStream::connect(to).await else { continue };
        let _ = stream.set_nodelay(true);
        match &behaviour {
            Behaviour::Raw { opening, filler, bytes } => {
                if send_raw(&mut stream, opening, filler, *bytes).await {
                    drop(settled);
                    return std::future::pending().await;
                }
            }
            Behaviour::Trickle { opening, filler, pause } => {
                if send_raw(&mut stream, opening, filler, opening.len()).await {
                    drop(settled);
                    trickle(&mut stream, filler, *pause).await;
                    return;
                }
            }
            Behaviour::Streams { head, count, bytes } => {
                let (head, count, bytes) = (head.as_ref(), *count, *bytes);
                if let Ok(streams) = open_streams(stream, head, count, bytes).await {
                    drop(settled);
                    streams.hold().await;
                    return;
                }
            }
        }
    }
}

/// Sends bytes; false if the connection was closed meanwhile.
async fn send_raw(stream: &mut TcpStream, opening: &Bytes, filler: &Bytes, bytes: usize) -> bool {
    let mut sent = 0;
    let mut piece = opening;
    while sent < bytes {
        match tokio::time::timeout(WRITE_TIMEOUT, stream.write_all(piece)).await {
            Ok(Ok(())) => sent += piece.len(),
            Ok(Err(_)) => return false,
            // The other side does not read.
            Err(_) => return true,
        }
        piece = filler;
    }
    true
}

/// Sends a few bytes at a time until the connection is closed.
async fn trickle(stream: &mut TcpStream, filler: &Bytes, pause: Duration) {
    while stream.write_all(filler).await.is_ok() {
        tokio::time::sleep(pause).await;
    }
}

/// Open streams of one HTTP/2 connection.
struct Streams {
    _sending: Vec<h2::SendStream<Bytes>>,
    _responses: Vec<h2::client::ResponseFuture>,
    connection: h2::client::Connection<TcpStream>,
}

impl Streams {
    /// Drives the connection until the other side closes it.
    async fn hold(self) {
        let _ = self.connection.await;
    }
}

/// Opens streams with a body each that does not end.
async fn open_streams(
    stream: TcpStream,
    head: &http::Request<()>,
    count: usize,
    bytes: usize,
) -> Result<Streams, h2::Error> {
    let (mut sender, mut connection) = h2::client::handshake(stream).await?;
    let (mut sending, mut responses) = (Vec::new(), Vec::new());
    let opening = async {
        for _ in 0..count {
            sender = sender.clone().ready().await?;
            let (response, mut body) = sender.send_request(head.clone(), false)?;
            body.send_data(Bytes::from(vec![b'c'; bytes]), false)?;
            sending.push(body);
            responses.push(response);
        }
        Ok::<_, h2::Error>(())
    };
    tokio::select! {
        opened = opening => opened?,
        ended = &mut connection => ended?,
        // The other side allows no more streams.
        () = tokio::time::sleep(WRITE_TIMEOUT) => {}
    }
    // The windows open and close until nothing moves any more.
    tokio::select! {
        ended = &mut connection => ended?,
        () = tokio::time::sleep(WRITE_TIMEOUT) => {}
    }
    Ok(Streams { _sending: sending, _responses: responses, connection })
}
