//! The addresses of the nodes to which a client may connect.

use std::net::SocketAddr;

use super::app::App;
use crate::decide::load::{ClientNode, addresses_for_zone};

impl App {
    /// Returns the addresses for a client of an availability zone, at most
    /// [`MAX_ADDRESSES`](crate::decide::load::MAX_ADDRESSES). Empty if no node is known.
    pub fn client_addresses(&self, zone: &str) -> Vec<SocketAddr> {
        let mut nodes = self.membership.lock().client_nodes(self.store_time());
        let own = self.settings.client_address.filter(|_| self.ready());
        if self.draining() {
            nodes.retain(|node| node.name != self.settings.name);
        } else if let Some(own) = own
            && !nodes.iter().any(|node| node.address == own)
        {
            nodes.push(ClientNode {
                name: self.settings.name.clone(),
                address: own,
                zone: Some(self.settings.zone.clone()),
                weight: self.settings.limits.client_weight(),
            });
        }
        addresses_for_zone(zone, &nodes)
    }
}
