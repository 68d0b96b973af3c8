//! The HTTP interface for operators and for the collection of metrics. It only reads: no request
//! changes the node.

use std::net::SocketAddr;
use std::sync::Arc;

use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio_util::task::TaskTracker;

use super::app::App;
use super::lifecycle::Phase;
use super::orders::engine_states;
use crate::Name;
use crate::edge::http::{Body, Handler, full_body, json_response, problem_response};
use crate::edge::peer::NodeInfo;
use crate::error::{Kind, Refusal};
use crate::metrics::StateKind;

/// The active bundle of a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleState {
    /// The number of the bundle.
    pub number: u64,
    /// The SHA-256 digest of the bundle's text, in hex.
    pub digest: String,
}

/// An upstream as a node knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamState {
    /// The name of the VM.
    pub name: Name,
    /// The service that runs on the VM.
    pub service: Name,
    /// The availability zone of the VM.
    pub zone: Name,
    /// The address that the service listens on.
    pub address: SocketAddr,
    /// Whether the upstream gets new requests.
    #[serde(rename = "open")]
    pub accepting: bool,
    /// For an engine, the weight version that the bundle asks for.
    #[serde(default, rename = "wanted")]
    pub target_version: Option<u64>,
}

/// The number of refusals of one kind.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalCount {
    /// The kind of refusal.
    pub kind: Kind,
    /// How often it occurred.
    pub count: u64,
}

/// Handles the requests of the admin listener.
#[derive(Debug)]
pub(super) struct AdminHandler {
    pub(super) app: Arc<App>,
    /// The open connections of the client listener.
    pub(super) connections: TaskTracker,
}

impl Handler for AdminHandler {
    async fn handle(self: Arc<Self>, request: Request<Incoming>, _: SocketAddr) -> Response<Body> {
        let app = &self.app;
        if request.method() != Method::GET {
            return problem_response(&Refusal::new(Kind::WrongMethod, "use GET"));
        }
        match request.uri().path() {
            "/healthz" => text_response(StatusCode::OK, "ok\n".to_owned()),
            "/readyz" => readiness(app),
            "/metrics" => {
                // The tracker also counts the task of the listener itself.
                let open = self.connections.len().saturating_sub(1);
                app.metrics.set_entry_count(StateKind::Connection, open);
                metrics_response(app)
            }
            "/v1/state/bundle" => match app.bundles.current() {
                None => problem_response(&Refusal::new(Kind::NoBundle, "no bundle is active yet")),
                Some(adopted) => json_response(
                    StatusCode::OK,
                    &BundleState {
                        number: adopted.bundle.number,
                        digest: hex::encode(adopted.envelope.digest()),
                    },
                ),
            },
            "/v1/state/nodes" => json_response(StatusCode::OK, &nodes(app)),
            "/v1/state/upstreams" => json_response(StatusCode::OK, &upstreams(app)),
            "/v1/state/rollout" => json_response(StatusCode::OK, &engine_states(app)),
            "/v1/state/refusals" => json_response(StatusCode::OK, &refusals(app)),
            path => problem_response(&Refusal::new(Kind::UnknownPath, path)),
        }
    }
}

fn metrics_response(app: &App) -> Response<Body> {
    let set_entries = |kind, count| app.metrics.set_entry_count(kind, count);
    set_entries(StateKind::Member, app.members.count());
    set_entries(StateKind::Upstream, app.upstreams.list().len());
    set_entries(StateKind::Step, app.steps.count());
    let (suspects, quarantined) = app.quarantine.counts();
    set_entries(StateKind::Suspect, suspects);
    set_entries(StateKind::Quarantined, quarantined);
    set_entries(StateKind::Claim, app.claims.key_count());
    set_entries(StateKind::Attempt, app.claims.attempt_count());
    let counts = app.dispatchers().into_iter().map(|(_, d)| d.counts());
    let (waiting, running) = counts.fold((0, 0), |sum, d| (sum.0 + d.0, sum.1 + d.1));
    set_entries(StateKind::Waiting, waiting);
    set_entries(StateKind::Running, running);
    let content_type = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    let mut response = text_response(StatusCode::OK, app.metrics.text_format());
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

fn readiness(app: &App) -> Response<Body> {
    let phase = app.phase();
    match phase {
        Phase::Serving => text_response(StatusCode::OK, "serving\n".to_owned()),
        Phase::Starting | Phase::Draining | Phase::Closing | Phase::Stopped => {
            text_response(StatusCode::SERVICE_UNAVAILABLE, format!("{phase:?}\n").to_lowercase())
        }
    }
}

fn nodes(app: &App) -> Vec<NodeInfo> {
    let mut nodes = vec![app.own_info()];
    nodes.extend(app.members.alive(app.clock.now()));
    nodes.sort_by(|a, b| a.name.cmp(&b.name));
    nodes
}

fn upstreams(app: &App) -> Vec<UpstreamState> {
    let list = app.upstreams.list();
    let current = app.bundles.current();
    let target_version = |service: &Name| {
        let spec = current.as_ref()?.bundle.services.get(service)?;
        spec.engine.as_ref().map(|e| e.version)
    };
    let state_of = |vm: &crate::edge::platform::Vm| UpstreamState {
        name: vm.name.clone(),
        service: vm.service.clone(),
        zone: vm.zone.clone(),
        address: vm.address,
        accepting: vm.state == crate::edge::platform::VmState::Live,
        target_version: target_version(&vm.service),
    };
    list.iter().map(state_of).collect()
}

fn refusals(app: &App) -> Vec<RefusalCount> {
    let counts = app.metrics.refusals().into_iter();
    counts.map(|(kind, count)| RefusalCount { kind, count }).collect()
}

fn text_response(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}
