//! Answers an operator's request to empty this machine's disk.

use std::sync::Arc;
use std::time::Duration;

use super::app::App;
use crate::edge::store::Txn;

/// The delay after a failed attempt to write the answer.
const RETRY_DELAY: Duration = Duration::from_millis(300);

impl App {
    /// Handles a request to empty a machine's disk within a time. Nothing is stored on the
    /// disk, so the node writes the answer at once. Only the named node answers, and only if
    /// its machine has a disk.
    pub(super) fn retire(&self, node: &str, within: Duration) {
        if !self.settings.has_disk || *self.settings.name != *node {
            return;
        }
        tracing::info!(event = "retirement_requested", node, within_ms = within.as_millis() as u64);
        let put = self.schema.retirement_done(node);
        let store: Arc<_> = self.store.clone();
        self.spawn(async move {
            loop {
                let txn = Txn { puts: vec![put.clone()], ..Txn::default() };
                match store.txn(txn).await {
                    Ok(_) => break tracing::info!(event = "retired"),
                    Err(e) => tracing::warn!(event = "retirement_not_written", error = %e),
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        });
    }
}
