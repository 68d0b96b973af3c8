//! A `mulberryd` process under clients that break the limits on what they may send: it lives, stays
//! within a bound of memory and descriptors, and answers an ordinary call afterwards.
//!
//! The limits in the settings are low, so that a small crowd is enough. No check depends on the speed
//! of the machine.
#![allow(clippy::unwrap_used, clippy::print_stdout)]

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use mulberrycourse::client::CallerClient;
use mulberrycourse::edge::peer::PROTOCOL_VERSION;
use standins::daemon::{Daemon, TempDir};
use standins::engine::EngineSettings;
use standins::fleet::Fleet;
use standins::misbehaving::{Behaviour, Crowd, head_start};
use tokio::sync::Mutex;

const DAEMON_PATH: &str = env!("CARGO_BIN_EXE_mulberryd");
/// The connections of a crowd.
const CROWD: usize = 400;
/// More connections than the process may have descriptors.
const LARGE_CROWD: usize = 1_500;
/// The most memory of the process, in bytes.
const MAX_BYTES: usize = 96 << 20;
/// The most descriptors of the process.
const MAX_DESCRIPTORS: usize = 1_000;
/// The bytes of a long head: as much as the HTTP library buffers if nothing else is set.
const LONG_HEAD_BYTES: usize = 400_000;
/// How often the number of descriptors must not grow before a crowd counts as accepted.
const SETTLED_POLLS: usize = 5;
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How often an ordinary call is sent again until it is answered.
const MAX_TRIES: usize = 300;
/// Keeps a test from hanging. No check depends on it.
const CALL_TIMEOUT: Duration = Duration::from_secs(10);
/// The limits of the process.
const SECTIONS: &str = "[connections]\nmost = 400\nmemory = 34\n";

/// Held by the test that runs: beside another one, neither would measure its own load.
static TURN: Mutex<()> = Mutex::const_new(());

/// A listener of the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Listener {
    Callers,
    Admin,
    Peers,
}

fn address(daemon: &Daemon, listener: Listener) -> SocketAddr {
    match listener {
        Listener::Callers => daemon.client_address,
        Listener::Admin => daemon.admin_address,
        Listener::Peers => daemon.peer_address,
    }
}

fn check(daemon: &Daemon, when: &str) {
    let usage = daemon.usage().unwrap();
    println!("{when}: {usage:?}");
    assert!(usage.peak_bytes <= MAX_BYTES, "{when}: {usage:?}");
    assert!(usage.descriptors <= MAX_DESCRIPTORS, "{when}: {usage:?}");
}

/// Waits until the process has accepted all connections that it will.
async fn settle(daemon: &Daemon) {
    let (mut most, mut unchanged) = (0, 0);
    while unchanged < SETTLED_POLLS {
        let now = daemon.usage().unwrap().descriptors;
        unchanged = if now > most { 0 } else { unchanged + 1 };
        most = most.max(now);
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    assert!(most <= MAX_DESCRIPTORS, "{most} descriptors");
}

/// Sends an ordinary call until it is answered.
async fn wait_until_answered(daemon: &Daemon) {
    let shop = CallerClient::new("shop".into(), vec![daemon.client_address]);
    for _ in 0..MAX_TRIES {
        match shop.call("stock", "/items/1", "", None, CALL_TIMEOUT).await {
            Ok(answer) => {
                assert_eq!(answer.body, "ran /items/1 ");
                return;
            }
            Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
        }
        daemon.usage().unwrap();
    }
    panic!("no answer");
}

/// Plays a crowd at a listener of a process, and checks the process while it is there and once it has
/// gone.
async fn withstands(listener: Listener, size: usize, behaviour: Behaviour) {
    let _turn = TURN.lock().await;
    let fleet = Fleet::spawn(0, 2, EngineSettings::default()).await.unwrap();
    let folder = TempDir::create().unwrap();
    let daemon =
        Daemon::spawn_with_sections(DAEMON_PATH, "a", &fleet, folder.path(), SECTIONS).unwrap();
    daemon.wait_for_bundle(1).await;
    wait_until_answered(&daemon).await;
    let crowd = Crowd::connect(address(&daemon, listener), size, &behaviour).await;
    settle(&daemon).await;
    check(&daemon, &format!("{listener:?}, while the crowd is there"));
    drop(crowd);
    wait_until_answered(&daemon).await;
    check(&daemon, &format!("{listener:?}, afterwards"));
}

/// The start of a call that is allowed.
fn proper_start() -> Bytes {
    head_start("POST", "/v1/services/stock/items/1", &[("host", "a")])
}

#[tokio::test(flavor = "multi_thread")]
async fn long_heads_of_callers() {
    withstands(Listener::Callers, CROWD, Behaviour::head(proper_start(), LONG_HEAD_BYTES)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn long_heads_of_operators() {
    withstands(Listener::Admin, CROWD, Behaviour::head(proper_start(), LONG_HEAD_BYTES)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn empty_lines_of_callers() {
    withstands(Listener::Callers, CROWD, Behaviour::empty_lines(LONG_HEAD_BYTES)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn empty_lines_of_operators() {
    withstands(Listener::Admin, CROWD, Behaviour::empty_lines(LONG_HEAD_BYTES)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn many_connections_of_operators() {
    withstands(Listener::Admin, LARGE_CROWD, Behaviour::silent()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_at_callers() {
    let head = [&proper_start()[..], b"content-length: 1000000\r\n\r\n"].concat();
    let filler = Bytes::from(vec![b'b'; 8_000]);
    let crowd = Behaviour::Raw { opening: head.into(), filler, bytes: 900_000 };
    withstands(Listener::Callers, CROWD, crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_without_end_at_callers() {
    withstands(Listener::Callers, CROWD, Behaviour::chunks(&proper_start(), 4 << 20)).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn http2_streams_at_callers() {
    let head = http::Request::post("http://a/v1/services/stock/items/1")
        .header("x-filler", "a".repeat(12_000))
        .body(())
        .unwrap();
    let crowd = Behaviour::Streams { head: Box::new(head), count: 100, bytes: 30_000 };
    withstands(Listener::Callers, CROWD, crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn responses_that_operators_do_not_read() {
    let request = Bytes::from_static(b"GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n");
    let opening = request.clone();
    let crowd = Behaviour::Raw { opening, filler: request, bytes: LONG_HEAD_BYTES };
    withstands(Listener::Admin, CROWD, crowd).await;
}

/// The head of a message of another node.
fn message_head(filler: usize) -> Box<http::Request<()>> {
    let head = http::Request::post("http://node/peer")
        .header("mulberry-peer-version", PROTOCOL_VERSION)
        .header("x-filler", "a".repeat(filler));
    Box::new(head.body(()).unwrap())
}

#[tokio::test(flavor = "multi_thread")]
async fn mulberryd_messages_of_other_nodes_without_end() {
    let crowd = Behaviour::Streams { head: message_head(1), count: 8, bytes: 1 << 20 };
    withstands(Listener::Peers, 40, crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn mulberryd_messages_of_other_nodes_with_long_heads() {
    let crowd = Behaviour::Streams { head: message_head(1 << 20), count: 8, bytes: 1 };
    withstands(Listener::Peers, 40, crowd).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn mulberryd_many_connections_of_other_nodes() {
    let hello = Bytes::from_static(b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0");
    withstands(Listener::Peers, LARGE_CROWD, Behaviour::only(hello)).await;
}
