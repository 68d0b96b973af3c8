//! Tests of what the errors of JSON calls say about the request.
#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use http::Method;
use mulberrycourse::edge::http::{JsonClient, JsonClientError};
use tokio::net::TcpListener;

const CALL_TIMEOUT: Duration = Duration::from_secs(20);

async fn server() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind(("127.0.0.1", 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Guards against a request with an invalid path being reported as one that may have been received.
#[tokio::test]
async fn a_request_with_an_invalid_path_is_not_sent() {
    let (_listener, to) = server().await;
    let read = JsonClient::default().get::<String>(to, "/a b", CALL_TIMEOUT).await;
    assert!(matches!(read, Err(JsonClientError::Unencodable { .. })), "{read:?}");
}

/// Guards against a value that has no JSON form being reported as a response that does not parse.
#[tokio::test]
async fn a_value_without_a_json_form_is_not_sent() {
    let (_listener, to) = server().await;
    let value = BTreeMap::from([((1, 2), 3)]);
    let called =
        JsonClient::default().call::<_, String>(to, Method::POST, "/", &value, CALL_TIMEOUT).await;
    assert!(matches!(called, Err(JsonClientError::Unencodable { .. })), "{called:?}");
}
