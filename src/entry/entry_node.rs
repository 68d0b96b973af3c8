//! The lifecycle of an entry node: its background tasks, and draining when it stops.

use std::sync::Arc;
use std::time::Duration;

use super::app::App;
use super::follow::{Topic, follow};
use super::peer::Peers;
use super::ports::Ports;
use super::usage::share_counts;
use super::{leader, registration, takeover};
use crate::decide::StopPlan;
use crate::metrics::EntryMetrics;
use crate::settings::EntrySettings;

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
        let app = &self.app;
        let address_ttl = Duration::from_secs(app.settings.ttl_secs);
        let plan = StopPlan::new(app.now(), app.settings.stop_grace, address_ttl);
        let plan = app.stop_plan.get_or_init(|| plan);
        tracing::info!(
            event = "process_draining",
            node = %app.settings.name,
            time_left_ms = self.time_left().as_millis() as u64
        );
        app.stop.cancel();
        if app.settings.client_address.is_none() {
            return;
        }
        // During an outage of the store, other nodes take over the jobs and clients leave once the
        // lease ends.
        let handover = async {
            app.hand_over().await;
            app.deregister().await;
        };
        if tokio::time::timeout(plan.handover_timeout(), handover).await.is_err() {
            tracing::warn!(event = "handover_timed_out", node = %app.settings.name);
        }
        let now = app.now();
        tokio::time::sleep(plan.closes_at(now).saturating_sub(now)).await;
    }

    /// Waits until other nodes have what this one has counted, once no request is open any more.
    pub async fn flush_usage(&self) {
        let Some(usage) = &self.app.usage else { return };
        usage.wait_until_acknowledged(self.exit_time_left()).await;
    }

    /// Returns how long the process may still take to exit; zero before it is stopping.
    fn exit_time_left(&self) -> Duration {
        let exits_at = self.app.stop_plan.get().map_or(Duration::ZERO, StopPlan::exits_at);
        exits_at.saturating_sub(self.app.now())
    }

    /// Returns how long open requests may still take once the node is stopping; zero before.
    pub fn time_left(&self) -> Duration {
        let ends_at = self.app.stop_plan.get().map_or(Duration::ZERO, StopPlan::ends_at);
        ends_at.saturating_sub(self.app.now())
    }
}

impl Drop for EntryNode {
    fn drop(&mut self) {
        self.app.abort.cancel();
    }
}
