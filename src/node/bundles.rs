//! The bundle in force at this node, and where new ones come from.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use parking_lot::Mutex;
use rand::Rng;
use tokio::sync::watch;

use super::app::App;
use super::lifecycle::Event;
use crate::bundle::{Adopted, Adoption, Ahead, Envelope, Operators, Rejected};
use crate::edge::http::JsonClientError;
use crate::edge::platform::VersionedValue;
use crate::metrics::PlatformUse;

/// The key of the bundle in force.
pub const CURRENT_BUNDLE_KEY: &str = "bundle/current";
/// The prefix of proposed bundles; the number follows.
pub const PROPOSED_BUNDLE_PREFIX: &str = "bundle/proposed/";
/// The prefix of bundles that were in force; the number follows.
pub const BUNDLE_HISTORY_PREFIX: &str = "bundle/history/";

/// Shortest pause before the platform is asked again.
const PAUSE: Duration = Duration::from_millis(250);
/// Longest pause.
const LONGEST: Duration = Duration::from_secs(5);
/// Nodes that watch the bundle. Eight are lost together only with the platform; a
/// watch by each of 380 nodes would come back as 760 calls at once after an outage.
const WATCHERS: usize = 8;
/// Time between two looks of a node that does not watch: 13 calls a second at 380 nodes.
const LOOK: Duration = Duration::from_secs(30);
/// Time between two looks at whose part it is to watch.
const REVIEW: Duration = Duration::from_millis(500);

/// The bundle in force, if there is one yet.
#[derive(Debug)]
pub(super) struct Bundles {
    adoption: Mutex<Adoption>,
    current: watch::Sender<Option<Adopted>>,
    operators: Operators,
}

impl Bundles {
    pub(super) fn new(operators: Operators) -> Self {
        Self { adoption: Mutex::default(), current: watch::Sender::new(None), operators }
    }

    /// The bundle in force.
    pub(super) fn current(&self) -> Option<Adopted> {
        self.current.borrow().clone()
    }

    /// Its number, 0 for none.
    pub(super) fn number(&self) -> u64 {
        self.current.borrow().as_ref().map_or(0, |a| a.bundle.number)
    }

    /// Tells of each bundle that comes into force.
    pub(super) fn subscribe(&self) -> watch::Receiver<Option<Adopted>> {
        self.current.subscribe()
    }

    /// Checks an offered bundle and adopts it if it is later than the one in force.
    pub(super) fn offer(&self, app: &App, envelope: Envelope) -> Result<Ahead, Rejected> {
        let ahead = self.adoption.lock().compare(&envelope);
        if ahead != Ahead::Later {
            return Ok(ahead);
        }
        let bundle = Arc::new(envelope.verify(&self.operators)?);
        let adopted = Adopted { bundle, envelope: Arc::new(envelope) };
        let mut adoption = self.adoption.lock();
        let taken = adoption.offer(adopted);
        self.enforce(app, taken);
        Ok(ahead)
    }

    /// The other nodes were asked: the latest bundle that is known comes into force.
    pub(super) fn asked(&self, app: &App) {
        let mut adoption = self.adoption.lock();
        let taken = adoption.asked();
        self.enforce(app, taken);
    }

    /// Called under the lock of the adoption, so that bundles come into force in order.
    fn enforce(&self, app: &App, taken: Option<Adopted>) {
        let Some(adopted) = taken else { return };
        tracing::info!(event = "bundle_adopted", number = adopted.bundle.number);
        // The dispatchers first: those who follow the bundle give them their upstreams.
        app.apply(&adopted);
        self.current.send_replace(Some(adopted));
        app.advance(Event::Ready);
    }
}

/// Follows the platform's bundle until the node stops: a few nodes watch it, the
/// others hear of changes from them and look themselves now and then.
pub(super) async fn follow(app: Arc<App>) {
    let mut pause = PAUSE;
    loop {
        let ended = tokio::select! {
            () = app.cancel.cancelled() => return,
            ended = round(&app) => ended,
        };
        let wait = match ended {
            Ok(()) => {
                pause = PAUSE;
                if watches(&app) { PAUSE } else { LOOK }
            }
            Err(e) => {
                tracing::warn!(event = "bundle_watch_failed", error = %e);
                pause = (pause * 2).min(LONGEST);
                pause
            }
        };
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::select! {
            () = app.cancel.cancelled() => return,
            () = tokio::time::sleep(wait.mul_f64(jitter)) => {}
            () = duty(&app, true), if wait == LOOK => {}
        }
    }
}

/// Reads the bundle; then, if this node is one of those that watch, watches it
/// until the watch ends or others watch in its place.
async fn round(app: &App) -> Result<(), JsonClientError> {
    let (kept, revision) = app.platform.list(CURRENT_BUNDLE_KEY, PlatformUse::Bundle).await?;
    kept.iter().for_each(|k| take(app, k));
    if !watches(app) {
        return Ok(());
    }
    let mut watch =
        app.platform.watch(CURRENT_BUNDLE_KEY, revision + 1, PlatformUse::Bundle).await?;
    loop {
        let change = tokio::select! {
            change = watch.next() => change,
            () = duty(app, false) => return Ok(()),
        };
        match change {
            None => return Ok(()),
            Some(change) => change?.iter().for_each(|kept| take(app, kept)),
        }
    }
}

/// Waits until it is, or is no longer, this node's part to watch.
async fn duty(app: &App, wanted: bool) {
    while watches(app) != wanted {
        tokio::time::sleep(REVIEW).await;
    }
}

/// Whether this node is one of those that watch the bundle. By its own view: a
/// node that is cut off from the others watches for itself.
fn watches(app: &App) -> bool {
    app.members.ranks(CURRENT_BUNDLE_KEY, WATCHERS, app.clock.now())
}

fn take(app: &App, kept: &VersionedValue) {
    let envelope: Envelope = match serde_json::from_slice(&kept.value) {
        Ok(envelope) => envelope,
        Err(e) => {
            tracing::error!(event = "bundle_unreadable", revision = kept.revision, error = %e);
            return;
        }
    };
    match app.bundles.offer(app, envelope) {
        Ok(Ahead::Earlier) => tracing::warn!(event = "bundle_older", revision = kept.revision),
        Ok(Ahead::Later | Ahead::Same) => {}
        Err(e) => tracing::error!(event = "bundle_rejected", error = %e),
    }
}
