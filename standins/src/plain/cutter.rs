//! A plain service on a bare socket, which cuts its connection at a chosen point and
//! counts the requests that it truly ran.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_util::sync::CancellationToken;

/// Where the connection is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Point {
    /// Nothing listens.
    Connect,
    /// Accepted, and closed before a byte is read.
    Accept,
    /// In the head of the request.
    Head,
    /// After the head, before the body.
    Headers,
    /// In the body of the request.
    Body,
    /// After the whole request was read, which then did not run.
    Read,
    /// After it ran, before the first byte of the answer.
    Ran,
    /// In the head of the answer.
    AnswerHead,
    /// After the head of the answer.
    AnswerHeaders,
    /// In the body of the answer.
    AnswerBody,
    /// Nowhere: the whole answer is given.
    Nowhere,
}

impl Point {
    /// Every point.
    pub const ALL: [Self; 11] = [
        Self::Connect,
        Self::Accept,
        Self::Head,
        Self::Headers,
        Self::Body,
        Self::Read,
        Self::Ran,
        Self::AnswerHead,
        Self::AnswerHeaders,
        Self::AnswerBody,
        Self::Nowhere,
    ];
}

/// Connections that wait to be accepted.
const BACKLOG: u32 = 64;
/// The answer, in full.
const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nran once";
/// Bytes of the answer's head.
const ANSWER_HEAD: usize = ANSWER.len() - 8;

/// A running cutter. Dropping it ends it.
#[derive(Debug)]
pub struct Cutter {
    address: SocketAddr,
    ran: Arc<AtomicU64>,
    cancel: CancellationToken,
    /// Bound and not listening: nobody else gets the port, and connects are refused.
    _held: Option<TcpSocket>,
}

impl Cutter {
    /// Binds an address. After the first connection nothing listens any more if `once`.
    pub async fn bind(address: SocketAddr, point: Point, once: bool) -> std::io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(address)?;
        let address = socket.local_addr()?;
        let ran = Arc::new(AtomicU64::new(0));
        let cancel = CancellationToken::new();
        let held = if point == Point::Connect {
            Some(socket)
        } else {
            let socket = socket.listen(BACKLOG)?;
            tokio::spawn(accept(socket, point, once, ran.clone(), cancel.clone()));
            None
        };
        Ok(Self { address, ran, cancel, _held: held })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How many requests ran.
    pub fn ran(&self) -> u64 {
        self.ran.load(Ordering::SeqCst)
    }
}

impl Drop for Cutter {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

async fn accept(
    socket: TcpListener,
    point: Point,
    once: bool,
    ran: Arc<AtomicU64>,
    cancel: CancellationToken,
) {
    loop {
        let accepted = tokio::select! {
            () = cancel.cancelled() => return,
            accepted = socket.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else { continue };
        if once {
            drop(socket);
            let _ = serve(stream, point, &ran).await;
            return;
        }
        tokio::spawn({
            let ran = ran.clone();
            async move { serve(stream, point, &ran).await }
        });
    }
}

/// Serves one connection up to the point where it is cut.
async fn serve(mut stream: TcpStream, point: Point, ran: &AtomicU64) -> std::io::Result<()> {
    let mut seen = Vec::new();
    let mut buffer = [0; 512];
    loop {
        if point == Point::Accept {
            return Ok(());
        }
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        seen.extend_from_slice(&buffer[..count]);
        if point == Point::Head {
            return Ok(());
        }
        let Some(end) = seen.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4) else {
            continue;
        };
        if point == Point::Headers || (point == Point::Body && seen.len() > end) {
            return Ok(());
        }
        if seen.len() >= end + length(&seen[..end]) {
            break;
        }
    }
    let sent = match point {
        Point::Read => return Ok(()),
        Point::Ran => 0,
        Point::AnswerHead => 10,
        Point::AnswerHeaders => ANSWER_HEAD,
        Point::AnswerBody => ANSWER_HEAD + 3,
        Point::Nowhere => ANSWER.len(),
        Point::Connect | Point::Accept | Point::Head | Point::Headers | Point::Body => 0,
    };
    ran.fetch_add(1, Ordering::SeqCst);
    stream.write_all(&ANSWER[..sent]).await?;
    stream.shutdown().await
}

/// The length of the body that a head announces.
fn length(head: &[u8]) -> usize {
    let text = String::from_utf8_lossy(head).to_lowercase();
    let line = text.lines().find_map(|l| l.strip_prefix("content-length:"));
    line.and_then(|l| l.trim().parse().ok()).unwrap_or_default()
}
