//! Giving up a machine whose disk an operator wants emptied.

use std::sync::Arc;
use std::time::Duration;

use super::app::App;
use crate::edge::store::Txn;

/// The pause between tries to tell the operator.
const PAUSE: Duration = Duration::from_millis(300);

impl App {
    /// An operator asks for a machine's disk to be emptied. Nothing lasts on it, so the
    /// answer is ready at once; it is the machine itself that gives it.
    pub(super) fn retire(&self, node: &str, within: Duration) {
        if !self.settings.has_disk || *self.settings.name != *node {
            return;
        }
        tracing::info!(event = "retire_asked", node, within_ms = within.as_millis() as u64);
        let put = self.schema.retirement_done(node);
        let store: Arc<_> = self.store.clone();
        self.spawn(async move {
            loop {
                let txn = Txn { puts: vec![put.clone()], ..Txn::default() };
                match store.txn(txn).await {
                    Ok(_) => break tracing::info!(event = "retired"),
                    Err(e) => tracing::warn!(event = "retired_not_told", error = %e),
                }
                tokio::time::sleep(PAUSE).await;
            }
        });
    }
}
