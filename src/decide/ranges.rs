//! A set of group numbers as ranges: small on the wire, whatever the size of a step.

use std::collections::BTreeSet;
use std::ops::Range;

use serde::{Deserialize, Serialize};

/// A set of numbers as ranges, each from its first number to the one after its last.
///
/// A trainer that has all groups of a step but a few late ones sends a few ranges,
/// where a list would have thousands of groups.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ranges(Vec<(u32, u32)>);

impl Ranges {
    /// Returns the numbers below `end`. A received set may contain any number.
    pub fn below(&self, end: u32) -> impl Iterator<Item = u32> + '_ {
        let clip = move |(from, to): &(u32, u32)| Range { start: *from, end: (*to).min(end) };
        self.0.iter().flat_map(clip)
    }

    /// Returns the number of ranges.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl FromIterator<u32> for Ranges {
    fn from_iter<I: IntoIterator<Item = u32>>(numbers: I) -> Self {
        let sorted: BTreeSet<u32> = numbers.into_iter().collect();
        let mut ranges: Vec<(u32, u32)> = Vec::new();
        for number in sorted {
            match ranges.last_mut() {
                Some((_, to)) if *to == number => *to += 1,
                _ => ranges.push((number, number.saturating_add(1))),
            }
        }
        Self(ranges)
    }
}
