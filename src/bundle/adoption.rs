//! Which bundle is in force at this node: only ever a later one.

use std::sync::Arc;

use super::{Bundle, Envelope};

/// The bundle in force, with the envelope that it came in.
#[derive(Debug, Clone)]
pub struct AdoptedBundle {
    /// What it says.
    pub bundle: Arc<Bundle>,
    /// What is passed on to peers.
    pub envelope: Arc<Envelope>,
}

/// How an offered bundle stands to the one in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOrder {
    /// It is later: adopt it.
    Later,
    /// It is the one in force.
    Same,
    /// It is earlier: whoever offered it is behind.
    Earlier,
}

impl OfferOrder {
    /// Compares an offer with what is in force.
    pub fn compare(offer: &Envelope, current: Option<&Envelope>) -> Self {
        let Some(current) = current else { return Self::Later };
        match offer.order().cmp(&current.order()) {
            std::cmp::Ordering::Greater => Self::Later,
            std::cmp::Ordering::Equal => Self::Same,
            std::cmp::Ordering::Less => Self::Earlier,
        }
    }
}

/// The rule of adoption at one node: the latest of all that was offered, and
/// none before the other nodes were asked.
///
/// Load pattern: a node restarts while the platform answers with an older value
/// and its peers are further. Without the wait it would go into force with the
/// older bundle, and the number at that node would go down over its restart.
#[derive(Debug, Default)]
pub struct Adoption {
    current: Option<AdoptedBundle>,
    /// The latest offer so far, while the others are being asked.
    best: Option<AdoptedBundle>,
    asked: bool,
}

impl Adoption {
    /// The bundle in force.
    pub fn current(&self) -> Option<&AdoptedBundle> {
        self.current.as_ref()
    }

    /// How an envelope stands to the latest one that is known here.
    pub fn compare(&self, envelope: &Envelope) -> OfferOrder {
        let latest = self.current.as_ref().or(self.best.as_ref());
        OfferOrder::compare(envelope, latest.map(|a| a.envelope.as_ref()))
    }

    /// A checked bundle is offered. Returns it if it comes into force now.
    pub fn offer(&mut self, offer: AdoptedBundle) -> Option<AdoptedBundle> {
        if self.compare(&offer.envelope) != OfferOrder::Later {
            return None;
        }
        if !self.asked {
            self.best = Some(offer);
            return None;
        }
        self.current = Some(offer.clone());
        Some(offer)
    }

    /// The other nodes were asked. Returns the bundle that comes into force by it.
    pub fn peers_asked(&mut self) -> Option<AdoptedBundle> {
        self.asked = true;
        self.current = self.current.take().or(self.best.take());
        self.current.clone()
    }
}
