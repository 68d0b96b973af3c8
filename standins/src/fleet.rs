//! A small deployment in one process: stand-ins, nodes and a first bundle.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ed25519_dalek::SigningKey;
use mulberrycourse::Name;
use mulberrycourse::bundle::{Envelope, Operators, sign};
use mulberrycourse::cli::{BundleStore, CommandError};
use mulberrycourse::edge::http::{JsonClient, empty_body, read_body};
use mulberrycourse::edge::platform::{Vm, VmState};
use mulberrycourse::node::{Node, Phase, StartError};
use mulberrycourse::settings::{
    ConnectionSettings, DrainSettings, NodeSettings, PeerSettings, PlatformSettings, Settings,
};

use crate::engine::{Engine, EngineSettings};
use crate::plain::PlainService;
use crate::platform::Platform;

/// Any free port on the loopback interface.
pub const ANY_PORT: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

/// Interval at which a condition is polled.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The largest metrics page that is read.
const MAX_METRICS_BYTES: usize = 1 << 20;

/// Why a fleet or its next bundle did not start.
#[derive(Debug, thiserror::Error)]
pub enum FleetError {
    /// A stand-in could not bind its address.
    #[error(transparent)]
    Bind(#[from] std::io::Error),
    /// A node did not start.
    #[error(transparent)]
    Start(#[from] StartError),
    /// A bundle was not accepted.
    #[error(transparent)]
    Bundle(#[from] CommandError),
}

/// Two operators with their signing keys.
#[derive(Debug)]
pub struct Signers {
    keys: [(Name, SigningKey); 2],
}

impl Default for Signers {
    fn default() -> Self {
        let key = |byte| SigningKey::from_bytes(&[byte; 32]);
        Self { keys: [("ada".into(), key(1)), ("ben".into(), key(2))] }
    }
}

impl Signers {
    /// The operators with their public keys.
    pub fn operators(&self) -> Operators {
        let mut operators = Operators::default();
        for (name, key) in &self.keys {
            operators.add(name.clone(), key.verifying_key());
        }
        operators
    }

    /// The operators' names and signing keys.
    pub fn keys(&self) -> &[(Name, SigningKey); 2] {
        &self.keys
    }

    /// A bundle that both operators have signed.
    pub fn signed(&self, number: u64, text: &str) -> Envelope {
        let mut envelope = Envelope {
            number,
            text: text.to_owned(),
            author: self.keys[0].0.clone(),
            nonce: rand::random(),
            signatures: Vec::new(),
        };
        let digest = envelope.digest();
        let signed = self.keys.iter().map(|(name, key)| sign(name.clone(), key, &digest));
        envelope.signatures = signed.collect();
        envelope
    }
}

/// A running deployment.
#[derive(Debug)]
pub struct Fleet {
    /// The platform stand-in.
    pub platform: Platform,
    /// The engines of service `patter`.
    pub engines: Vec<Engine>,
    /// The replicas of service `stock`.
    pub stock: Vec<PlainService>,
    /// The replicas of service `sync`, whose calls must not be repeated.
    pub sync: Vec<PlainService>,
    /// The nodes.
    pub nodes: Vec<Node>,
    /// The operators.
    pub signers: Signers,
}

impl Fleet {
    /// Starts the stand-ins and `nodes` nodes, and waits until the nodes use the first bundle.
    pub async fn spawn(
        nodes: usize,
        engines: usize,
        settings: EngineSettings,
    ) -> Result<Self, FleetError> {
        let platform = Platform::bind(ANY_PORT).await?;
        let mut fleet = Self {
            platform,
            engines: Vec::new(),
            stock: Vec::new(),
            sync: Vec::new(),
            nodes: Vec::new(),
            signers: Signers::default(),
        };
        for _ in 0..engines {
            fleet.engines.push(Engine::bind(ANY_PORT, settings.clone()).await?);
        }
        for _ in 0..2 {
            fleet.stock.push(PlainService::bind(ANY_PORT).await?);
            fleet.sync.push(PlainService::bind(ANY_PORT).await?);
        }
        fleet.platform.set_vms(fleet.vms());
        fleet.apply_bundle(1, &bundle_text(1, settings.version)).await?;
        for index in 0..nodes {
            let node = fleet.start_node(index).await?;
            fleet.nodes.push(node);
        }
        fleet.wait_until_settled(1).await;
        Ok(fleet)
    }

    /// Starts one more node, which the fleet does not keep.
    pub async fn start_node(&self, index: usize) -> Result<Node, FleetError> {
        Ok(Node::spawn(self.settings(index)).await?)
    }

    /// The settings of the node with this index.
    pub fn settings(&self, index: usize) -> Settings {
        let zones = ["gloshaugen", "elgeseter", "heimdal"];
        Settings {
            node: NodeSettings {
                name: format!("node-{index}").into(),
                region: "trondheim".into(),
                zone: zones[index % zones.len()].into(),
                client_address: ANY_PORT,
                peer_address: ANY_PORT,
                admin_address: ANY_PORT,
            },
            platform: PlatformSettings {
                address: self.platform.address(),
                timeout: Duration::from_secs(1),
            },
            peers: PeerSettings {
                seeds: self.nodes.iter().map(Node::peer_address).collect(),
                ..PeerSettings::default()
            },
            drain: DrainSettings {
                address_ttl: Duration::from_millis(300),
                margin: Duration::from_millis(200),
                grace: Duration::from_secs(20),
            },
            connections: ConnectionSettings::default(),
            operators: self.signers.operators(),
            log_level: "info".to_owned(),
        }
    }

    /// The list of VMs of all engines and plain services, all live.
    pub fn vms(&self) -> Vec<Vm> {
        let zones = ["gloshaugen", "elgeseter", "heimdal"];
        let vm = |service: &str, index: usize, address| Vm {
            name: format!("{service}-{index}").into(),
            service: service.into(),
            zone: zones[index % zones.len()].into(),
            address,
            incarnation: 1,
            state: VmState::Live,
        };
        let engines = self.engines.iter().map(Engine::address).enumerate();
        let stock = self.stock.iter().map(PlainService::address).enumerate();
        let sync = self.sync.iter().map(PlainService::address).enumerate();
        engines
            .map(|(i, a)| vm("patter", i, a))
            .chain(stock.map(|(i, a)| vm("stock", i, a)))
            .chain(sync.map(|(i, a)| vm("sync", i, a)))
            .collect()
    }

    /// The addresses of all nodes for callers.
    pub fn client_addresses(&self) -> Vec<SocketAddr> {
        self.nodes.iter().map(Node::client_address).collect()
    }

    /// The metrics of a node as text; empty if it does not respond.
    pub async fn metrics(&self, node: &Node) -> String {
        let request = http::Request::get(format!("http://{}/metrics", node.admin_address()));
        let Ok(request) = request.body(empty_body()) else { return String::new() };
        let response = JsonClient::default().send(node.admin_address(), request).await;
        let Ok(response) = response else { return String::new() };
        let text = read_body(response.into_body(), MAX_METRICS_BYTES).await.unwrap_or_default();
        String::from_utf8_lossy(&text).into_owned()
    }

    /// Makes a signed bundle the current one at the platform.
    pub async fn apply_bundle(&self, number: u64, text: &str) -> Result<(), FleetError> {
        let store = BundleStore::new(self.platform.address());
        let (_, revision) = store.current().await?;
        store.apply(&self.signers.signed(number, text), revision).await?;
        Ok(())
    }

    /// Waits until every node serves with this bundle or a later one, and knows all other nodes and
    /// all upstreams.
    pub async fn wait_until_settled(&self, bundle: u64) {
        let ready = |n: &Node| {
            n.phase() == Phase::Serving
                && n.bundle_number() >= bundle
                && n.live_peer_count() + 1 >= self.nodes.len()
                && n.routed_upstream_count() >= self.vms().len()
        };
        while !self.nodes.iter().all(ready) {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}

/// The text of the fleet's bundle, with this weight version.
pub fn bundle_text(number: u64, version: u64) -> String {
    format!(
        "[bundle]
number = {number}
idle_weight = 0.8

[service patter]
kind = engine
version = {version}
concurrency = 32
swapping = 50

[service stock]
kind = plain

[service sync]
kind = plain
repeat = once

[caller shop]
class = live
share = 4

[trainer coach]
service = patter
staleness = 2
"
    )
}
