//! Which upstream VMs leave: what the list says, what peers saw, and no way back.
//!
//! Load pattern: the platform's list lags by tens of seconds, its replicas differ,
//! and at 380 nodes only a few read it often. Without this, a node whose view is
//! older goes on to send work to a VM that others know to leave, and an older
//! answer of the list brings a leaving VM back.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Moment, Name};

/// Most departures in a message; the rest follow in the next.
const MESSAGE: usize = 64;
/// In how many rounds a departure is told: with two nodes a round, more than the
/// rounds in which news reach all of 1,024 nodes (3 x log2).
const ROUNDS: u32 = 30;
/// How long a departure is remembered: far longer than the list lags.
const KEPT: Duration = Duration::from_secs(3600);

/// A VM that leaves, in one of its starts.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// The VM.
    pub name: Name,
    /// The start that ends.
    pub incarnation: u64,
}

#[derive(Debug)]
struct Known {
    incarnation: u64,
    since: Moment,
    rounds: u32,
}

/// The departures that a node knows.
#[derive(Debug, Default)]
pub struct Leaving {
    known: BTreeMap<Name, Known>,
}

impl Leaving {
    /// The list, or a peer, says that a VM leaves. True if that is new.
    pub fn note(&mut self, departure: Departure, now: Moment) -> bool {
        let Departure { name, incarnation } = departure;
        if !self.admits(&name, incarnation) {
            return false;
        }
        self.known.insert(name, Known { incarnation, since: now, rounds: ROUNDS });
        true
    }

    /// Whether this start of a VM may get new work. A later start of the same VM may.
    pub fn admits(&self, name: &str, incarnation: u64) -> bool {
        self.known.get(name).is_none_or(|known| known.incarnation < incarnation)
    }

    /// What to tell peers in this round; empty when all has been told often enough.
    pub fn tell(&mut self, now: Moment) -> Vec<Departure> {
        self.known.retain(|_, known| now.saturating_sub(known.since) < KEPT);
        let untold = self.known.iter_mut().filter(|(_, known)| known.rounds > 0);
        let told = untold.take(MESSAGE).map(|(name, known)| {
            known.rounds -= 1;
            Departure { name: name.clone(), incarnation: known.incarnation }
        });
        told.collect()
    }
}
