//! The test schema of stored values: a value is the index of a directive or replica that the
//! test passed in, so that tests need no encoding of their own.

use std::sync::Arc;

use mulberrycourse::Name;
use mulberrycourse::decide::ListedReplica;
use mulberrycourse::edge::schema::{Directive, StoreSchema};
use mulberrycourse::edge::store::Put;
use parking_lot::Mutex;

use super::KvService;

/// Encodes operators' directives and replicas' entries. Clones share what was written.
#[derive(Debug, Clone, Default)]
pub struct TestSchema {
    directives: Arc<Mutex<Vec<Directive>>>,
    listed: Arc<Mutex<Vec<ListedReplica>>>,
}

impl TestSchema {
    /// Writes a directive, as an operator or trainer does.
    pub fn write_directive(&self, service: &KvService, key: &str, directive: Directive) {
        self.write_padded_directive(service, key, directive, "");
    }

    /// Writes a directive and appends `text`, to make the value longer.
    pub fn write_padded_directive(
        &self,
        service: &KvService,
        key: &str,
        directive: Directive,
        text: &str,
    ) {
        let mut directives = self.directives.lock();
        directives.push(directive);
        service.put(&format!("operators/{key}"), format!("{} {text}", directives.len() - 1));
    }

    /// Writes the entry of a replica, as the replica does.
    pub fn write_replica(&self, service: &KvService, entry: ListedReplica) {
        let mut listed = self.listed.lock();
        let key = format!("replicas/{}", entry.target.id);
        listed.push(entry);
        service.put(&key, (listed.len() - 1).to_string());
    }

    /// Removes the entry of a replica.
    pub fn remove_replica(&self, service: &KvService, id: &str) {
        service.remove(&format!("replicas/{id}"));
    }
}

/// The index at the start of a value.
fn parse_index(value: &[u8]) -> Result<usize, String> {
    let text = std::str::from_utf8(value).map_err(|e| e.to_string())?;
    let first = text.split(' ').next().unwrap_or_default();
    first.parse().map_err(|_| format!("{first:?} is not an index"))
}

impl StoreSchema for TestSchema {
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
        Ok(self.directives.lock().get(parse_index(value)?).cloned())
    }

    fn replica_id(&self, key: &str) -> Name {
        key.trim_start_matches("replicas/").into()
    }

    fn parse_replica(&self, _: &str, value: &[u8]) -> Result<ListedReplica, String> {
        self.listed
            .lock()
            .get(parse_index(value)?)
            .cloned()
            .ok_or_else(|| "there is no replica with this index".to_owned())
    }

    fn retirement_done(&self, node: &str) -> Put {
        Put { key: format!("retired/{node}").into(), value: "done".into(), lease: 0 }
    }
}
