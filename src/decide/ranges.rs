//! A set of group numbers as ranges: small on the wire, whatever a step's size.

use std::collections::BTreeSet;
use std::ops::Range;

use serde::{Deserialize, Serialize};

/// Numbers as ranges, each from its first number to the one after its last.
///
/// A trainer that has all of a step but some stragglers names a few ranges
/// where a list would name thousands of groups.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Ranges(Vec<(u32, u32)>);

impl Ranges {
    /// The numbers below `end`. What others send may name any number.
    pub fn below(&self, end: u32) -> impl Iterator<Item = u32> + '_ {
        let cut = move |(from, to): &(u32, u32)| Range { start: *from, end: (*to).min(end) };
        self.0.iter().flat_map(cut)
    }

    /// How many ranges there are.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether there is none.
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
