//! The port.

use std::time::Duration;

use crate::Name;
use crate::decide::{ListedReplica, Routes};
use crate::edge::store::Put;

/// Something that operators or trainers have written.
#[derive(Debug, Clone, PartialEq)]
pub enum Directive {
    /// The newest configuration.
    Routes(Routes),
    /// The newest version of a model's weights.
    Version {
        /// The model.
        model: Name,
        /// The version.
        version: u64,
    },
    /// A machine is to give up what it keeps.
    Retire {
        /// The machine.
        node: Name,
        /// Within this time.
        within: Duration,
    },
}

/// Reads keys and values of others. A value that does not parse is an error with its reason.
pub trait StoreSchema: std::fmt::Debug + Send + Sync + 'static {
    /// The prefix of the configuration.
    fn routes_prefix(&self) -> &str;
    /// The prefix of the versions that trainers name.
    fn versions_prefix(&self) -> &str;
    /// The prefix of the machines that are to be emptied.
    fn retirements_prefix(&self) -> &str;
    /// The prefix of the list of replicas.
    fn replicas_prefix(&self) -> &str;
    /// What a key of operators or trainers says; `None` if it says nothing to this service.
    fn parse_directive(&self, key: &str, value: &[u8]) -> Result<Option<Directive>, String>;
    /// The id of the replica that a key belongs to.
    fn replica_id(&self, key: &str) -> Name;
    /// An entry of the list of replicas.
    fn parse_replica(&self, key: &str, value: &[u8]) -> Result<ListedReplica, String>;
    /// Tells the operator that a machine has nothing left that has to last.
    fn retirement_done(&self, node: &str) -> Put;
}
