//! Tests of connections whose clients don't read.
#![allow(clippy::unwrap_used)]

use std::io::ErrorKind;
use std::time::Duration;

use mulberrycourse::edge::http::WriteTimeout;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

const TIMEOUT: Duration = Duration::from_secs(30);

/// Guards against a client that never reads and keeps memory of the node for good.
#[tokio::test(start_paused = true)]
async fn a_write_fails_if_the_client_does_not_read() {
    let (server, _client) = tokio::io::duplex(64);
    let mut server = WriteTimeout::new(server, Some(TIMEOUT));
    let before = Instant::now();
    let error = server.write_all(&[0; 1_000]).await.unwrap_err();
    assert_eq!((error.kind(), before.elapsed()), (ErrorKind::TimedOut, TIMEOUT));
}

/// Guards against cutting a client that reads slowly but does read, for longer than the timeout.
#[tokio::test(start_paused = true)]
async fn a_slow_client_is_served() {
    let (server, mut client) = tokio::io::duplex(64);
    let mut server = WriteTimeout::new(server, Some(TIMEOUT));
    let reading = async {
        let mut buffer = [0; 64];
        let mut read = 0;
        while read < 640 {
            tokio::time::sleep(TIMEOUT * 9 / 10).await;
            read += client.read(&mut buffer).await.unwrap();
        }
    };
    let (written, ()) = tokio::join!(server.write_all(&[0; 640]), reading);
    written.unwrap();
}

/// Without a timeout a write waits as long as the client does.
#[tokio::test(start_paused = true)]
async fn there_is_no_timeout_unless_it_is_set() {
    let (server, _client) = tokio::io::duplex(64);
    let mut server = WriteTimeout::new(server, None);
    let writing = tokio::time::timeout(100 * TIMEOUT, server.write_all(&[0; 1_000]));
    assert!(writing.await.is_err());
}
