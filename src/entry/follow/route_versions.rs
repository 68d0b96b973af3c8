//! Which versions of the configuration a node knows, and which ones its work was accepted under.

use tokio::sync::watch;

/// The versions of the configuration that a node knows and needs.
///
/// A node that has not seen a version yet can't tell an added route from a removed one. Work that
/// was accepted under that version waits until the node knows it.
#[derive(Debug)]
pub(in crate::entry) struct RouteVersions {
    /// The newest version that the routes of the node contain. None before the first configuration.
    known: watch::Sender<Option<u64>>,
    /// The newest version that some work was accepted under.
    needed: watch::Sender<u64>,
}

impl Default for RouteVersions {
    fn default() -> Self {
        Self { known: watch::Sender::new(None), needed: watch::Sender::new(0) }
    }
}

impl RouteVersions {
    /// Records that the node's routes are at least as new as a version.
    pub(super) fn record_known(&self, version: u64) {
        self.known.send_if_modified(|known| {
            let is_newer = *known < Some(version);
            if is_newer {
                *known = Some(version);
            }
            is_newer
        });
    }

    /// Returns the newest version that is needed and not known. None if there is no such version,
    /// or before the first configuration.
    fn missing(&self) -> Option<u64> {
        let needed = *self.needed.borrow();
        (*self.known.borrow()).is_some_and(|known| known < needed).then_some(needed)
    }

    /// Waits until a version is needed and not known, and returns it.
    pub(super) async fn wait_until_missing(&self) -> u64 {
        let mut needed = self.needed.subscribe();
        loop {
            if let Some(version) = self.missing() {
                return version;
            }
            // The sender lives as long as `self`.
            let _ = needed.changed().await;
        }
    }

    /// Waits until a version is known. The node reads the configuration for that.
    pub(super) async fn wait_until_known(&self, version: u64) {
        let mut known = self.known.subscribe();
        self.needed.send_if_modified(|needed| {
            let is_newer = *needed < version;
            *needed = version.max(*needed);
            is_newer
        });
        // The sender lives as long as `self`.
        let _ = known.wait_for(|known| known.is_some_and(|known| known >= version)).await;
    }
}
