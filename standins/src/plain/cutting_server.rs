//! A plain service on a TCP socket, which cuts its connections at a chosen point and counts the
//! requests that it ran.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio_util::sync::CancellationToken;

/// Where a connection is cut.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CutPoint {
    /// Connections are refused.
    Connect,
    /// After it is accepted, before a byte is read.
    Accept,
    /// In the head of the request.
    RequestHead,
    /// After the head of the request, before its body.
    AfterRequestHead,
    /// In the body of the request.
    RequestBody,
    /// After the whole request is read, which then does not run.
    AfterRequest,
    /// After the request ran, before the first byte of the response.
    AfterRun,
    /// In the head of the response.
    ResponseHead,
    /// After the head of the response.
    AfterResponseHead,
    /// In the body of the response.
    ResponseBody,
    /// Nowhere: the whole response is sent.
    Never,
}

impl CutPoint {
    /// Every point.
    pub const ALL: [Self; 11] = [
        Self::Connect,
        Self::Accept,
        Self::RequestHead,
        Self::AfterRequestHead,
        Self::RequestBody,
        Self::AfterRequest,
        Self::AfterRun,
        Self::ResponseHead,
        Self::AfterResponseHead,
        Self::ResponseBody,
        Self::Never,
    ];
}

/// How many connections may wait to be accepted.
const LISTEN_BACKLOG: u32 = 64;
/// The whole response.
const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 8\r\n\r\nran once";
/// Length of the response's head.
const RESPONSE_HEAD_BYTES: usize = RESPONSE.len() - 8;

/// A running server. Dropping it stops it.
#[derive(Debug)]
pub struct CuttingServer {
    address: SocketAddr,
    run_count: Arc<AtomicU64>,
    cancel: CancellationToken,
    /// Bound but not listening, so that no other process gets the port and connections are refused.
    _reserved: Option<TcpSocket>,
}

impl CuttingServer {
    /// Binds an address. If `once`, the server stops to listen after the first connection.
    pub async fn bind(address: SocketAddr, point: CutPoint, once: bool) -> std::io::Result<Self> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(address)?;
        let address = socket.local_addr()?;
        let run_count = Arc::new(AtomicU64::new(0));
        let cancel = CancellationToken::new();
        let reserved = if point == CutPoint::Connect {
            Some(socket)
        } else {
            let socket = socket.listen(LISTEN_BACKLOG)?;
            tokio::spawn(accept(socket, point, once, run_count.clone(), cancel.clone()));
            None
        };
        Ok(Self { address, run_count, cancel, _reserved: reserved })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How many requests ran.
    pub fn run_count(&self) -> u64 {
        self.run_count.load(Ordering::SeqCst)
    }
}

impl Drop for CuttingServer {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

async fn accept(
    socket: TcpListener,
    point: CutPoint,
    once: bool,
    run_count: Arc<AtomicU64>,
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
            let _ = serve(stream, point, &run_count).await;
            return;
        }
        tokio::spawn({
            let run_count = run_count.clone();
            async move { serve(stream, point, &run_count).await }
        });
    }
}

/// Serves one connection up to the point where it is cut.
async fn serve(
    mut stream: TcpStream,
    point: CutPoint,
    run_count: &AtomicU64,
) -> std::io::Result<()> {
    let mut received = Vec::new();
    let mut buffer = [0; 512];
    loop {
        if point == CutPoint::Accept {
            return Ok(());
        }
        let count = stream.read(&mut buffer).await?;
        if count == 0 {
            return Ok(());
        }
        received.extend_from_slice(&buffer[..count]);
        if point == CutPoint::RequestHead {
            return Ok(());
        }
        let Some(end) = received.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4) else {
            continue;
        };
        if point == CutPoint::AfterRequestHead
            || (point == CutPoint::RequestBody && received.len() > end)
        {
            return Ok(());
        }
        if received.len() >= end + body_length(&received[..end]) {
            break;
        }
    }
    let sent_bytes = match point {
        CutPoint::AfterRequest => return Ok(()),
        CutPoint::AfterRun => 0,
        CutPoint::ResponseHead => 10,
        CutPoint::AfterResponseHead => RESPONSE_HEAD_BYTES,
        CutPoint::ResponseBody => RESPONSE_HEAD_BYTES + 3,
        CutPoint::Never => RESPONSE.len(),
        CutPoint::Connect
        | CutPoint::Accept
        | CutPoint::RequestHead
        | CutPoint::AfterRequestHead
        | CutPoint::RequestBody => 0,
    };
    run_count.fetch_add(1, Ordering::SeqCst);
    stream.write_all(&RESPONSE[..sent_bytes]).await?;
    stream.shutdown().await
}

/// The length of the body by the `content-length` of a head, 0 if it has none.
fn body_length(head: &[u8]) -> usize {
    let text = String::from_utf8_lossy(head).to_lowercase();
    let line = text.lines().find_map(|l| l.strip_prefix("content-length:"));
    line.and_then(|l| l.trim().parse().ok()).unwrap_or_default()
}
