//! The bundle in force at this node, and where new ones come from.

use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use rand::Rng;
use tokio::sync::watch;

use super::app::App;
use crate::bundle::{Adopted, Ahead, Envelope, Operators, Rejected};
use crate::edge::http::FetchError;
use crate::edge::platform::Kept;
use crate::metrics::PlatformUse;

/// The key of the bundle in force.
pub const CURRENT: &str = "bundle/current";
/// The prefix of proposed bundles; the number follows.
pub const PROPOSED: &str = "bundle/proposed/";
/// The prefix of bundles that were in force; the number follows.
pub const HISTORY: &str = "bundle/history/";

/// Shortest pause before the platform is asked again.
const PAUSE: Duration = Duration::from_millis(250);
/// Longest pause.
const LONGEST: Duration = Duration::from_secs(5);

/// The bundle in force, if there is one yet.
#[derive(Debug)]
pub(super) struct Bundles {
    current: watch::Sender<Option<Adopted>>,
    operators: Operators,
}

impl Bundles {
    pub(super) fn new(operators: Operators) -> Self {
        Self { current: watch::Sender::new(None), operators }
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
        let ahead = self.compare(&envelope);
        if ahead != Ahead::Later {
            return Ok(ahead);
        }
        let bundle = Arc::new(envelope.verify(&self.operators)?);
        let adopted = Adopted { bundle, envelope: Arc::new(envelope) };
        let taken = self.current.send_if_modified(|current| {
            let now = current.as_ref().map(|a| a.envelope.as_ref());
            let later = Ahead::of(&adopted.envelope, now) == Ahead::Later;
            if later {
                *current = Some(adopted.clone());
                app.apply(&adopted);
            }
            later
        });
        if taken {
            tracing::info!(event = "bundle_adopted", number = adopted.bundle.number);
        }
        Ok(if taken { Ahead::Later } else { Ahead::Earlier })
    }

    fn compare(&self, envelope: &Envelope) -> Ahead {
        let current = self.current.borrow();
        Ahead::of(envelope, current.as_ref().map(|a| a.envelope.as_ref()))
    }
}

/// Follows the platform's bundle until the node stops.
pub(super) async fn follow(app: Arc<App>) {
    let mut pause = PAUSE;
    loop {
        let ended = tokio::select! {
            () = app.cancel.cancelled() => return,
            ended = round(&app) => ended,
        };
        match ended {
            Ok(()) => pause = PAUSE,
            Err(e) => {
                tracing::warn!(event = "bundle_watch_failed", error = %e);
                pause = (pause * 2).min(LONGEST);
            }
        }
        let jitter = rand::rng().random_range(0.5..1.5);
        tokio::time::sleep(pause.mul_f64(jitter)).await;
    }
}

/// Reads the bundle, then watches it until the watch ends.
async fn round(app: &App) -> Result<(), FetchError> {
    let (kept, revision) = app.platform.list(CURRENT, PlatformUse::Bundle).await?;
    kept.iter().for_each(|k| take(app, k));
    let mut watch = app.platform.watch(CURRENT, revision + 1, PlatformUse::Bundle).await?;
    while let Some(change) = watch.next().await {
        if let Some(kept) = change? {
            take(app, &kept);
        }
    }
    Ok(())
}

fn take(app: &App, kept: &Kept) {
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
