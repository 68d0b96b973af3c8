//! What the nodes have counted together.

use std::collections::{BTreeMap, HashMap};

use super::{Counts, WindowNote};
use crate::Name;

/// Windows around the present one that are kept.
const KEPT: u64 = 8;

/// The counts of all nodes, by window and by incarnation of a node.
///
/// Each node's counts only grow, so that notes may come twice, late and in any order.
#[derive(Debug, Default)]
pub struct Ledger {
    windows: BTreeMap<u64, HashMap<Name, Noted>>,
}

#[derive(Debug, Default)]
struct Noted {
    closed: bool,
    counts: Counts,
}

/// What a window comes to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Total {
    /// The requests that began in it.
    pub counts: Counts,
    /// The incarnations that may have more.
    pub missing: Vec<Name>,
}

impl Ledger {
    /// Takes over what a node has counted. Windows far from the present one are a fault of
    /// its clock: they are left out, and returned.
    pub fn note(&mut self, life: &Name, notes: &[WindowNote], present: u64) -> Vec<u64> {
        self.windows = self.windows.split_off(&present.saturating_sub(KEPT));
        let mut strange = Vec::new();
        for note in notes {
            if note.window.abs_diff(present) > KEPT {
                strange.push(note.window);
                continue;
            }
            let window = self.windows.entry(note.window).or_default();
            let noted = window.entry(life.clone()).or_default();
            noted.closed |= note.closed;
            for (organisation, count) in &note.counts {
                let known = noted.counts.entry(organisation.clone()).or_default();
                *known = (*known).max(*count);
            }
        }
        strange
    }

    /// What a window comes to, where these incarnations may count.
    pub fn total(&self, window: u64, lives: &[Name]) -> Total {
        let noted = self.windows.get(&window);
        let mut counts = Counts::new();
        for (organisation, count) in noted.iter().flat_map(|w| w.values()).flat_map(|n| &n.counts) {
            let sum = counts.entry(organisation.clone()).or_default();
            *sum = sum.saturating_add(*count);
        }
        let closed = |life: &Name| noted.and_then(|w| w.get(life)).is_some_and(|n| n.closed);
        let missing = lives.iter().filter(|life| !closed(life)).cloned().collect();
        Total { counts, missing }
    }
}
