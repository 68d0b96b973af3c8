//! The engine stand-in: batches, streams, swaps weights and keeps a ledger.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::{Request, Response, StatusCode};
use hyper::body::Incoming;
use mulberrycourse::edge::http::{
    BodyAborted, BodySender, JsonClient, JsonClientError, read_body, streamed_body,
};
use mulberrycourse::edge::upstream::{
    CompletionRequest, EngineOrder, EngineOrderReply, EngineStatus,
};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::Instant;

use super::{Faults, length, token};
use crate::server::{Answer, Cut, Server, Service, json as answer, text};

/// Pause between looks at a condition.
const POLL: Duration = Duration::from_millis(5);

/// How the stand-in behaves when nothing is wrong.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// The version that it starts with.
    pub version: u64,
    /// Time of one token while the batch is not full.
    pub token_time: Duration,
    /// Requests that run at full speed together; more slow all down.
    pub batch: u32,
    /// How long loading weights takes.
    pub swap_time: Duration,
    /// How old the load report is.
    pub report_lag: Duration,
    /// Whether it refuses orders with an old fencing number.
    pub fenced: bool,
    /// Where it gets weights; none for nowhere.
    pub store: Option<SocketAddr>,
    /// How long it stays down after a crash.
    pub restart: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            version: 1,
            token_time: Duration::from_millis(2),
            batch: 16,
            swap_time: Duration::from_millis(100),
            report_lag: Duration::from_millis(200),
            fenced: true,
            store: None,
            restart: Duration::from_millis(300),
        }
    }
}

/// One token in the ledger.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Produced {
    /// Its index in the answer.
    pub index: u32,
    /// The version that produced it.
    pub version: u64,
}

#[derive(Debug, Default)]
struct State {
    version: Option<u64>,
    generation: u64,
    swapping: bool,
    running: u32,
    reports: Vec<(Instant, EngineStatus)>,
    ledger: BTreeMap<String, Vec<Produced>>,
    started: u64,
    crashes: u64,
    faults: Faults,
}

#[derive(Debug)]
struct Shared {
    settings: EngineSettings,
    state: Mutex<State>,
    server: Mutex<Option<Server>>,
    fetch: JsonClient,
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    shared: Arc<Shared>,
    address: SocketAddr,
}

impl Engine {
    /// Binds an address and serves.
    pub async fn bind(address: SocketAddr, settings: EngineSettings) -> std::io::Result<Self> {
        let state = State { version: Some(settings.version), ..State::default() };
        let shared = Arc::new(Shared {
            settings,
            state: Mutex::new(state),
            server: Mutex::new(None),
            fetch: JsonClient::default(),
        });
        let server = Server::bind(address, shared.clone()).await?;
        let address = server.address();
        *shared.server.lock() = Some(server);
        Ok(Self { shared, address })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.state.lock().faults = faults;
    }

    /// Which version produced which token, by request id.
    pub fn ledger(&self) -> BTreeMap<String, Vec<Produced>> {
        self.shared.state.lock().ledger.clone()
    }

    /// How many requests were started.
    pub fn started(&self) -> u64 {
        self.shared.state.lock().started
    }

    /// How many requests run now.
    pub fn running(&self) -> u32 {
        self.shared.state.lock().running
    }

    /// How often it crashed.
    pub fn crashes(&self) -> u64 {
        self.shared.state.lock().crashes
    }

    /// The version that it serves, if its weights are whole.
    pub fn version(&self) -> Option<u64> {
        self.shared.state.lock().version
    }

    /// Dies at once, and stays dead.
    pub fn kill(&self) {
        self.shared.server.lock().take();
    }

    /// Starts again at the same address, with `version` loaded.
    pub async fn restart(&self, version: u64) -> std::io::Result<()> {
        self.shared.start(self.address, version).await
    }
}

impl Drop for Engine {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Shared {
    async fn start(self: &Arc<Self>, address: SocketAddr, version: u64) -> std::io::Result<()> {
        self.server.lock().take();
        {
            let mut state = self.state.lock();
            state.version = Some(version);
            state.swapping = false;
            state.running = 0;
            state.generation = 0;
        }
        let server = loop {
            match Server::bind(address, self.clone()).await {
                Err(e) if e.kind() == std::io::ErrorKind::AddrInUse => {
                    tokio::time::sleep(POLL).await;
                }
                result => break result?,
            }
        };
        *self.server.lock() = Some(server);
        Ok(())
    }

