//! A stand-in for a plain service, which records the calls that it ran.

mod cutting_server;

pub use cutting_server::{CutPoint, CuttingServer};

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use mulberrycourse::edge::http::{BodyAborted, read_body, streamed_body};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::server::{ConnectionCut, Server, Service, ServiceResult, json_response, text_response};

/// Interval at which a frozen call checks whether it may go on.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Where the connections of the next calls are cut.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutAt {
    /// Nowhere.
    #[default]
    Never,
    /// Before the call runs.
    #[serde(rename = "before")]
    BeforeRun,
    /// After the call ran, before the head of the response.
    #[serde(rename = "after")]
    AfterRun,
    /// In the middle of the response body.
    #[serde(rename = "body")]
    ResponseBody,
}

/// Faults in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Where the connections of calls are cut.
    pub cut: CutAt,
    /// How long a call runs, in milliseconds.
    pub slow_ms: u64,
    /// Whether calls wait until this is off again.
    pub frozen: bool,
    /// The status of the responses; 0 counts as 200.
    pub status: u16,
}

/// One call that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedCall {
    /// The path and query.
    pub path: String,
    /// The idempotency key, if the call had one.
    pub key: Option<String>,
    /// The body.
    pub body: String,
}

#[derive(Debug, Default)]
struct Shared {
    ledger: Mutex<Vec<RecordedCall>>,
    faults: Mutex<Faults>,
}

/// A running plain service.
#[derive(Debug)]
pub struct PlainService {
    shared: Arc<Shared>,
    server: Server,
}

impl PlainService {
    /// Binds an address and serves.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let shared = Arc::new(Shared::default());
        let server = Server::bind(address, shared.clone()).await?;
        Ok(Self { shared, server })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.server.address()
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        *self.shared.faults.lock() = faults;
    }

    /// The calls that ran, in order.
    pub fn ledger(&self) -> Vec<RecordedCall> {
        self.shared.ledger.lock().clone()
    }

    /// Stops at once and cuts all connections.
    pub fn kill(&self) {
        self.server.kill();
    }
}

impl Service for Shared {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> ServiceResult {
        let path = request.uri().to_string();
        let key = request.headers().get("idempotency-key").and_then(|v| v.to_str().ok());
        let key = key.map(str::to_owned);
        let body = read_body(request.into_body(), 1 << 20).await.map_err(|_| ConnectionCut)?;
        let body = String::from_utf8_lossy(&body).into_owned();
        match path.as_str() {
            "/ledger" => return json_response(StatusCode::OK, &*self.ledger.lock()),
            "/faults" => {
                return match serde_json::from_str(&body) {
                    Ok(faults) => {
                        *self.faults.lock() = faults;
                        text_response(StatusCode::OK, "")
                    }
                    Err(e) => text_response(StatusCode::BAD_REQUEST, e.to_string()),
                };
            }
            _ => {}
        }
        while self.faults.lock().frozen {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        let faults = self.faults.lock().clone();
        if faults.cut == CutAt::BeforeRun {
            return Err(ConnectionCut);
        }
        self.ledger.lock().push(RecordedCall { path: path.clone(), key, body: body.clone() });
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        let whole = format!("ran {path} {body}");
        match faults.cut {
            CutAt::AfterRun => Err(ConnectionCut),
            CutAt::ResponseBody => {
                let (mut sender, partial_body) = streamed_body(1);
                tokio::spawn(async move {
                    let _ = sender.send_data("ran".into()).await;
                    sender.abort(BodyAborted);
                });
                Response::builder()
                    .header("content-length", whole.len())
                    .body(partial_body)
                    .map_err(|_| ConnectionCut)
            }
            CutAt::BeforeRun | CutAt::Never => {
                let status = StatusCode::from_u16(faults.status).unwrap_or(StatusCode::OK);
                text_response(status, whole)
            }
        }
    }
}
