//! The port.

use std::time::Duration;

use crate::Name;
use crate::decide::{ListedReplica, Routes};
use crate::edge::store::Put;

/// Something that operators or trainers have written.
#[derive(Debug, Clone, PartialEq)]
pub enum Notice {
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
pub trait Notices: std::fmt::Debug + Send + Sync + 'static {
    /// The prefix of the configuration.
    fn routes(&self) -> &str;
    /// The prefix of the versions that trainers name.
    fn versions(&self) -> &str;
    /// The prefix of the machines that are to be emptied.
    fn retirements(&self) -> &str;
    /// The prefix of the list of replicas.
    fn replicas(&self) -> &str;
    /// What a key of operators or trainers says; `None` if it says nothing to this service.
    fn notice(&self, key: &str, value: &[u8]) -> Result<Option<Notice>, String>;
    /// The id of the replica that a key belongs to.
    fn replica_id(&self, key: &str) -> Name;
    /// An entry of the list of replicas.
    fn replica(&self, key: &str, value: &[u8]) -> Result<ListedReplica, String>;
    /// Tells the operator that a machine has nothing left that has to last.
    fn retired(&self, node: &str) -> Put;
}
