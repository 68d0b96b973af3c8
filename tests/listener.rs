//! Tests of the HTTP listener with connections that wait.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response};
use hyper::body::Incoming;
use mulberrycourse::edge::http::{Body, Handler, Listener, full_body};
use mulberrycourse::settings::ConnectionSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Keeps a failing test from hanging. No assertion depends on its value.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);
/// The size of a response: more than the buffers of the system hold.
const RESPONSE_BYTES: usize = 64 << 20;
const IDLE_TIMEOUT: Duration = Duration::from_millis(200);
const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Answers each request with a large response.
struct Large;

impl Handler for Large {
    async fn handle(self: Arc<Self>, _: Request<Incoming>, _: SocketAddr) -> Response<Body> {
        Response::new(full_body(vec![b'a'; RESPONSE_BYTES]))
    }
}

async fn listen(limits: ConnectionSettings) -> (SocketAddr, CancellationToken) {
    let listener = Listener::bind("127.0.0.1:0".parse().unwrap()).await.unwrap();
    let (address, cancel) = (listener.address(), CancellationToken::new());
    listener.spawn(Arc::new(Large), limits, &TaskTracker::new(), cancel.clone());
    (address, cancel)
}

/// Reads a response to its end.
async fn read_response(client: &mut TcpStream) -> usize {
    let mut bytes = vec![0; 1 << 16];
    let mut read = 0;
    while read < RESPONSE_BYTES {
        match client.read(&mut bytes).await.unwrap() {
            0 => break,
            n => read += n,
        }
    }
    read
}

/// Guards against a connection that counts as idle while its client still reads a response: the response
/// would be cut off.
#[tokio::test]
async fn a_response_that_is_read_late_is_whole() {
    let limits =
        ConnectionSettings { idle_timeout: Some(IDLE_TIMEOUT), ..ConnectionSettings::default() };
    let (address, _cancel) = listen(limits).await;
    let mut client = TcpStream::connect(address).await.unwrap();
    client.write_all(REQUEST).await.unwrap();
    tokio::time::sleep(5 * IDLE_TIMEOUT).await;
    let read = tokio::time::timeout(TEST_TIMEOUT, read_response(&mut client)).await.unwrap();
    assert!(read >= RESPONSE_BYTES, "{read} bytes");
    // Then it is idle, and closed in time.
    let mut rest = Vec::new();
    let ended = tokio::time::timeout(TEST_TIMEOUT, client.read_to_end(&mut rest)).await;
    assert!(ended.is_ok(), "still open");
}

/// Guards against the same where the connection has to make room for others.
#[tokio::test]
async fn a_response_that_is_read_late_is_whole_beside_other_clients() {
    let (address, _cancel) =
        listen(ConnectionSettings { max_open: 1, ..ConnectionSettings::default() }).await;
    let mut client = TcpStream::connect(address).await.unwrap();
    client.write_all(REQUEST).await.unwrap();
    // Longer than an idle connection is left alone.
    tokio::time::sleep(Duration::from_millis(5_500)).await;
    let mut other = TcpStream::connect(address).await.unwrap();
    other.write_all(REQUEST).await.unwrap();
    let mut first = [0; 12];
    other.read_exact(&mut first).await.unwrap();
    assert_eq!(&first, b"HTTP/1.1 200", "the connection was not reclaimed");
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    let read = tokio::time::timeout(TEST_TIMEOUT, read_response(&mut client)).await.unwrap();
    assert!(read >= RESPONSE_BYTES, "{read} bytes");
}
