//! The node's lease in the store and its record under it.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use super::app::{App, Lease};
use super::keys::{NodeRecord, node_key};
use crate::edge::store::{StoreError, Txn, TxnOutcome};

/// Renewals within the lease's time to live, so that two in a row may be lost.
const RENEWALS_PER_TTL: u32 = 3;
/// The delay after a failed store call.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// How often a starting process checks whether it can serve.
const STARTUP_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Keeps the node registered from when it can serve until it stops.
pub(super) async fn maintain_registration(app: Arc<App>) {
    while app.routes().is_none() || !app.membership.lock().is_loaded() {
        tokio::time::sleep(STARTUP_POLL_INTERVAL).await;
    }
    while !app.stop.is_cancelled() {
        if let Err(e) = hold_lease(&app).await {
            tracing::warn!(event = "lease_failed", error = %e);
            app.fallback_store.wait_for_recovery(RETRY_DELAY).await;
        }
    }
}

/// Opens a lease, registers the node under it and renews it until it ends.
async fn hold_lease(app: &Arc<App>) -> Result<(), StoreError> {
    let ttl = app.settings.lease_ttl;
    let sent = app.now();
    let lease = app.store.grant(ttl).await?;
    let (callers, peers) = (app.settings.client_address, app.settings.peer_address);
    let value = NodeRecord {
        incarnation: app.incarnation.clone(),
        callers,
        peers,
        zone: Some(app.settings.zone.clone()),
        capacity: app.settings.limits.into(),
    };
    let value = serde_json::to_vec(&value).map_err(|e| StoreError::Refused(e.to_string()))?;
    let key = node_key(&app.settings.name);
    let txn = Txn::default().put_leased(key, value, lease);
    let TxnOutcome::Done(written) = app.store.txn(txn).await? else {
        return Err(StoreError::Refused(format!("the lease {lease} has ended already")));
    };
    *app.lease.lock() = Lease { id: lease, valid_until: sent + ttl, key_revision: written };
    app.registered.store(true, Ordering::Relaxed);
    tracing::info!(event = "node_registered", life = %app.incarnation, lease);
    app.notify_view_change();
    let mut pause = ttl / RENEWALS_PER_TTL;
    loop {
        tokio::select! {
            () = app.stop.cancelled() => return Ok(()),
            () = app.fallback_store.wait_for_recovery(pause) => {}
            () = app.renewal_due.notified() => {}
        }
        let sent = app.now();
        match app.store.renew(lease).await {
            Ok(true) => {
                app.lease.lock().valid_until = sent + ttl;
                pause = ttl / RENEWALS_PER_TTL;
            }
            Ok(false) => {
                tracing::warn!(event = "lease_ended", lease);
                *app.lease.lock() = Lease::default();
                app.notify_view_change();
                return Ok(());
            }
            Err(e) => {
                tracing::warn!(event = "lease_not_renewed", lease, error = %e);
                pause = RETRY_DELAY;
            }
        }
    }
}

impl App {
    /// Waits until half a lease has passed since this node's last order. The next leader counts
    /// on at least that much when it computes its own waiting time.
    pub(super) async fn wait_out_last_order(&self) {
        let Some(last) = *self.last_duty.lock() else { return };
        let until = last + self.settings.lease_ttl / 2;
        tokio::time::sleep(until.saturating_sub(self.now())).await;
    }

    /// Removes the node's record, so that clients are sent elsewhere and other nodes take over
    /// its jobs, and ends its lease.
    pub(super) async fn deregister(&self) {
        let lease = std::mem::take(&mut *self.lease.lock());
        if lease.id == 0 {
            return;
        }
        let key = node_key(&self.settings.name);
        // Conditional on the revision: if the answer is lost and the removal takes effect late,
        // this node may have registered again by then.
        let removal = Txn::when(key.clone(), lease.key_revision).remove(key);
        if let Err(e) = self.store.txn(removal).await {
            tracing::warn!(event = "node_not_removed", error = %e);
        }
        self.wait_out_last_order().await;
        if let Err(e) = self.store.revoke(lease.id).await {
            tracing::warn!(event = "lease_not_revoked", lease = lease.id, error = %e);
        }
    }
}
