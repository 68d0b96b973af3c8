//! What one node has counted.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::Counts;
use crate::Name;

/// Windows before the present one that are still told.
const KEPT: u64 = 4;

/// What a node has counted in one window. The counts only grow.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowNote {
    /// The window.
    pub window: u64,
    /// Whether nothing more comes to it.
    pub closed: bool,
    /// The requests that began in it.
    pub counts: Counts,
}

/// The counts of a node.
#[derive(Debug, Default)]
pub struct Meter {
    windows: BTreeMap<u64, Metered>,
}

#[derive(Debug, Default)]
struct Metered {
    /// Requests that may have begun in it.
    open: u32,
    counts: Counts,
}

impl Meter {
    /// A request is sent, which may begin in this window.
    pub fn sent(&mut self, window: u64) {
        self.windows.entry(window).or_default().open += 1;
    }

    /// One of these has begun for an organisation, or surely not.
    pub fn settled(&mut self, window: u64, ran: Option<&Name>) {
        let Some(metered) = self.windows.get_mut(&window) else { return };
        metered.open = metered.open.saturating_sub(1);
        if let Some(organisation) = ran {
            let count = metered.counts.entry(organisation.clone()).or_default();
            *count = count.saturating_add(1);
        }
    }

    /// The counts of the last windows up to the present one; older ones are forgotten.
    pub fn notes(&mut self, present: u64) -> Vec<WindowNote> {
        let oldest = present.saturating_sub(KEPT);
        self.windows = self.windows.split_off(&oldest);
        let note = |window: u64| {
            let metered = self.windows.get(&window);
            WindowNote {
                window,
                closed: window < present && metered.is_none_or(|m| m.open == 0),
                counts: metered.map(|m| m.counts.clone()).unwrap_or_default(),
            }
        };
        (oldest..=present).map(note).collect()
    }
}
