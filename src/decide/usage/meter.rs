//! The usage that one node has counted.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Counts;
use crate::Name;

/// Number of windows before the present one that are still reported.
const REPORTED_PAST_WINDOWS: u64 = 4;

/// What a node has counted in one window. The counts only grow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowNote {
    /// Number of the window.
    pub window: u64,
    /// Whether the counts are final.
    pub closed: bool,
    /// The requests that began in the window.
    pub counts: Counts,
}

/// The counts of a node.
#[derive(Debug, Default)]
pub struct Meter {
    windows: BTreeMap<u64, OpenWindow>,
}

#[derive(Debug, Default)]
struct OpenWindow {
    /// Number of sent requests that may begin in the window and are not settled yet.
    unsettled: u32,
    counts: Counts,
}

impl Meter {
    /// Records that a request is sent that may begin in this window.
    pub fn request_sent(&mut self, window: u64) {
        self.windows.entry(window).or_default().unsettled += 1;
    }

    /// Records the outcome of a request sent in this window: it began for the organisation
    /// `ran`, or certainly did not begin.
    pub fn request_settled(&mut self, window: u64, ran: Option<&Name>) {
        let Some(open) = self.windows.get_mut(&window) else { return };
        open.unsettled = open.unsettled.saturating_sub(1);
        if let Some(organisation) = ran {
            let count = open.counts.entry(organisation.clone()).or_default();
            *count = count.saturating_add(1);
        }
    }

    /// Returns the counts of the last windows up to the present one, and drops older ones.
    pub fn window_notes(&mut self, present: u64) -> Vec<WindowNote> {
        let oldest = present.saturating_sub(REPORTED_PAST_WINDOWS);
        self.windows = self.windows.split_off(&oldest);
        let note = |window: u64| {
            let open = self.windows.get(&window);
            WindowNote {
                window,
                closed: window < present && open.is_none_or(|w| w.unsettled == 0),
                counts: open.map(|w| w.counts.clone()).unwrap_or_default(),
            }
        };
        (oldest..=present).map(note).collect()
    }
}
