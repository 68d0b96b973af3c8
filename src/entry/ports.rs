//! The ports through which an entry node reaches the outside.

use std::sync::Arc;

use crate::edge::clock::Clock;
use crate::edge::duty::Duties;
use crate::edge::replica::Replicas;
use crate::edge::schema::StoreSchema;
use crate::edge::store::Store;

/// The ports of an entry node, except the one to other entry nodes.
#[derive(Debug, Clone)]
pub struct Ports {
    /// The key-value store that holds all durable data.
    pub store: Arc<dyn Store>,
    /// Calls to the replicas.
    pub replicas: Arc<dyn Replicas>,
    /// The layout of the keys and values that the platform and trainers write into the store.
    pub schema: Arc<dyn StoreSchema>,
    /// Calls that only the leader makes to the platform.
    pub duties: Arc<dyn Duties>,
    /// The clocks of the VM.
    pub clock: Arc<dyn Clock>,
}
