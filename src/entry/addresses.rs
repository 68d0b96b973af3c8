//! The addresses of the nodes to which a client may connect.

use std::net::SocketAddr;

use super::app::App;
use crate::decide::rendezvous_rank;

/// The most addresses that a client gets.
const MAX_ADDRESSES: usize = 64;

impl App {
    /// Returns the addresses for a client of an availability zone, at most [`MAX_ADDRESSES`]. Empty
    /// if no node is known.
    pub fn client_addresses(&self, zone: &str) -> Vec<SocketAddr> {
        let mut nodes = self.membership.lock().client_addresses(self.store_time());
        let own = self.settings.client_address.filter(|_| self.ready());
        if self.draining() {
            nodes.retain(|(name, _)| *name != self.settings.name);
        } else if let Some(own) = own
            && !nodes.iter().any(|(_, address)| *address == own)
        {
            nodes.push((self.settings.name.clone(), own));
        }
        if nodes.len() <= MAX_ADDRESSES {
            return nodes.into_iter().map(|(_, address)| address).collect();
        }
        let ranked = rendezvous_rank(zone, nodes.iter().map(|(name, _)| &**name));
        let chosen = ranked.into_iter().take(MAX_ADDRESSES);
        chosen
            .filter_map(|n| nodes.iter().find(|(name, _)| **name == *n).map(|(_, a)| *a))
            .collect()
    }
}
