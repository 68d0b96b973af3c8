//! Starts and stops a node.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::admin::AdminHandler;
use super::app::App;
use super::client_api::ClientHandler;
use super::identity::Identity;
use super::lifecycle::{LifecycleEvent, Phase};
use super::peers::PeerRequestHandler;
use super::{bundles, claims, orders, peers, quarantine, upstreams};
use crate::edge::http::Listener;
use crate::edge::peer::PeerListener;
use crate::metrics::ControlTask;
use crate::settings::{ConnectionSettings, Settings};

/// The most open connections of operators and of those who collect metrics.
const MAX_ADMIN_CONNECTIONS: usize = 64;
/// The time between two ticks of the dispatchers.
const DISPATCHER_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// The reason why a node did not start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// A listener could not be bound.
    #[error("the listener for {role} can't be bound to {address}: {source}")]
    Bind {
        /// Who the listener is for: callers, operators or peers.
        role: &'static str,
        /// The address from the settings.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
}

/// A running node. Dropping it ends all its tasks at once, without draining.
#[derive(Debug)]
pub struct Node {
    app: Arc<App>,
    admin_address: SocketAddr,
    /// Cancelled when the node stops accepting connections of callers and trainers.
    stop_accepting: CancellationToken,
    /// The open connections of callers and trainers.
    connections: TaskTracker,
}

impl Node {
    /// Binds the listeners and starts the tasks of the node.
    pub async fn spawn(settings: Settings) -> Result<Self, StartError> {
        let node = &settings.node;
        let client = Listener::bind(node.client_address).await;
        let client = client.map_err(bind_error("callers", node.client_address))?;
        let admin = Listener::bind(node.admin_address)
            .await
            .map_err(bind_error("admin", node.admin_address))?;
        let peer = PeerListener::bind(node.peer_address)
            .await
            .map_err(bind_error("peers", node.peer_address))?;
        let identity = Identity::new(client.address(), peer.address());
        let app = Arc::new(App::new(settings, identity));
        let stop_accepting = app.cancel.child_token();
        let connections = TaskTracker::new();
        let admin_address = admin.address();
        tracing::info!(
            event = "listening",
            node = %app.settings.node.name,
            callers = %client.address(),
            peers = %peer.address(),
            admin = %admin_address,
        );
        let limits = app.settings.connections;
        let handler = Arc::new(ClientHandler { app: app.clone() });
        client.spawn(handler, limits, &connections, stop_accepting.clone());
        // The listeners for operators and peers stay open until the node has stopped, also while it
        // drains.
        let other_connections = TaskTracker::new();
        let handler = Arc::new(AdminHandler { app: app.clone(), connections: connections.clone() });
        let limits =
            ConnectionSettings { max_open: MAX_ADMIN_CONNECTIONS, ..ConnectionSettings::default() };
        admin.spawn(handler, limits, &other_connections, app.cancel.clone());
        peer.spawn(
            Arc::new(PeerRequestHandler { app: app.clone() }),
            app.settings.peer_limits(),
            &other_connections,
            app.cancel.clone(),
        );
        let metrics = &app.metrics;
        tokio::spawn(metrics.timed(ControlTask::Bundle, bundles::follow_platform(app.clone())));
        tokio::spawn(metrics.timed(ControlTask::Members, peers::run_gossip(app.clone())));
        tokio::spawn(
            metrics.timed(ControlTask::Announce, peers::maintain_registration(app.clone())),
        );
        tokio::spawn(
            metrics.timed(ControlTask::Upstreams, upstreams::follow_platform(app.clone())),
        );
        tokio::spawn(metrics.timed(ControlTask::Orders, orders::run_rollouts(app.clone())));
        tokio::spawn(metrics.timed(ControlTask::Tick, tick_dispatchers(app.clone())));
        claims::spawn_partitions(&app);
        tokio::spawn(
            metrics.timed(ControlTask::Suspects, quarantine::sync_with_peers(app.clone())),
        );
        Ok(Self { app, admin_address, stop_accepting, connections })
    }

    /// Returns the address of the listener for callers and trainers.
    pub fn client_address(&self) -> SocketAddr {
        self.app.own_info().callers
    }

    /// Returns the address of the admin listener.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin_address
    }

    /// Returns the address of the listener for peers.
    pub fn peer_address(&self) -> SocketAddr {
        self.app.own_info().peers
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
        self.app.quarantine.counts().1
    }

    /// Returns the number of upstream VMs that the dispatchers use.
    pub fn routed_upstream_count(&self) -> usize {
        self.app.upstreams.routed_count()
    }

    /// Stops the node gracefully: it is no longer listed in address responses, serves clients until
    /// their cached addresses have expired, then finishes the requests in flight. Returns whether
    /// all of them were finished within the grace period.
    pub async fn stop(&self) -> bool {
        let drain = self.app.settings.drain;
        if self.app.handle_event(LifecycleEvent::StopRequested) == Phase::Draining {
            tokio::time::sleep(drain.address_ttl + drain.margin).await;
            self.app.handle_event(LifecycleEvent::AddressesExpired);
        }
        self.stop_accepting.cancel();
        self.connections.close();
        // A claimed call continues without its caller, so it counts as in flight too.
        let calls = &self.app.claims.calls;
        calls.close();
        let all_finished = async { tokio::join!(self.connections.wait(), calls.wait()) };
        let finished = tokio::time::timeout(drain.grace, all_finished).await.is_ok();
        if !finished {
            tracing::error!(event = "drain_timed_out", left = self.connections.len());
        }
        claims::flush(&self.app).await;
        self.app.handle_event(LifecycleEvent::RequestsFinished);
        peers::announce_departure(&self.app).await;
        self.app.cancel.cancel();
        finished
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        self.app.cancel.cancel();
    }
}

fn bind_error(
    role: &'static str,
    address: SocketAddr,
) -> impl FnOnce(std::io::Error) -> StartError {
    move |source| StartError::Bind { role, address, source }
}

/// Ticks all dispatchers at intervals until the node stops.
async fn tick_dispatchers(app: Arc<App>) {
    let mut timer = tokio::time::interval(DISPATCHER_TICK_INTERVAL);
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
