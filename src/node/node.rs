//! A running node: started, stopped gracefully, or awaited.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::admin::AdminHandler;
use super::app::App;
use super::callers::Callers;
use super::identity::Identity;
use super::lifecycle::{Event, Phase};
use super::peers::Peers;
use super::{bundles, claims, orders, peers, suspects, upstreams};
use crate::edge::http::Listener;
use crate::edge::peer::PeerListener;
use crate::metrics::Task;
use crate::settings::{Connections, Settings};

/// Time between two looks at what waits.
const TICK: Duration = Duration::from_millis(20);

/// Why a node did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A listener can't be bound.
    #[error("can't listen on {address} for {role}: {source}")]
    Bind {
        /// What for.
        role: &'static str,
        /// The address in the settings.
        address: SocketAddr,
        /// What the system says.
        source: std::io::Error,
    },
}

/// A running node. Dropping it ends it at once, without draining.
#[derive(Debug)]
pub struct Node {
    app: Arc<App>,
    admin: SocketAddr,
    accept: CancellationToken,
    connections: TaskTracker,
}

impl Node {
    /// Binds the listeners and starts.
    pub async fn spawn(settings: Settings) -> Result<Self, StartError> {
        let node = &settings.node;
        let callers = Listener::bind(node.callers).await;
        let callers = callers.map_err(bind("callers", node.callers))?;
        let admin = Listener::bind(node.admin).await.map_err(bind("admin", node.admin))?;
        let peer = PeerListener::bind(node.peers).await.map_err(bind("peers", node.peers))?;
        let identity = Identity::new(callers.address(), peer.address());
        let app = Arc::new(App::new(settings, identity));
        let accept = app.cancel.child_token();
        let connections = TaskTracker::new();
        let admin_address = admin.address();
        tracing::info!(
            event = "listening",
            node = %app.settings.node.name,
            callers = %callers.address(),
            peers = %peer.address(),
            admin = %admin_address,
        );
        let limits = app.settings.connections;
        let handler = Arc::new(Callers { app: app.clone() });
        callers.spawn(handler, limits, &connections, accept.clone());
        // Operators and peers are answered until the end, also while the node drains.
        let rest = TaskTracker::new();
        let handler = Arc::new(AdminHandler { app: app.clone(), connections: connections.clone() });
        admin.spawn(handler, Connections::default(), &rest, app.cancel.clone());
        peer.spawn(Arc::new(Peers { app: app.clone() }), &rest, app.cancel.clone());
        let all = &app.metrics;
        tokio::spawn(all.timed(Task::Bundle, bundles::follow(app.clone())));
        tokio::spawn(all.timed(Task::Members, peers::gossip(app.clone())));
        tokio::spawn(all.timed(Task::Announce, peers::announce(app.clone())));
        tokio::spawn(all.timed(Task::Upstreams, upstreams::follow(app.clone())));
        tokio::spawn(all.timed(Task::Orders, orders::follow(app.clone())));
        tokio::spawn(all.timed(Task::Tick, tick(app.clone())));
        claims::drive(&app);
        tokio::spawn(all.timed(Task::Suspects, suspects::follow(app.clone())));
        Ok(Self { app, admin: admin_address, accept, connections })
    }

    /// Returns the address of the listener for callers and trainers.
    pub fn client_address(&self) -> SocketAddr {
        self.app.info().callers
    }

    /// Returns the address of the admin listener.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin
    }

    /// Returns the address of the listener for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.app.info().peers
    }

    /// Returns the lifecycle phase of the node.
    pub fn phase(&self) -> Phase {
        self.app.phase()
    }

    /// Returns the number of the active bundle, 0 for none.
    pub fn bundle_number(&self) -> u64 {
        self.app.bundles.number()
    }

    /// Returns the number of other nodes that are known to be alive.
    pub fn live_peer_count(&self) -> usize {
        self.app.members.alive(self.app.clock.now()).len()
    }

    /// Returns the number of fingerprints that are quarantined because they crash upstreams.
    pub fn quarantined_count(&self) -> usize {
        self.app.suspects.counts().1
    }

    /// Returns the number of upstream VMs that the dispatchers use.
    pub fn routed_upstream_count(&self) -> usize {
        self.app.upstreams.routed()
    }

    /// Stops gracefully: leaves the address answers, serves those who kept one,
    /// then finishes what is in flight. Returns whether all of it was finished.
    pub async fn stop(&self) -> bool {
        let drain = self.app.settings.drain;
        if self.app.advance(Event::Stop) == Phase::Draining {
            tokio::time::sleep(drain.ttl + drain.margin).await;
            self.app.advance(Event::Forgotten);
        }
        self.accept.cancel();
        self.connections.close();
        // A claimed call goes on without its caller: it counts as in flight too.
        let calls = &self.app.claims.calls;
        calls.close();
        let all = async { tokio::join!(self.connections.wait(), calls.wait()) };
        let finished = tokio::time::timeout(drain.grace, all).await.is_ok();
        if !finished {
            tracing::error!(event = "drain_cut", left = self.connections.len());
        }
        claims::flush(&self.app).await;
        self.app.advance(Event::Idle);
        peers::farewell(&self.app).await;
        self.app.cancel.cancel();
        finished
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.app.cancel.cancel();
    }
}

fn bind(role: &'static str, address: SocketAddr) -> impl FnOnce(std::io::Error) -> StartError {
    move |source| StartError::Bind { role, address, source }
}

async fn tick(app: Arc<App>) {
    let mut timer = tokio::time::interval(TICK);
    loop {
        tokio::select! {
            () = app.cancel.cancelled() => return,
            _ = timer.tick() => {}
        }
        for (_, dispatcher) in app.dispatchers() {
            dispatcher.tick();
        }
    }
}
