//! What a process reaches the outside by.

use std::sync::Arc;

use crate::edge::clock::Clock;
use crate::edge::duty::Duties;
use crate::edge::replica::Replicas;
use crate::edge::schema::StoreSchema;
use crate::edge::store::Store;

/// The ports of a process, the one to other nodes aside.
#[derive(Debug, Clone)]
pub struct Ports {
    /// The store.
    pub store: Arc<dyn Store>,
    /// The replicas.
    pub replicas: Arc<dyn Replicas>,
    /// What others write into the store.
    pub notices: Arc<dyn StoreSchema>,
    /// What one node at a time does for the platform.
    pub duties: Arc<dyn Duties>,
    /// The time of day.
    pub clock: Arc<dyn Clock>,
}
