//! Which bundle is in force at this node: only ever a later one.

use std::sync::Arc;

use super::{Bundle, Envelope};

/// The bundle in force, with the envelope that it came in.
#[derive(Debug, Clone)]
pub struct Adopted {
    /// What it says.
    pub bundle: Arc<Bundle>,
    /// What is passed on to peers.
    pub envelope: Arc<Envelope>,
}

/// How an offered bundle stands to the one in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ahead {
    /// It is later: adopt it.
    Later,
    /// It is the one in force.
    Same,
    /// It is earlier: whoever offered it is behind.
    Earlier,
}

impl Ahead {
    /// Compares an offer with what is in force.
    pub fn of(offer: &Envelope, current: Option<&Envelope>) -> Self {
        let Some(current) = current else { return Self::Later };
        match offer.order().cmp(&current.order()) {
            std::cmp::Ordering::Greater => Self::Later,
            std::cmp::Ordering::Equal => Self::Same,
            std::cmp::Ordering::Less => Self::Earlier,
        }
    }
}
