//! The active bundle of this node, and the watch on the platform for new ones.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use parking_lot::Mutex;
use rand::Rng;
use tokio::sync::watch;

use super::app::App;
use super::lifecycle::LifecycleEvent;
use crate::bundle::{AdoptedBundle, Adoption, BundleError, Envelope, OfferOrder, Operators};
use crate::edge::http::JsonClientError;
use crate::edge::platform::VersionedValue;
use crate::metrics::PlatformPurpose;

/// The platform key of the active bundle.
pub const CURRENT_BUNDLE_KEY: &str = "bundle/current";
/// The key prefix of proposed bundles. The number of the bundle follows.
pub const PROPOSED_BUNDLE_PREFIX: &str = "bundle/proposed/";
/// The key prefix of all bundles that have been active. The number of the bundle follows.
pub const BUNDLE_HISTORY_PREFIX: &str = "bundle/history/";

/// The delay after a watch has ended, and after the first failure.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(250);
/// The maximum delay after repeated failures.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// The number of nodes that watch the bundle. All eight lose their watch at once only if the
/// platform fails. If each of 380 nodes watched, they would return with 760 calls at once after an
/// outage.
const WATCHER_COUNT: usize = 8;
/// The time between two reads by a node that does not watch: 13 calls a second for 380 nodes.
const NON_WATCHER_READ_INTERVAL: Duration = Duration::from_secs(30);
/// How often a node checks whether it is one of the watchers.
const WATCHER_CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// The active bundle, if there is one yet.
#[derive(Debug)]
pub(super) struct Bundles {
    adoption: Mutex<Adoption>,
    current: watch::Sender<Option<AdoptedBundle>>,
    operators: Operators,
}

impl Bundles {
    pub(super) fn new(operators: Operators) -> Self {
        Self { adoption: Mutex::default(), current: watch::Sender::new(None), operators }
    }

    /// Returns the active bundle.
    pub(super) fn current(&self) -> Option<AdoptedBundle> {
        self.current.borrow().clone()
    }

    /// Returns the number of the active bundle, 0 for none.
    pub(super) fn number(&self) -> u64 {
        self.current.borrow().as_ref().map_or(0, |a| a.bundle.number)
    }

    /// Returns a receiver that is notified of each bundle that becomes active.
    pub(super) fn subscribe(&self) -> watch::Receiver<Option<AdoptedBundle>> {
        self.current.subscribe()
    }

    /// Adopts a bundle if it is newer than the active one. Fails if its signatures or its text are
    /// not valid.
    pub(super) fn offer(&self, app: &App, envelope: Envelope) -> Result<OfferOrder, BundleError> {
        let ahead = self.adoption.lock().compare(&envelope);
        if ahead != OfferOrder::Later {
            return Ok(ahead);
        }
        let bundle = Arc::new(envelope.verify(&self.operators)?);
        let adopted = AdoptedBundle { bundle, envelope: Arc::new(envelope) };
        let mut adoption = self.adoption.lock();
        let activated = adoption.offer(adopted);
        self.activate(app, activated);
        Ok(ahead)
    }

    /// Records that the other nodes were asked for their bundle. The newest bundle that this node
    /// knows becomes active.
    pub(super) fn peers_asked(&self, app: &App) {
        let mut adoption = self.adoption.lock();
        let activated = adoption.peers_asked();
        self.activate(app, activated);
    }

    /// Makes a bundle active. The caller holds the lock of the adoption, so that bundles become
    /// active in order.
    fn activate(&self, app: &App, activated: Option<AdoptedBundle>) {
        let Some(adopted) = activated else { return };
        tracing::info!(event = "bundle_adopted", number = adopted.bundle.number);
        // The dispatchers must exist before the subscribers are notified, which pass the upstreams
        // to them.
        app.apply_bundle(&adopted);
        self.current.send_replace(Some(adopted));
        app.handle_event(LifecycleEvent::BundleActive);
    }
}

/// Keeps up with the platform's bundle until the node stops. A few nodes watch it. The others
/// receive changes from those by gossip, and read the bundle at long intervals.
pub(super) async fn follow_platform(app: Arc<App>) {
    let mut retry_delay = MIN_RETRY_DELAY;
    loop {
        let result = tokio::select! {
            () = app.cancel.cancelled() => return,
            result = read_and_watch(&app) => result,
        };
        let delay = match result {
            Ok(()) => {
                retry_delay = MIN_RETRY_DELAY;
                if is_watcher(&app) { MIN_RETRY_DELAY } else { NON_WATCHER_READ_INTERVAL }
            }
            Err(e) => {
                tracing::warn!(event = "bundle_watch_failed", error = %e);
                retry_delay = (retry_delay * 2).min(MAX_RETRY_DELAY);
                retry_delay
            }
        };
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::select! {
            () = app.cancel.cancelled() => return,
            () = tokio::time::sleep(delay.mul_f64(jitter)) => {}
            () = wait_for_watcher_role(&app, true), if delay == NON_WATCHER_READ_INTERVAL => {}
        }
    }
}

/// Reads the bundle. If this node is one of the watchers, it then watches the bundle until the
/// watch ends or this node is no longer a watcher.
async fn read_and_watch(app: &App) -> Result<(), JsonClientError> {
    let (values, revision) = app.platform.list(CURRENT_BUNDLE_KEY, PlatformPurpose::Bundle).await?;
    values.iter().for_each(|value| offer_stored(app, value));
    if !is_watcher(app) {
        return Ok(());
    }
    let mut watch =
        app.platform.watch(CURRENT_BUNDLE_KEY, revision + 1, PlatformPurpose::Bundle).await?;
    loop {
        let change = tokio::select! {
            change = watch.next() => change,
            () = wait_for_watcher_role(app, false) => return Ok(()),
        };
        match change {
            None => return Ok(()),
            Some(change) => change?.iter().for_each(|value| offer_stored(app, value)),
        }
    }
}

/// Waits until this node is a watcher, or until it is none.
async fn wait_for_watcher_role(app: &App, watcher: bool) {
    while is_watcher(app) != watcher {
        tokio::time::sleep(WATCHER_CHECK_INTERVAL).await;
    }
}

/// Whether this node is one of the nodes that watch the bundle, judged by the nodes that it knows.
/// A node that is disconnected from the others therefore watches by itself.
fn is_watcher(app: &App) -> bool {
    app.members.ranks_within(CURRENT_BUNDLE_KEY, WATCHER_COUNT, app.clock.now())
}

/// Offers a bundle that the platform returned.
fn offer_stored(app: &App, value: &VersionedValue) {
    let envelope: Envelope = match serde_json::from_slice(&value.value) {
        Ok(envelope) => envelope,
        Err(e) => {
            tracing::error!(event = "bundle_unreadable", revision = value.revision, error = %e);
            return;
        }
    };
    match app.bundles.offer(app, envelope) {
        Ok(OfferOrder::Earlier) => {
            tracing::warn!(event = "bundle_older", revision = value.revision)
        }
        Ok(OfferOrder::Later | OfferOrder::Same) => {}
        Err(e) => tracing::error!(event = "bundle_rejected", error = %e),
    }
}
