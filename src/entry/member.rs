//! The node's lease and its key in the store.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::app::{App, Lease};
use super::keys::{NodeValue, node};
use crate::edge::store::{StoreError, Txn, TxnOutcome};

/// Renewals in the time of a lease: two may be lost.
const RENEWALS: u32 = 3;
/// The pause after a failed call.
const PAUSE: Duration = Duration::from_millis(150);
/// How often a process that can't serve yet looks again.
const LOOK: Duration = Duration::from_millis(20);

/// Keeps the node listed until it stops.
pub(super) async fn keep(app: Arc<App>) {
    while app.routes().is_none() || !app.membership.lock().loaded() {
        tokio::time::sleep(LOOK).await;
    }
    while !app.stop.is_cancelled() {
        if let Err(e) = hold(&app).await {
            tracing::warn!(event = "lease_failed", error = %e);
            app.fallback_store.wait_for_recovery(PAUSE).await;
        }
    }
}

/// Opens a lease, lists the node under it and renews it until it ends.
async fn hold(app: &Arc<App>) -> Result<(), StoreError> {
    let ttl = app.settings.lease_ttl;
    let sent = app.now();
    let lease = app.store.grant(ttl).await?;
    let (callers, peers) = (app.settings.client_address, app.settings.peer_address);
    let value = NodeValue { life: app.incarnation.clone(), callers, peers };
    let value = serde_json::to_vec(&value).map_err(|e| StoreError::Refused(e.to_string()))?;
    let key = node(&app.settings.name);
    let txn = Txn::default().put_leased(key, value, lease);
    let TxnOutcome::Done(written) = app.store.txn(txn).await? else { return Ok(()) };
    *app.lease.lock() = Lease { id: lease, valid_until: sent + ttl, key_revision: written };
    app.registered.store(true, Ordering::Relaxed);
    tracing::info!(event = "node_listed", life = %app.incarnation, lease);
    app.notify_view_change();
    let mut pause = ttl / RENEWALS;
    loop {
        tokio::select! {
            () = app.stop.cancelled() => return Ok(()),
            () = app.fallback_store.wait_for_recovery(pause) => {}
        }
        let sent = app.now();
        match app.store.renew(lease).await {
            Ok(true) => {
                app.lease.lock().valid_until = sent + ttl;
                pause = ttl / RENEWALS;
            }
            Ok(false) => {
                tracing::warn!(event = "lease_ended", lease);
                *app.lease.lock() = Lease::default();
                app.notify_view_change();
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
    /// Waits until this node's last order is as old as the next holder takes it to be.
    pub(super) async fn rest_from_orders(&self) {
        let Some(last) = *self.last_duty.lock() else { return };
        let until = last + self.settings.lease_ttl / 2;
        tokio::time::sleep(until.saturating_sub(self.now())).await;
    }

    /// Takes the node off the list: clients are sent elsewhere, and others take its jobs.
    pub(super) async fn leave(&self) {
        let lease = std::mem::take(&mut *self.lease.lock());
        if lease.id == 0 {
            return;
        }
        let key = node(&self.settings.name);
        // Under a condition: an answer may be lost, and this node be back by then.
        let gone = Txn::when(key.clone(), lease.key_revision).remove(key);
        if let Err(e) = self.store.txn(gone).await {
            tracing::warn!(event = "node_not_removed", error = %e);
        }
        self.rest_from_orders().await;
        if let Err(e) = self.store.revoke(lease.id).await {
            tracing::warn!(event = "lease_not_ended", lease = lease.id, error = %e);
        }
    }
}
