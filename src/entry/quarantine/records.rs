//! The requests with limited runs as the store has them, so that they stay limited if all nodes end at
//! the same time. The records lie beside those of the nodes, which every node reads and follows.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::entry_quarantine::EntryQuarantine;
use crate::decide::quarantine::{CrashNotice, LimitChange};
use crate::edge::store::{Change, KeyValue, Store, Txn};
use crate::entry::keys::{CRASHING_PREFIX, crashing_key};
use crate::entry::submit::unix_millis;

/// How long changes are collected before they are written.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// The delay after a write that failed.
const RETRY_DELAY: Duration = Duration::from_millis(1_000);
/// The most records in one write, about 50 kB.
const MAX_RECORDS_PER_WRITE: usize = 16;
/// How long a record is kept: as long as a quarantine.
const RECORD_RETENTION: Duration = Duration::from_secs(3_600);

/// The record of a request with limited runs.
#[derive(Debug, Serialize, Deserialize)]
struct CrashingRecord {
    /// When it was written, in milliseconds since the Unix epoch.
    #[serde(rename = "since")]
    written_ms: u64,
    /// What was known then.
    notices: Vec<CrashNotice>,
}

impl EntryQuarantine {
    /// Applies the records among these keys.
    pub(in crate::entry) fn apply_records<'a>(&self, items: impl Iterator<Item = &'a KeyValue>) {
        for item in items.filter(|item| item.key.starts_with(CRASHING_PREFIX)) {
            match serde_json::from_slice::<CrashingRecord>(&item.value) {
                Ok(record) => self.apply_record(item, record),
                Err(error) => {
                    tracing::error!(event = "value_unreadable", key = %item.key, %error);
                }
            }
        }
    }

    /// Applies the records among these changes.
    pub(in crate::entry) fn apply_record_changes(&self, changes: &[Change]) {
        self.apply_records(changes.iter().filter_map(|change| match change {
            Change::Put(item) => Some(item),
            Change::Removed { .. } => None,
        }));
        for change in changes {
            if let Change::Removed { key, .. } = change {
                self.expired.lock().remove(key);
            }
        }
    }

    fn apply_record(&self, item: &KeyValue, record: CrashingRecord) {
        let age = Duration::from_millis(unix_millis().saturating_sub(record.written_ms));
        if age >= RECORD_RETENTION {
            self.expired.lock().insert(item.key.clone());
            return;
        }
        let notices: Vec<CrashNotice> =
            record.notices.into_iter().map(|notice| notice.aged(age)).collect();
        self.apply_notices(&notices);
    }

    /// Writes the records that this node changes. Runs for as long as the process.
    pub(in crate::entry) async fn write_records(self: Arc<Self>, store: Arc<dyn Store>) {
        let mut updates = self.updates.subscribe();
        let mut written = 0;
        while updates.changed().await.is_ok() {
            tokio::time::sleep(WRITE_INTERVAL).await;
            let (change, changed) = {
                let state = self.state.lock();
                (state.last_change(), state.limited_after(written))
            };
            for part in changed.chunks(MAX_RECORDS_PER_WRITE) {
                while let Err(error) = store.txn(self.records_write(part)).await {
                    tracing::warn!(event = "crash_records_not_written", %error);
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            written = change;
        }
    }

    /// The write of some changes as they are now. It also removes records that have expired.
    fn records_write(&self, changes: &[(u64, LimitChange)]) -> Txn {
        let expired = std::mem::take(&mut *self.expired.lock());
        let remove = expired.into_iter().fold(Txn::default(), Txn::remove);
        changes.iter().fold(remove, |txn, (fingerprint, change)| {
            let key = crashing_key(*fingerprint);
            match change {
                LimitChange::Limited => {
                    let notices = self.notices_of(*fingerprint);
                    let record = CrashingRecord { written_ms: unix_millis(), notices };
                    match serde_json::to_vec(&record) {
                        Ok(value) => txn.put(key, value),
                        Err(error) => {
                            tracing::error!(event = "value_not_encoded", %key, %error);
                            txn
                        }
                    }
                }
                LimitChange::Ended => txn.remove(key),
            }
        })
    }
}
