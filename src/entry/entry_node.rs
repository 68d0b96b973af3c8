//! A running process.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::app::App;
use super::follow::{Topic, follow};
use super::peer::Peers;
use super::ports::Ports;
use super::usage::share_counts;
use super::{member, mover, takeover};
use crate::metrics::Tally;
use crate::settings::EntrySettings;

/// How many times the life of an address answer some clients keep it.
const KEPT: u32 = 3;
/// The part of the grace that telling the store may take: a quarter, two calls that are not
/// answered. Half of the grace is for clients that still come, the rest for what was read.
const TELLING: u32 = 4;
/// Time for a connection that was begun just before an answer ran out.
const MARGIN: Duration = Duration::from_millis(200);

/// The handle.
#[derive(Debug)]
pub struct EntryNode {
    app: Arc<App>,
}

impl EntryNode {
    /// Begins to follow the store, and to serve once its view is whole.
    pub fn spawn(
        settings: EntrySettings,
        ports: Ports,
        peers: impl FnOnce(Arc<Tally>) -> Arc<dyn Peers>,
    ) -> Self {
        let app = App::new(settings, ports, peers);
        tracing::info!(event = "process_begins", node = %app.settings.name, life = %app.incarnation);
        if app.settings.has_disk {
            app.spawn(follow(app.clone(), Topic::Retirements));
        }
        if app.settings.client_address.is_some() {
            app.spawn(follow(app.clone(), Topic::Routes));
            app.spawn(follow(app.clone(), Topic::Replicas));
            app.spawn(follow(app.clone(), Topic::Nodes));
            app.spawn(member::keep(app.clone()));
            app.spawn(takeover::follow(app.clone()));
            app.spawn(mover::give(app.clone()));
            if let Some(usage) = app.usage.clone() {
                app.spawn(share_counts(app.clone(), usage));
            }
            let looking = app.clone();
            app.spawn(async move { looking.look().await });
        }
        Self { app }
    }

    /// What the listeners serve from.
    pub fn app(&self) -> &Arc<App> {
        &self.app
    }

    /// Leaves: jobs are handed over, clients sent elsewhere. Returns once no client should
    /// come any more; the listeners serve until then.
    pub async fn drain(&self) {
        self.app.draining.store(true, Ordering::Relaxed);
        tracing::info!(event = "process_leaves", node = %self.app.settings.name);
        self.app.stop.cancel();
        if self.app.settings.client_address.is_none() {
            return;
        }
        let begun = self.app.now();
        let grace = self.app.settings.stop_grace;
        // In an outage others take the jobs, and clients go elsewhere, once the lease ends.
        let told = async {
            self.app.hand_over().await;
            self.app.leave().await;
        };
        if tokio::time::timeout(grace / TELLING, told).await.is_err() {
            tracing::warn!(event = "leaving_not_told", node = %self.app.settings.name);
        }
        let kept = Duration::from_secs(self.app.settings.address_ttl) * KEPT + MARGIN;
        let left = (grace / 2 + MARGIN).saturating_sub(self.app.now() - begun);
        tokio::time::sleep(kept.min(left)).await;
    }
}

impl Drop for EntryNode {
    fn drop(&mut self) {
        self.app.abort.cancel();
    }
}
