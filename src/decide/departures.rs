//! Tracks which upstream VMs are leaving, from the platform's list and from peers. A VM that is
//! known to leave never counts as available again under the same incarnation.
//!
//! Load pattern: the platform's list lags by tens of seconds, copies of it differ,
//! and at 380 nodes only a few read it often. Without this, a node with an older view
//! keeps sending work to a VM that others know to be leaving, and an older
//! answer of the list makes a leaving VM available again.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{Moment, Name};

/// Maximum number of departures in a message; the rest follow in the next message.
const MAX_PER_MESSAGE: usize = 64;
/// Number of rounds in which a departure is sent: with two nodes a round, more than the
/// rounds in which gossip reaches all of 1,024 nodes (3 x log2).
const GOSSIP_ROUNDS: u32 = 30;
/// How long a departure is remembered: far longer than the list lags.
const DEPARTURE_RETENTION: Duration = Duration::from_secs(3600);

/// One incarnation of a VM that is leaving.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departure {
    /// Name of the VM.
    pub name: Name,
    /// The incarnation that ends.
    pub incarnation: u64,
}

#[derive(Debug)]
struct KnownDeparture {
    incarnation: u64,
    since: Moment,
    rounds_left: u32,
}

/// The departures that a node knows.
#[derive(Debug, Default)]
pub struct Departures {
    known: BTreeMap<Name, KnownDeparture>,
}

impl Departures {
    /// Records a departure reported by the list or by a peer. Returns true if it is new.
    pub fn record(&mut self, departure: Departure, now: Moment) -> bool {
        let Departure { name, incarnation } = departure;
        if !self.admits(&name, incarnation) {
            return false;
        }
        let known = KnownDeparture { incarnation, since: now, rounds_left: GOSSIP_ROUNDS };
        self.known.insert(name, known);
        true
    }

    /// Whether this incarnation of a VM may get new work. A later incarnation of a departed VM
    /// may.
    pub fn admits(&self, name: &str, incarnation: u64) -> bool {
        self.known.get(name).is_none_or(|known| known.incarnation < incarnation)
    }

    /// Returns the departures to send to peers in this round; empty once every departure has
    /// been sent often enough.
    pub fn next_message(&mut self, now: Moment) -> Vec<Departure> {
        self.known.retain(|_, known| now.saturating_sub(known.since) < DEPARTURE_RETENTION);
        let pending = self.known.iter_mut().filter(|(_, known)| known.rounds_left > 0);
        let sent = pending.take(MAX_PER_MESSAGE).map(|(name, known)| {
            known.rounds_left -= 1;
            Departure { name: name.clone(), incarnation: known.incarnation }
        });
        sent.collect()
    }
}
