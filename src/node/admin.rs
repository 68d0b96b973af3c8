//! What operators and metrics ask over HTTP. Queries only: nothing here changes the node.

use std::net::SocketAddr;
use std::sync::Arc;

use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use tokio_util::task::TaskTracker;

use super::app::App;
use super::lifecycle::Phase;
use super::orders::states;
use crate::Name;
use crate::edge::http::{Body, Handler, full_body, json_response, problem_response};
use crate::edge::peer::NodeInfo;
use crate::error::{Kind, Refusal};
use crate::metrics::Entry;

/// The bundle in force at a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BundleState {
    /// Its number.
    pub number: u64,
    /// SHA-256 of its text, in hex.
    pub digest: String,
}

/// A service at a node.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamState {
    /// The VM.
    pub name: Name,
    /// The service on it.
    pub service: Name,
    /// Its availability zone.
    pub zone: Name,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it gets new work.
    pub open: bool,
    /// For an engine, the weight version that the bundle states.
    #[serde(default)]
    pub wanted: Option<u64>,
}

/// How often a kind was refused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RefusalCount {
    /// The kind.
    pub kind: Kind,
    /// How often.
    pub count: u64,
}

/// The handler of the admin listener.
#[derive(Debug)]
pub(super) struct Admin {
    pub(super) app: Arc<App>,
    pub(super) callers: TaskTracker,
}

impl Handler for Admin {
    async fn handle(self: Arc<Self>, request: Request<Incoming>, _: SocketAddr) -> Response<Body> {
        let app = &self.app;
        if request.method() != Method::GET {
            return problem_response(&Refusal::new(Kind::WrongMethod, "use GET"));
        }
        match request.uri().path() {
            "/healthz" => text(StatusCode::OK, "ok\n".to_owned()),
            "/readyz" => ready(app),
            "/metrics" => {
                // One of them is the listener itself.
                let open = self.callers.len().saturating_sub(1);
                app.metrics.held(Entry::Connection, open);
                metrics(app)
            }
            "/v1/state/bundle" => match app.bundles.current() {
                None => problem_response(&Refusal::new(Kind::NoBundle, "none is in force")),
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
            "/v1/state/rollout" => json_response(StatusCode::OK, &states(app)),
            "/v1/state/refusals" => json_response(StatusCode::OK, &refusals(app)),
            path => problem_response(&Refusal::new(Kind::UnknownPath, path)),
        }
    }
}

fn metrics(app: &App) -> Response<Body> {
    let held = |kind, count| app.metrics.held(kind, count);
    held(Entry::Member, app.members.held());
    held(Entry::Upstream, app.upstreams.list().len());
    held(Entry::Step, app.steps.held());
    let (suspects, quarantined) = app.suspects.counts();
    held(Entry::Suspect, suspects);
    held(Entry::Quarantined, quarantined);
    held(Entry::Claim, app.claims.held());
    held(Entry::Attempt, app.claims.attempts());
    let depths = app.dispatchers().into_iter().map(|(_, d)| d.held());
    let (waiting, running) = depths.fold((0, 0), |sum, d| (sum.0 + d.0, sum.1 + d.1));
    held(Entry::Waiting, waiting);
    held(Entry::Running, running);
    let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
    let mut response = text(StatusCode::OK, app.metrics.text());
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(kind));
    response
}

fn ready(app: &App) -> Response<Body> {
    let phase = app.phase();
    match phase {
        Phase::Serving => text(StatusCode::OK, "serving\n".to_owned()),
        Phase::Starting | Phase::Draining | Phase::Closing | Phase::Stopped => {
            text(StatusCode::SERVICE_UNAVAILABLE, format!("{phase:?}\n").to_lowercase())
        }
    }
}

fn nodes(app: &App) -> Vec<NodeInfo> {
    let mut nodes = vec![app.info()];
    nodes.extend(app.members.alive(app.clock.now()));
    nodes.sort_by(|a, b| a.name.cmp(&b.name));
    nodes
}

fn upstreams(app: &App) -> Vec<UpstreamState> {
    let list = app.upstreams.list();
    let current = app.bundles.current();
    let wanted = |service: &Name| {
        let spec = current.as_ref()?.bundle.services.get(service)?;
        spec.engine.as_ref().map(|e| e.version)
    };
    let one = |vm: &crate::edge::platform::Vm| UpstreamState {
        name: vm.name.clone(),
        service: vm.service.clone(),
        zone: vm.zone.clone(),
        address: vm.address,
        open: vm.state == crate::edge::platform::VmState::Live,
        wanted: wanted(&vm.service),
    };
    list.iter().map(one).collect()
}

fn refusals(app: &App) -> Vec<RefusalCount> {
    let counts = app.metrics.refusals().into_iter();
    counts.map(|(kind, count)| RefusalCount { kind, count }).collect()
}

fn text(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(full_body(text));
    *response.status_mut() = status;
    response
}
