//! A stand-in for a plain service, with a ledger of what it truly ran.

mod cutter;

pub use cutter::{Cutter, Point};

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use mulberrycourse::edge::http::{BodyAborted, read_body, streamed_body};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

use crate::server::{Answer, Cut, Server, Service, json, text};

/// Where the next calls are cut.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CutAt {
    /// Nowhere.
    #[default]
    Never,
    /// Before the call runs.
    Before,
    /// After it ran, before the answer's head.
    After,
    /// In the middle of the answer's body.
    Body,
}

/// Faults in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Where calls are cut.
    pub cut: CutAt,
    /// How long a call runs, in milliseconds.
    pub slow_ms: u64,
    /// Calls wait until this is off again.
    pub frozen: bool,
    /// The status that calls are answered with; 0 counts as 200.
    pub status: u16,
}

/// One run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// The path and query.
    pub path: String,
    /// The idempotency key, if the call had one.
    pub key: Option<String>,
    /// The body.
    pub body: String,
}

#[derive(Debug, Default)]
struct Shared {
    ledger: Mutex<Vec<Entry>>,
    faults: Mutex<Faults>,
}

/// A running plain service.
#[derive(Debug)]
pub struct Plain {
    shared: Arc<Shared>,
    server: Server,
}

impl Plain {
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

    /// Sets the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        *self.shared.faults.lock() = faults;
    }

    /// What ran.
    pub fn ledger(&self) -> Vec<Entry> {
        self.shared.ledger.lock().clone()
    }

    /// Dies at once.
    pub fn kill(&self) {
        self.server.kill();
    }
}

impl Service for Shared {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().to_string();
        let key = request.headers().get("idempotency-key").and_then(|v| v.to_str().ok());
        let key = key.map(str::to_owned);
        let body = read_body(request.into_body(), 1 << 20).await.map_err(|_| Cut)?;
        let body = String::from_utf8_lossy(&body).into_owned();
        match path.as_str() {
            "/ledger" => return json(StatusCode::OK, &*self.ledger.lock()),
            "/faults" => {
                return match serde_json::from_str(&body) {
                    Ok(faults) => {
                        *self.faults.lock() = faults;
                        text(StatusCode::OK, "")
                    }
                    Err(e) => text(StatusCode::BAD_REQUEST, e.to_string()),
                };
            }
            _ => {}
        }
        while self.faults.lock().frozen {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let faults = self.faults.lock().clone();
        if faults.cut == CutAt::Before {
            return Err(Cut);
        }
        self.ledger.lock().push(Entry { path: path.clone(), key, body: body.clone() });
        if faults.slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        }
        let whole = format!("ran {path} {body}");
        match faults.cut {
            CutAt::After => Err(Cut),
            CutAt::Body => {
                let (mut sender, part) = streamed_body(1);
                tokio::spawn(async move {
                    let _ = sender.send_data("ran".into()).await;
                    sender.abort(BodyAborted);
                });
                Response::builder()
                    .header("content-length", whole.len())
                    .body(part)
                    .map_err(|_| Cut)
            }
            CutAt::Before | CutAt::Never => {
                let status = StatusCode::from_u16(faults.status).unwrap_or(StatusCode::OK);
                text(status, whole)
            }
        }
    }
}
