//! Responses whose status is not that of a final response are no answers.
#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::time::Duration;

use http::{Request, StatusCode};
use mulberrycourse::edge::http::empty_body;
use mulberrycourse::edge::upstream::PlainClient;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::time::Instant;

/// Keeps a failing test from hanging. No assertion depends on its value.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a server that answers its only request with a status.
async fn server(status: &'static str) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = [0; 1_024];
        let _ = stream.read(&mut request).await;
        let answer = format!("HTTP/1.1 {status} X\r\ncontent-length: 2\r\n\r\nok");
        stream.write_all(answer.as_bytes()).await.unwrap();
        let _ = stream.read(&mut request).await;
    });
    address
}

async fn status_of(status: &'static str) -> Option<StatusCode> {
    let to = server(status).await;
    let request = Request::get("/x").header("host", "a").body(empty_body()).unwrap();
    let response = PlainClient.send(to, request, Instant::now() + TEST_TIMEOUT).await;
    response.ok().map(|response| response.status)
}

/// Guards against a replica in trouble whose answer has a status outside 200 to 599: the caller would get
/// it as an answer.
#[tokio::test]
async fn a_status_that_is_not_final_is_no_answer() {
    for status in ["000", "099", "101", "600", "999"] {
        assert_eq!(status_of(status).await, None, "{status}");
    }
    for status in ["200", "404", "503", "599"] {
        let code = status_of(status).await.unwrap();
        assert_eq!(code.as_str(), status);
    }
}