    fn crash(self: &Arc<Self>) {
        let Some(server) = self.server.lock().take() else { return };
        let version = {
            let mut state = self.state.lock();
            state.crashes += 1;
            state.version.unwrap_or(self.settings.version)
        };
        let address = server.address();
        drop(server);
        let shared = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(shared.settings.restart).await;
            let _ = shared.start(address, version).await;
        });
    }

    fn complete(self: &Arc<Self>, request: CompletionRequest) -> Answer {
        let poison = {
            let mut state = self.state.lock();
            if state.version.is_none() {
                return text(StatusCode::TOO_MANY_REQUESTS, "the weights are not whole");
            }
            state.started += 1;
            state.running += 1;
            !state.faults.poison.is_empty() && request.prompt.contains(&state.faults.poison)
        };
        let (sender, body) = streamed_body(1);
        let shared = self.clone();
        tokio::spawn(async move {
            shared.generate(request, sender, poison).await;
            let mut state = shared.state.lock();
            state.running = state.running.saturating_sub(1);
        });
        let response = Response::builder().header("content-type", "text/event-stream");
        response.body(body).map_err(|_| Cut)
    }

    async fn generate(
        self: &Arc<Self>,
        request: CompletionRequest,
        mut sender: BodySender,
        poison: bool,
    ) {
        let total = length(&request.prompt, request.seed, request.max_tokens);
        let from = request.prior.as_ref().map_or(0, |p| p.tokens);
        for index in from..total {
            tokio::time::sleep(self.pace()).await;
            if poison {
                self.crash();
                return;
            }
            let Some(produced) = self.produce(&request.request_id, index, from).await else {
                sender.abort(BodyAborted);
                return;
            };
            let reason = (index + 1 == total).then_some("stop");
            let line = self.event(&request, produced, reason);
            let faults = self.state.lock().faults.clone();
            if faults.doubled && sender.send_data(line.clone().into()).await.is_err() {
                return;
            }
            if sender.send_data(line.into()).await.is_err() {
                return;
            }
        }
        if self.state.lock().faults.endless {
            return;
        }
        let _ = sender.send_data("data: [DONE]\n\n".into()).await;
    }

    /// Produces one token, once nothing holds the engine up; none if the stream is cut.
    async fn produce(&self, id: &str, index: u32, from: u32) -> Option<Produced> {
        loop {
            {
                let mut state = self.state.lock();
                let cut = state.faults.cut_after;
                if cut > 0 && index - from >= cut {
                    return None;
                }
                if !state.swapping && !state.faults.frozen {
                    let version = state.version?;
                    let produced = Produced { index, version };
                    state.ledger.entry(id.to_owned()).or_default().push(produced);
                    return Some(produced);
                }
            }
            tokio::time::sleep(POLL).await;
        }
    }

    fn event(
        &self,
        request: &CompletionRequest,
        produced: Produced,
        reason: Option<&str>,
    ) -> String {
        let (unlabelled, garbled) = {
            let state = self.state.lock();
            (state.faults.unlabelled, state.faults.garbled_at)
        };
        if garbled > 0 && produced.index == garbled {
            return "data: {\"choices\": [{\n\n".to_owned();
        }
        let text = token(&request.prompt, request.seed, produced.index);
        let mut event = json!({
            "object": "text_completion",
            "choices": [{ "index": 0, "text": text, "finish_reason": reason }],
            "tokens": 1,
            "offset": produced.index,
        });
        if !unlabelled {
            event["weight_version"] = produced.version.into();
        }
        format!("data: {event}\n\n")
    }

    fn pace(&self) -> Duration {
        let state = self.state.lock();
        let crowd = state.running.div_ceil(self.settings.batch.max(1)).max(1);
        self.settings.token_time * crowd * state.faults.slowdown.max(1)
    }

    fn order(self: &Arc<Self>, order: EngineOrder) -> Answer {
        {
            let mut state = self.state.lock();
            if self.settings.fenced && order.generation < state.generation {
                return answer(StatusCode::OK, &EngineOrderReply { taken: false });
            }
            state.generation = order.generation;
            if state.version == Some(order.version) || state.swapping {
                return answer(StatusCode::OK, &EngineOrderReply { taken: true });
            }
            state.swapping = true;
        }
        tokio::spawn(self.clone().swap(order));
        answer(StatusCode::OK, &EngineOrderReply { taken: true })
    }

    async fn swap(self: Arc<Self>, order: EngineOrder) {
        while let Some(store) = self.settings.store {
            let path = format!("/weights/{}", order.version);
            let got = self.fetch.get::<serde_json::Value>(store, &path, Duration::from_secs(2));
            match got.await {
                // The stand-in's weights are no JSON: they are there all the same.
                Ok(_) | Err(JsonClientError::Malformed { .. }) => break,
                Err(_) => tokio::time::sleep(POLL).await,
            }
        }
        tokio::time::sleep(self.settings.swap_time).await;
        let mut state = self.state.lock();
        state.swapping = false;
        if state.faults.fail_swaps > 0 {
            state.faults.fail_swaps -= 1;
            state.version = None;
        } else {
            state.version = Some(order.version);
        }
    }

    fn load(&self) -> EngineStatus {
        let now = Instant::now();
        let mut state = self.state.lock();
        let load = EngineStatus {
            running: state.running.min(self.settings.batch),
            waiting: state.running.saturating_sub(self.settings.batch),
            version: state.version,
            generation: state.generation,
            swapping: state.swapping,
        };
        state.reports.push((now, load.clone()));
        let lag = self.settings.report_lag;
        let old = state.reports.iter().rposition(|(at, _)| now - *at >= lag);
        match old {
            Some(index) => {
                state.reports.drain(..index);
                state.reports[0].1.clone()
            }
            None => load,
        }
    }
}

impl Service for Shared {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        let body = read_body(request.into_body(), 1 << 20).await.map_err(|_| Cut)?;
        if path == "/faults" {
            return match serde_json::from_slice(&body) {
                Ok(faults) => {
                    self.state.lock().faults = faults;
                    text(StatusCode::OK, "")
                }
                Err(e) => text(StatusCode::BAD_REQUEST, e.to_string()),
            };
        }
        if path == "/ledger" {
            return answer(StatusCode::OK, &self.state.lock().ledger.clone());
        }
        while self.state.lock().faults.frozen {
            tokio::time::sleep(POLL).await;
        }
        match path.as_str() {
            "/load" => answer(StatusCode::OK, &self.load()),
            "/v1/completions" => match serde_json::from_slice(&body) {
                Ok(request) => self.complete(request),
                Err(e) => text(StatusCode::BAD_REQUEST, e.to_string()),
            },
            "/orders" => match serde_json::from_slice(&body) {
                Ok(order) => self.order(order),
                Err(e) => text(StatusCode::BAD_REQUEST, e.to_string()),
            },
            _ => text(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
