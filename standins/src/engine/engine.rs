//! The engine stand-in: it batches and streams, swaps weights on orders, and records which
//! version produced each token.

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

use super::{Faults, token_count, token_text};
use crate::server::{ConnectionCut, Server, Service, ServiceResult, json_response, text_response};

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Timeout of one request to the weight store, which is repeated until it succeeds.
const WEIGHT_TIMEOUT: Duration = Duration::from_secs(2);

/// How the stand-in behaves without faults.
#[derive(Debug, Clone)]
pub struct EngineSettings {
    /// The weight version that it starts with.
    pub version: u64,
    /// The time to produce one token while the batch is not full.
    pub token_time: Duration,
    /// How many requests run at full speed together; more of them slow down all.
    pub batch_size: u32,
    /// How long loading weights takes.
    pub swap_time: Duration,
    /// How old the reported status is.
    pub report_lag: Duration,
    /// Whether it refuses orders with an old generation, which is the fencing token.
    pub fenced: bool,
    /// The address of the weight store; none to swap without loading.
    pub weight_store: Option<SocketAddr>,
    /// How long it stays down after a crash.
    pub restart_time: Duration,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            version: 1,
            token_time: Duration::from_millis(2),
            batch_size: 16,
            swap_time: Duration::from_millis(100),
            report_lag: Duration::from_millis(200),
            fenced: true,
            weight_store: None,
            restart_time: Duration::from_millis(300),
        }
    }
}

/// One token that the engine produced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProducedToken {
    /// Its index in the output.
    pub index: u32,
    /// The weight version that produced it.
    pub version: u64,
}

/// The state behind the lock.
#[derive(Debug, Default)]
struct State {
    /// The weight version; none after a failed swap.
    version: Option<u64>,
    /// The highest generation of an order received.
    generation: u64,
    swapping: bool,
    running: u32,
    /// Recent statuses with their times, to report them with a lag.
    statuses: Vec<(Instant, EngineStatus)>,
    /// The tokens produced, by request id.
    ledger: BTreeMap<String, Vec<ProducedToken>>,
    started_requests: u64,
    crashes: u64,
    faults: Faults,
}

