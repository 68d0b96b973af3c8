//! The state that the parts of a node share.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::{Mutex, RwLock};
use tokio_util::sync::CancellationToken;

use super::bundles::Bundles;
use super::claims::Claims;
use super::dispatcher::Dispatcher;
use super::lifecycle::{Lifecycle, LifecycleEvent, Phase};
use super::members::Members;
use super::orders::Rollouts;
use super::quarantine::NodeQuarantine;
use super::steps::ActiveSteps;
use super::upstreams::Upstreams;
use super::{Clock, identity};
use crate::Name;
use crate::bundle::AdoptedBundle;
use crate::decide::{EngineVersions, rendezvous_rank};
use crate::edge::MemoryBudget;
use crate::edge::http::BodyReader;
use crate::edge::peer::{NodeInfo, NodeRequest, NodeState, PeerClient};
use crate::edge::platform::PlatformClient;
use crate::edge::upstream::{EngineClient, PlainClient};
use crate::error::{Kind, Refusal};
use crate::metrics::{ControlPurpose, Metrics};
use crate::settings::Settings;

/// The shared state of a node.
#[derive(Debug)]
pub(super) struct App {
    pub(super) settings: Settings,
    pub(super) clock: Clock,
    pub(super) metrics: Arc<Metrics>,
    pub(super) platform: PlatformClient,
    pub(super) peers: PeerClient,
    pub(super) engines: EngineClient,
    pub(super) plain: PlainClient,
    /// Reads the bodies of requests.
    pub(super) bodies: BodyReader,
    pub(super) bundles: Bundles,
    pub(super) members: Members,
    pub(super) upstreams: Upstreams,
    pub(super) steps: ActiveSteps,
    pub(super) rollouts: Rollouts,
    pub(super) claims: Claims,
    pub(super) quarantine: Arc<NodeQuarantine>,
    /// The weight versions that the engines last reported.
    pub(super) engine_versions: Mutex<EngineVersions>,
    /// Cancelled when the node has stopped. This ends all background tasks.
    pub(super) cancel: CancellationToken,
    dispatchers: RwLock<HashMap<Name, Arc<Dispatcher>>>,
    /// The lifecycle and its current phase.
    lifecycle: Mutex<(Lifecycle, Phase)>,
}

impl App {
    pub(super) fn new(settings: Settings, identity: identity::Identity) -> Self {
        let metrics = Arc::new(Metrics::default());
        let platform = &settings.platform;
        let platform = PlatformClient::new(platform.address, platform.timeout, metrics.clone());
        Self {
            clock: Clock::default(),
            platform,
            peers: counting_peer_client(metrics.clone()),
            engines: EngineClient::with_traffic(metrics.traffic(ControlPurpose::Order)),
            plain: PlainClient,
            bodies: BodyReader::new(MemoryBudget::new(Some(settings.connections.body_memory))),
            bundles: Bundles::new(settings.operators.clone()),
            members: Members::new(&settings.node, &identity),
            upstreams: Upstreams::default(),
            steps: ActiveSteps::default(),
            rollouts: Rollouts::default(),
            claims: Claims::new(&settings.node.name),
            quarantine: Arc::new(NodeQuarantine::new(&settings.node.name)),
            engine_versions: Mutex::default(),
            cancel: CancellationToken::new(),
            dispatchers: RwLock::default(),
            lifecycle: Mutex::new((Lifecycle::new(), Phase::Starting)),
            metrics,
            settings,
        }
    }

    /// Returns the lifecycle phase of the node.
    pub(super) fn phase(&self) -> Phase {
        self.lifecycle.lock().1
    }

    /// Passes an event to the lifecycle and returns the phase after it.
    pub(super) fn handle_event(&self, event: LifecycleEvent) -> Phase {
        let mut lifecycle = self.lifecycle.lock();
        let before = lifecycle.1;
        let after = lifecycle.0.handle(event);
        lifecycle.1 = after;
        if before != after {
            tracing::info!(event = "phase", from = ?before, to = ?after);
            self.members.set_state(after.node_state());
        }
        after
    }

    /// Whether another node is known to serve. Only then may this node release work to others.
    pub(super) fn others_serve(&self) -> bool {
        !self.members.serving(self.clock.now()).is_empty()
    }

    /// Returns what this node reports about itself.
    pub(super) fn own_info(&self) -> NodeInfo {
        self.members.own_info()
    }

    /// Returns the owner of a key among the nodes that serve, as far as this node knows them.
    pub(super) fn key_owner(&self, key: &str) -> Option<Name> {
        let own = self.own_info();
        let mut serving = self.members.serving(self.clock.now());
        if own.state == NodeState::Serving {
            serving.push(own);
        }
        let ranked = rendezvous_rank(key, serving.iter().map(|n| &*n.name));
        ranked.first().map(|owner| Name::from(*owner))
    }

    /// Returns the active bundle. Refuses the request if there is none yet.
    pub(super) fn bundle(&self) -> Result<AdoptedBundle, Refusal> {
        let wait = self.settings.platform.timeout;
        self.bundles.current().ok_or_else(|| {
            Refusal::new(Kind::NoBundle, "this node has no active bundle yet")
                .with_retry_after(wait)
        })
    }

    /// Returns the dispatcher of a service in the active bundle.
    pub(super) fn dispatcher(&self, service: &str) -> Result<Arc<Dispatcher>, Refusal> {
        self.dispatchers.read().get(service).cloned().ok_or_else(|| {
            Refusal::new(Kind::UnknownService, format!("no service {service} in the bundle"))
        })
    }

    /// Returns all dispatchers with the names of their services.
    pub(super) fn dispatchers(&self) -> Vec<(Name, Arc<Dispatcher>)> {
        self.dispatchers.read().iter().map(|(n, d)| (n.clone(), d.clone())).collect()
    }

    /// Updates the dispatchers to a bundle that becomes active.
    pub(super) fn apply_bundle(&self, adopted: &AdoptedBundle) {
        self.metrics.bundle_number.set(adopted.bundle.number as i64);
        self.members.set_bundle(adopted.bundle.number);
        let mut dispatchers = self.dispatchers.write();
        for (name, service) in &adopted.bundle.services {
            let limits = service.limits();
            let dispatcher = dispatchers.entry(name.clone()).or_insert_with(|| {
                let zone = self.settings.node.zone.clone();
                Arc::new(Dispatcher::new(limits, zone, self.clock, self.metrics.clone()))
            });
            dispatcher.set_limits(limits);
            dispatcher.set_weights(adopted.bundle.caller_weights());
        }
        dispatchers.retain(|name, _| adopted.bundle.services.contains_key(name));
    }
}

/// Creates a peer client that counts the bytes of each request by its purpose.
fn counting_peer_client(metrics: Arc<Metrics>) -> PeerClient {
    PeerClient::new(move |request: &NodeRequest| metrics.traffic(request.purpose()))
}
