//! What operators and replicas write, in words of the stand-in: a value is the index of a
//! notice that was handed in, so that no format is made up for tests.

use std::sync::Arc;

use mulberrycourse::Name;
use mulberrycourse::decide::ListedReplica;
use mulberrycourse::edge::schema::{Directive, StoreSchema};
use mulberrycourse::edge::store::Put;
use parking_lot::Mutex;

use super::KvService;

/// The words. Cloning them shares what was written.
#[derive(Debug, Clone, Default)]
pub struct Words {
    notices: Arc<Mutex<Vec<Directive>>>,
    listed: Arc<Mutex<Vec<ListedReplica>>>,
}

impl Words {
    /// An operator or trainer writes a notice.
    pub fn write(&self, service: &KvService, key: &str, notice: Directive) {
        self.write_long(service, key, notice, "");
    }

    /// The same, in a value that this text makes longer.
    pub fn write_long(&self, service: &KvService, key: &str, notice: Directive, text: &str) {
        let mut notices = self.notices.lock();
        notices.push(notice);
        service.put(&format!("operators/{key}"), format!("{} {text}", notices.len() - 1));
    }

    /// A replica writes its entry.
    pub fn list(&self, service: &KvService, entry: ListedReplica) {
        let mut listed = self.listed.lock();
        let key = format!("replicas/{}", entry.target.id);
        listed.push(entry);
        service.put(&key, (listed.len() - 1).to_string());
    }

    /// A replica's entry goes.
    pub fn unlist(&self, service: &KvService, id: &str) {
        service.remove(&format!("replicas/{id}"));
    }
}

fn index(value: &[u8]) -> Result<usize, String> {
    let text = std::str::from_utf8(value).map_err(|e| e.to_string())?;
    let first = text.split(' ').next().unwrap_or_default();
    first.parse().map_err(|_| format!("{first:?} is no index"))
}

impl StoreSchema for Words {
    fn routes_prefix(&self) -> &str {
        "operators/config"
    }

    fn versions_prefix(&self) -> &str {
        "operators/version"
    }

    fn retirements_prefix(&self) -> &str {
        "operators/retire/"
    }

    fn replicas_prefix(&self) -> &str {
        "replicas/"
    }

    fn parse_directive(&self, _: &str, value: &[u8]) -> Result<Option<Directive>, String> {
        Ok(self.notices.lock().get(index(value)?).cloned())
    }

    fn replica_id(&self, key: &str) -> Name {
        key.trim_start_matches("replicas/").into()
    }

    fn parse_replica(&self, _: &str, value: &[u8]) -> Result<ListedReplica, String> {
        self.listed.lock().get(index(value)?).cloned().ok_or_else(|| "no entry".to_owned())
    }

    fn retirement_done(&self, node: &str) -> Put {
        Put { key: format!("retired/{node}").into(), value: "done".into(), lease: 0 }
    }
}
