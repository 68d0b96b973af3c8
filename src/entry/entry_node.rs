//! The lifecycle of an entry node: its background tasks, and draining when it stops.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::app::App;
use super::follow::{Topic, follow};
use super::peer::Peers;
use super::ports::Ports;
use super::usage::share_counts;
use super::{leader, registration, takeover};
use crate::metrics::EntryMetrics;
use crate::settings::EntrySettings;

/// How many times the time to live of an address list some clients cache it for.
const CLIENT_CACHE_FACTOR: u32 = 3;
/// The handover of jobs and the deregistration may take this part of the grace period: one
/// quarter, which allows for two calls that are not answered. Half of the grace period is for
/// clients that still connect, and the rest for requests that have been read.
const HANDOVER_GRACE_DIVISOR: u32 = 4;
/// Extra time for a connection that a client opens just before its address list expires.
const CONNECT_MARGIN: Duration = Duration::from_millis(200);

/// A running entry node. Its tasks end when it is dropped.
#[derive(Debug)]
pub struct EntryNode {
    app: Arc<App>,
}

impl EntryNode {
    /// Starts the background tasks that the settings call for. The node is ready to serve once it
    /// has read the routes and has registered itself in the store.
    pub fn spawn(
        settings: EntrySettings,
        ports: Ports,
        peers: impl FnOnce(Arc<EntryMetrics>) -> Arc<dyn Peers>,
    ) -> Self {
        let app = App::new(settings, ports, peers);
        let (node, life) = (&app.settings.name, &app.incarnation);
        tracing::info!(event = "process_started", %node, %life);
        if app.settings.has_disk {
            app.spawn(follow(app.clone(), Topic::Retirements));
        }
        if app.settings.client_address.is_some() {
            app.spawn(follow(app.clone(), Topic::Routes));
            app.spawn(follow(app.clone(), Topic::Replicas));
            app.spawn(follow(app.clone(), Topic::Nodes));
            app.spawn(registration::maintain_registration(app.clone()));
            app.spawn(takeover::run_takeover(app.clone()));
            app.spawn(leader::run_leader(app.clone()));
            if let Some(usage) = app.usage.clone() {
                app.spawn(share_counts(app.clone(), usage));
            }
            app.spawn(app.quarantine.clone().run());
            app.spawn(app.quarantine.clone().write_records(app.store.clone()));
            let waiting = app.clone();
            app.spawn(async move { waiting.retry_waiting().await });
            let calls = app.clone();
            app.spawn(async move { calls.run_call_queues().await });
        }
        Self { app }
    }

    /// Returns the shared state, from which the listeners serve.
    pub fn app(&self) -> &Arc<App> {
        &self.app
    }

    /// Drains the node: hands its jobs over and directs clients to other nodes. Returns once no
    /// client should connect any more; the listeners have to serve until then.
    pub async fn drain(&self) {
        self.app.draining.store(true, Ordering::Relaxed);
        tracing::info!(event = "process_draining", node = %self.app.settings.name);
        self.app.stop.cancel();
        if self.app.settings.client_address.is_none() {
            return;
        }
        let started = self.app.now();
        let grace = self.app.settings.stop_grace;
        // During an outage of the store, other nodes take over the jobs and clients leave once the
        // lease ends.
        let handover = async {
            self.app.hand_over().await;
            self.app.deregister().await;
        };
        if tokio::time::timeout(grace / HANDOVER_GRACE_DIVISOR, handover).await.is_err() {
            tracing::warn!(event = "handover_timed_out", node = %self.app.settings.name);
        }
        let cached =
            Duration::from_secs(self.app.settings.ttl_secs) * CLIENT_CACHE_FACTOR + CONNECT_MARGIN;
        let left = (grace / 2 + CONNECT_MARGIN).saturating_sub(self.app.now() - started);
        tokio::time::sleep(cached.min(left)).await;
    }
}

impl Drop for EntryNode {
    fn drop(&mut self) {
        self.app.abort.cancel();
    }
}
