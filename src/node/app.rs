//! What the parts of a node share, passed by reference.

use std::collections::HashMap;
use std::sync::Arc;

use parking_lot::{Mutex, RwLock};
use tokio_util::sync::CancellationToken;

use super::bundles::Bundles;
use super::claims::Claims;
use super::dispatcher::Dispatcher;
use super::lifecycle::{Event, Lifecycle, Phase};
use super::members::Members;
use super::orders::Orders;
use super::suspects::Suspects;
use super::train::Steps;
use super::upstreams::Upstreams;
use super::{Clock, identity};
use crate::Name;
use crate::bundle::Adopted;
use crate::decide::{EngineVersions, rendezvous_rank};
use crate::edge::peer::{NodeInfo, NodeRequest, NodeState, PeerClient};
use crate::edge::platform::PlatformClient;
use crate::edge::upstream::{EngineClient, PlainClient};
use crate::error::{Kind, Refusal};
use crate::metrics::{Metrics, Purpose};
use crate::settings::Settings;

/// The context of a node.
#[derive(Debug)]
pub(super) struct App {
    pub(super) settings: Settings,
    pub(super) clock: Clock,
    pub(super) metrics: Arc<Metrics>,
    pub(super) platform: PlatformClient,
    pub(super) peers: PeerClient,
    pub(super) engines: EngineClient,
    pub(super) plain: PlainClient,
    pub(super) bundles: Bundles,
    pub(super) members: Members,
    pub(super) upstreams: Upstreams,
    pub(super) steps: Steps,
    pub(super) orders: Orders,
    pub(super) claims: Claims,
    pub(super) suspects: Arc<Suspects>,
    /// The versions that engines were last seen to serve.
    pub(super) served: Mutex<EngineVersions>,
    /// Cancelled when the node has stopped: ends every background task.
    pub(super) cancel: CancellationToken,
    dispatchers: RwLock<HashMap<Name, Arc<Dispatcher>>>,
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
            peers: counted(metrics.clone()),
            engines: EngineClient::with_traffic(metrics.traffic(Purpose::Order)),
            plain: PlainClient,
            bundles: Bundles::new(settings.operators.clone()),
            members: Members::new(&settings.node, &identity),
            upstreams: Upstreams::default(),
            steps: Steps::default(),
            orders: Orders::default(),
            claims: Claims::new(&settings.node.name),
            suspects: Arc::new(Suspects::new(&settings.node.name)),
            served: Mutex::default(),
            cancel: CancellationToken::new(),
            dispatchers: RwLock::default(),
            lifecycle: Mutex::new((Lifecycle::new(), Phase::Starting)),
            metrics,
            settings,
        }
    }

    /// The phase of the node.
    pub(super) fn phase(&self) -> Phase {
        self.lifecycle.lock().1
    }

    /// Moves the lifecycle on.
    pub(super) fn advance(&self, event: Event) -> Phase {
        let mut lifecycle = self.lifecycle.lock();
        let before = lifecycle.1;
        let after = lifecycle.0.handle(event);
        lifecycle.1 = after;
        if before != after {
            tracing::info!(event = "phase", from = ?before, to = ?after);
            self.members.set_state(after.shown());
        }
        after
    }

    /// Whether another node is known to serve: only then is work let go.
    pub(super) fn others_serve(&self) -> bool {
        !self.members.serving(self.clock.now()).is_empty()
    }

    /// What this node says of itself now.
    pub(super) fn info(&self) -> NodeInfo {
        self.members.own()
    }

    /// The home of a key among the nodes that serve, as this node sees them.
    pub(super) fn home(&self, key: &str) -> Option<Name> {
        let own = self.info();
        let mut serving = self.members.serving(self.clock.now());
        if own.state == NodeState::Serving {
            serving.push(own);
        }
        let ranked = rendezvous_rank(key, serving.iter().map(|n| &*n.name));
        ranked.first().map(|home| Name::from(*home))
    }

    /// The bundle in force, or the refusal to a caller who came before it.
    pub(super) fn bundle(&self) -> Result<Adopted, Refusal> {
        let wait = self.settings.platform.timeout;
        self.bundles
            .current()
            .ok_or_else(|| Refusal::new(Kind::NoBundle, "this node starts").after(wait))
    }

    /// The dispatcher of a service of the bundle in force.
    pub(super) fn dispatcher(&self, service: &str) -> Result<Arc<Dispatcher>, Refusal> {
        self.dispatchers.read().get(service).cloned().ok_or_else(|| {
            Refusal::new(Kind::UnknownService, format!("no service {service} in the bundle"))
        })
    }

    /// All dispatchers.
    pub(super) fn dispatchers(&self) -> Vec<(Name, Arc<Dispatcher>)> {
        self.dispatchers.read().iter().map(|(n, d)| (n.clone(), d.clone())).collect()
    }

    /// Brings the dispatchers in line with a bundle that comes into force.
    pub(super) fn apply(&self, adopted: &Adopted) {
        self.metrics.bundle.set(adopted.bundle.number as i64);
        self.members.set_bundle(adopted.bundle.number);
        let mut dispatchers = self.dispatchers.write();
        for (name, service) in &adopted.bundle.services {
            let limits = service.limits();
            let dispatcher = dispatchers.entry(name.clone()).or_insert_with(|| {
                let zone = self.settings.node.zone.clone();
                Arc::new(Dispatcher::new(limits, zone, self.clock, self.metrics.clone()))
            });
            dispatcher.set_limits(limits);
            dispatcher.set_shares(adopted.bundle.shares());
        }
        dispatchers.retain(|name, _| adopted.bundle.services.contains_key(name));
    }
}

fn counted(metrics: Arc<Metrics>) -> PeerClient {
    PeerClient::new(move |request: &NodeRequest| metrics.traffic(request.purpose()))
}
