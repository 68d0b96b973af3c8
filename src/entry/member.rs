//! The node's lease and its key in the store.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::app::{App, Lease};
use super::keys::{NodeValue, node};
use crate::edge::store::{StoreError, Txn, TxnEnd};

/// Renewals in the time of a lease: two may be lost.
const RENEWALS: u32 = 3;
/// The pause after a failed call.
const PAUSE: Duration = Duration::from_millis(150);
/// How often a process that can't serve yet looks again.
const LOOK: Duration = Duration::from_millis(20);

/// Keeps the node listed until it stops.
pub(super) async fn keep(app: Arc<App>) {
    while app.routes().is_none() || !app.live.lock().loaded() {
        tokio::time::sleep(LOOK).await;
    }
    while !app.stop.is_cancelled() {
        if let Err(e) = hold(&app).await {
            tracing::warn!(event = "lease_failed", error = %e);
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// Opens a lease, lists the node under it and renews it until it ends.
async fn hold(app: &Arc<App>) -> Result<(), StoreError> {
    let ttl = app.settings.lease;
    let sent = app.now();
    let lease = app.store.grant(ttl).await?;
    let (callers, peers) = (app.settings.callers, app.settings.peers);
    let value = NodeValue { life: app.life.clone(), callers, peers };
    let value = serde_json::to_vec(&value).map_err(|e| StoreError::Refused(e.to_string()))?;
    let key = node(&app.settings.name);
    let txn = Txn::default().put_leased(key, value, lease);
    if app.store.txn(txn).await? == TxnEnd::NoLease {
        return Ok(());
    }
    {
        let mut held = app.lease.lock();
        held.id = lease;
        held.until = sent + ttl;
    }
    app.listed.store(true, Ordering::Relaxed);
    tracing::info!(event = "node_listed", life = %app.life, lease);
    app.tell();
    let mut pause = ttl / RENEWALS;
    loop {
        tokio::select! {
            () = app.stop.cancelled() => return Ok(()),
            () = tokio::time::sleep(pause) => {}
        }
        let sent = app.now();
        match app.store.keep(lease).await {
            Ok(true) => {
                app.lease.lock().until = sent + ttl;
                pause = ttl / RENEWALS;
            }
            Ok(false) => {
                tracing::warn!(event = "lease_ended", lease);
                *app.lease.lock() = Lease::default();
                app.tell();
                return Ok(());
            }
            Err(e) => {
                tracing::warn!(event = "lease_not_renewed", lease, error = %e);
                pause = PAUSE;
            }
        }
    }
}

impl App {
    /// Takes the node off the list: clients are sent elsewhere, and others take its jobs.
    pub(super) async fn leave(&self) {
        let lease = std::mem::take(&mut *self.lease.lock());
        if lease.id == 0 {
            return;
        }
        if let Err(e) = self.store.end(lease.id).await {
            tracing::warn!(event = "lease_not_ended", lease = lease.id, error = %e);
        }
    }
}
