//! Which bundle is active at a node. It is only ever replaced by a later one.

use std::sync::Arc;

use super::{Bundle, Envelope};

/// A verified bundle with its envelope.
#[derive(Debug, Clone)]
pub struct AdoptedBundle {
    /// The parsed bundle.
    pub bundle: Arc<Bundle>,
    /// The signed envelope, which is sent on to peers.
    pub envelope: Arc<Envelope>,
}

/// How an offered bundle compares with the active one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOrder {
    /// It is later and is to be adopted.
    Later,
    /// It is the same bundle.
    Same,
    /// It is earlier, so whoever offered it is behind.
    Earlier,
}

impl OfferOrder {
    /// Compares an offered envelope with the current one. Any offer is later than none.
    pub fn compare(offer: &Envelope, current: Option<&Envelope>) -> Self {
        let Some(current) = current else { return Self::Later };
        match offer.order().cmp(&current.order()) {
            std::cmp::Ordering::Greater => Self::Later,
            std::cmp::Ordering::Equal => Self::Same,
            std::cmp::Ordering::Less => Self::Earlier,
        }
    }
}

/// Adopts the latest of all offered bundles at one node, but none until the node has asked its
/// peers for theirs.
///
/// A node may restart while the platform still returns an older bundle than its peers have.
/// If it did not wait for its peers it would activate the older bundle, and its bundle number
/// would decrease across the restart.
#[derive(Debug, Default)]
pub struct Adoption {
    current: Option<AdoptedBundle>,
    /// The latest offer so far, until the peers have been asked.
    pending: Option<AdoptedBundle>,
    peers_asked: bool,
}

impl Adoption {
    /// Returns the active bundle.
    pub fn current(&self) -> Option<&AdoptedBundle> {
        self.current.as_ref()
    }

    /// Compares an envelope with the latest one known to this node.
    pub fn compare(&self, envelope: &Envelope) -> OfferOrder {
        let latest = self.current.as_ref().or(self.pending.as_ref());
        OfferOrder::compare(envelope, latest.map(|a| a.envelope.as_ref()))
    }

    /// Offers a verified bundle. Returns it if it becomes active now.
    pub fn offer(&mut self, offer: AdoptedBundle) -> Option<AdoptedBundle> {
        if self.compare(&offer.envelope) != OfferOrder::Later {
            return None;
        }
        if !self.peers_asked {
            self.pending = Some(offer);
            return None;
        }
        self.current = Some(offer.clone());
        Some(offer)
    }

    /// Records that the peers have been asked. Returns the bundle that is active from now on.
    pub fn peers_asked(&mut self) -> Option<AdoptedBundle> {
        self.peers_asked = true;
        self.current = self.current.take().or(self.pending.take());
        self.current.clone()
    }
}
