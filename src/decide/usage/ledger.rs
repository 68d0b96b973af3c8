//! The usage that all nodes have counted.

use std::collections::{BTreeMap, HashMap};

use super::{Counts, WindowNote};
use crate::Name;

/// Number of windows before and after the present one whose counts are retained.
const RETAINED_WINDOWS: u64 = 8;

/// The counts of all nodes, by window and by incarnation of a node.
///
/// The counts of an incarnation only grow, so notes may arrive twice, late and in any order.
#[derive(Debug, Default)]
pub struct Ledger {
    windows: BTreeMap<u64, HashMap<Name, RecordedCounts>>,
}

/// What one incarnation has counted in one window.
#[derive(Debug, Default)]
struct RecordedCounts {
    closed: bool,
    counts: Counts,
}

/// The total of one window.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WindowTotal {
    /// The requests that began in the window.
    pub counts: Counts,
    /// The incarnations that may still add to it.
    pub unclosed: Vec<Name>,
}

impl Ledger {
    /// Records what an incarnation of a node has counted. A window far from the present one
    /// comes from a wrong clock of that node: such windows are left out and returned.
    pub fn record(&mut self, incarnation: &Name, notes: &[WindowNote], present: u64) -> Vec<u64> {
        self.windows = self.windows.split_off(&present.saturating_sub(RETAINED_WINDOWS));
        let mut rejected = Vec::new();
        for note in notes {
            if note.window.abs_diff(present) > RETAINED_WINDOWS {
                rejected.push(note.window);
                continue;
            }
            let window = self.windows.entry(note.window).or_default();
            let recorded = window.entry(incarnation.clone()).or_default();
            recorded.closed |= note.closed;
            for (organisation, count) in &note.counts {
                let known = recorded.counts.entry(organisation.clone()).or_default();
                *known = (*known).max(*count);
            }
        }
        rejected
    }

    /// Returns the total of a window. `incarnations` are those that may count requests.
    pub fn total(&self, window: u64, incarnations: &[Name]) -> WindowTotal {
        let recorded = self.windows.get(&window);
        let mut counts = Counts::new();
        let all = recorded.iter().flat_map(|w| w.values()).flat_map(|r| &r.counts);
        for (organisation, count) in all {
            let sum = counts.entry(organisation.clone()).or_default();
            *sum = sum.saturating_add(*count);
        }
        let closed = |name: &Name| recorded.and_then(|w| w.get(name)).is_some_and(|r| r.closed);
        let unclosed = incarnations.iter().filter(|name| !closed(name)).cloned().collect();
        WindowTotal { counts, unclosed }
    }
}