/// What the server, the running requests and the test's handle share.
#[derive(Debug)]
struct Shared {
    settings: EngineSettings,
    state: Mutex<State>,
    /// The server; none while the engine is stopped.
    server: Mutex<Option<Server>>,
    weight_client: JsonClient,
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
            weight_client: JsonClient::default(),
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

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.state.lock().faults = faults;
    }

    /// The tokens produced, by request id.
    pub fn ledger(&self) -> BTreeMap<String, Vec<ProducedToken>> {
        self.shared.state.lock().ledger.clone()
    }

    /// How many requests were started.
    pub fn started_requests(&self) -> u64 {
        self.shared.state.lock().started_requests
    }

    /// How many requests are running.
    pub fn running(&self) -> u32 {
        self.shared.state.lock().running
    }

    /// How often it crashed.
    pub fn crashes(&self) -> u64 {
        self.shared.state.lock().crashes
    }

    /// The weight version that it serves; none after a failed swap.
    pub fn version(&self) -> Option<u64> {
        self.shared.state.lock().version
    }

    /// Stops at once and cuts its connections, until a restart.
    pub fn kill(&self) {
        self.shared.server.lock().take();
    }

    /// Starts again at the same address with weight version `version`.
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
    /// Serves again at `address`, with no running requests and no known generation.
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
                    tokio::time::sleep(POLL_INTERVAL).await;
                }
                result => break result?,
            }
        };
        *self.server.lock() = Some(server);
        Ok(())
    }

    /// Stops at once, and starts again after the restart time.
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
            tokio::time::sleep(shared.settings.restart_time).await;
            let _ = shared.start(address, version).await;
        });
    }

    /// Starts a completion and streams its tokens.
    fn complete(self: &Arc<Self>, request: CompletionRequest) -> ServiceResult {
        let crashes = {
            let mut state = self.state.lock();
            if state.version.is_none() {
                return text_response(
                    StatusCode::TOO_MANY_REQUESTS,
                    "the weights are not loaded completely",
                );
            }
            state.started_requests += 1;
            state.running += 1;
            !state.faults.poison.is_empty() && request.prompt.contains(&state.faults.poison)
        };
        let (sender, body) = streamed_body(1);
        let shared = self.clone();
        tokio::spawn(async move {
            shared.generate(request, sender, crashes).await;
            let mut state = shared.state.lock();
            state.running = state.running.saturating_sub(1);
        });
        let response = Response::builder().header("content-type", "text/event-stream");
        response.body(body).map_err(|_| ConnectionCut)
    }

    /// Produces and sends the tokens of a request; crashes the engine at the first one if told to.
    async fn generate(
        self: &Arc<Self>,
        request: CompletionRequest,
        mut sender: BodySender,
        crashes: bool,
    ) {
        let total = token_count(&request.prompt, request.seed, request.max_tokens);
        let from = request.prior.as_ref().map_or(0, |p| p.tokens);
        for index in from..total {
            tokio::time::sleep(self.token_interval()).await;
            if crashes {
                self.crash();
                return;
            }
            let Some(produced) = self.produce(&request.request_id, index, from).await else {
                sender.abort(BodyAborted);
                return;
            };
            let reason = (index + 1 == total).then_some("stop");
            let event = self.event(&request, produced, reason);
            let faults = self.state.lock().faults.clone();
            if faults.duplicate_chunks && sender.send_data(event.clone().into()).await.is_err() {
                return;
            }
            if sender.send_data(event.into()).await.is_err() {
                return;
            }
        }
        if self.state.lock().faults.omit_end {
            return;
        }
        let _ = sender.send_data("data: [DONE]\n\n".into()).await;
    }

    /// Produces one token, once no swap or freeze stops the engine; none if the stream is cut or
    /// the weights are not loaded completely.
    async fn produce(&self, id: &str, index: u32, from: u32) -> Option<ProducedToken> {
        loop {
            {
                let mut state = self.state.lock();
                let cut_after = state.faults.cut_after;
                if cut_after > 0 && index - from >= cut_after {
                    return None;
                }
                if !state.swapping && !state.faults.frozen {
                    let version = state.version?;
                    let produced = ProducedToken { index, version };
                    state.ledger.entry(id.to_owned()).or_default().push(produced);
                    return Some(produced);
                }
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// The stream event of one token.
    fn event(
        &self,
        request: &CompletionRequest,
        produced: ProducedToken,
        reason: Option<&str>,
    ) -> String {
        let (unlabelled, malformed_at) = {
            let state = self.state.lock();
            (state.faults.unlabelled, state.faults.malformed_at)
        };
        if malformed_at > 0 && produced.index == malformed_at {
            return "data: {\"choices\": [{\n\n".to_owned();
        }
        let text = token_text(&request.prompt, request.seed, produced.index);
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

    /// The present time to produce one token.
    fn token_interval(&self) -> Duration {
        let state = self.state.lock();
        let load_factor = state.running.div_ceil(self.settings.batch_size.max(1)).max(1);
        self.settings.token_time * load_factor * state.faults.slowdown.max(1)
    }

    /// Starts a swap, unless the order is fenced, a swap runs or the version is loaded already.
    fn order(self: &Arc<Self>, order: EngineOrder) -> ServiceResult {
        {
            let mut state = self.state.lock();
            if self.settings.fenced && order.generation < state.generation {
                return json_response(StatusCode::OK, &EngineOrderReply { taken: false });
            }
            state.generation = order.generation;
            if state.version == Some(order.version) || state.swapping {
                return json_response(StatusCode::OK, &EngineOrderReply { taken: true });
            }
            state.swapping = true;
        }
        tokio::spawn(self.clone().swap(order));
        json_response(StatusCode::OK, &EngineOrderReply { taken: true })
    }

    /// Loads the ordered version, from the weight store if there is one.
    async fn swap(self: Arc<Self>, order: EngineOrder) {
        while let Some(store) = self.settings.weight_store {
            let path = format!("/weights/{}", order.version);
            let loaded = self.weight_client.get::<serde_json::Value>(store, &path, WEIGHT_TIMEOUT);
            match loaded.await {
                // The weights are not JSON; a malformed body means that they were received.
                Ok(_) | Err(JsonClientError::Malformed { .. }) => break,
                Err(_) => tokio::time::sleep(POLL_INTERVAL).await,
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

    /// The status as of the report lag ago.
    fn status(&self) -> EngineStatus {
        let now = Instant::now();
        let mut state = self.state.lock();
        let status = EngineStatus {
            running: state.running.min(self.settings.batch_size),
            waiting: state.running.saturating_sub(self.settings.batch_size),
            version: state.version,
            generation: state.generation,
            swapping: state.swapping,
        };
        state.statuses.push((now, status.clone()));
        let lag = self.settings.report_lag;
        let reported = state.statuses.iter().rposition(|(at, _)| now - *at >= lag);
        match reported {
            Some(index) => {
                state.statuses.drain(..index);
                state.statuses[0].1.clone()
            }
            None => status,
        }
    }
}

impl Service for Shared {
    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> ServiceResult {
        let path = request.uri().path().to_owned();
        let body = read_body(request.into_body(), 1 << 20).await.map_err(|_| ConnectionCut)?;
        if path == "/faults" {
            return match serde_json::from_slice(&body) {
                Ok(faults) => {
                    self.state.lock().faults = faults;
                    text_response(StatusCode::OK, "")
                }
                Err(e) => text_response(StatusCode::BAD_REQUEST, e.to_string()),
            };
        }
        if path == "/ledger" {
            return json_response(StatusCode::OK, &self.state.lock().ledger.clone());
        }
        while self.state.lock().faults.frozen {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        match path.as_str() {
            "/load" => json_response(StatusCode::OK, &self.status()),
            "/v1/completions" => match serde_json::from_slice(&body) {
                Ok(request) => self.complete(request),
                Err(e) => text_response(StatusCode::BAD_REQUEST, e.to_string()),
            },
            "/orders" => match serde_json::from_slice(&body) {
                Ok(order) => self.order(order),
                Err(e) => text_response(StatusCode::BAD_REQUEST, e.to_string()),
            },
            _ => text_response(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}
