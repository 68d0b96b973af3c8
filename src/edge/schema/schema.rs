//! The interface that decodes and encodes the store keys of others.

use std::time::Duration;

use crate::Name;
use crate::decide::{ListedReplica, Routes};
use crate::edge::store::Put;

/// What a key written by operators or trainers asks for.
#[derive(Debug, Clone, PartialEq)]
pub enum Directive {
    /// The latest configuration.
    Routes(Box<Routes>),
    /// The latest version of a model's weights.
    Version {
        /// The model.
        model: Name,
        /// The version.
        version: u64,
    },
    /// A node has to hand over everything that it stores.
    Retire {
        /// The name of the node.
        node: Name,
        /// The time that it has for this.
        within: Duration,
    },
}

/// Decodes keys and values written by others. If a value does not parse, the error is the reason.
pub trait StoreSchema: std::fmt::Debug + Send + Sync + 'static {
    /// The key prefix of the configuration.
    fn routes_prefix(&self) -> &str;
    /// The key prefix of the weight versions that trainers publish.
    fn versions_prefix(&self) -> &str;
    /// The key prefix of the nodes that have to hand over what they store.
    fn retirements_prefix(&self) -> &str;
    /// The key prefix of the list of replicas.
    fn replicas_prefix(&self) -> &str;
    /// Decodes a key of operators or trainers. Returns `None` if it does not concern this service.
    fn parse_directive(&self, key: &str, value: &[u8]) -> Result<Option<Directive>, String>;
    /// Returns the id of the replica that a key belongs to.
    fn replica_id(&self, key: &str) -> Name;
    /// Decodes an entry of the list of replicas.
    fn parse_replica(&self, key: &str, value: &[u8]) -> Result<ListedReplica, String>;
    /// The write that reports to the operator that a node has handed over everything that must not
    /// be lost.
    fn retirement_done(&self, node: &str) -> Put;
}
