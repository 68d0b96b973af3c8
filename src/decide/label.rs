//! The label of a sample: which weight versions produced which tokens.
//!
//! Only the engine knows the version, so a label is built from what the engine reports with
//! each chunk, and from nothing else. A chunk without a version makes the label unusable.

use serde::{Deserialize, Serialize};

/// A run of consecutive tokens that one weight version produced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Span {
    /// The weight version.
    pub version: u64,
    /// Index of the first token.
    pub from: u32,
    /// Index after the last token.
    pub to: u32,
}

/// A chunk arrived without a version, so the sample can't be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the weight version of token {at} is unknown")]
pub struct Unlabelled {
    /// Index of the first such token.
    pub at: u32,
}

/// A label under construction.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Label {
    spans: Vec<Span>,
    next: u32,
    gap: Option<u32>,
}

impl Label {
    /// Adds a chunk of `count` tokens. A chunk without tokens is ignored, even without a
    /// version.
    pub fn push(&mut self, version: Option<u64>, count: u32) {
        if count == 0 {
            return;
        }
        let from = self.next;
        self.next += count;
        let Some(version) = version else {
            self.gap.get_or_insert(from);
            return;
        };
        match self.spans.last_mut() {
            Some(last) if last.version == version && last.to == from => last.to = self.next,
            _ => self.spans.push(Span { version, from, to: self.next }),
        }
    }

    /// Returns the number of tokens added.
    pub fn tokens(&self) -> u32 {
        self.next
    }

    /// Returns the oldest version so far; none before the first token with a version.
    pub fn oldest(&self) -> Option<u64> {
        self.spans.iter().map(|s| s.version).min()
    }

    /// Whether a token came without a version, so that the label can't be finished any more.
    pub fn has_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Returns the finished label, or an error that names the first token without a version.
    pub fn finish(self) -> Result<Vec<Span>, Unlabelled> {
        match self.gap {
            Some(at) => Err(Unlabelled { at }),
            None => Ok(self.spans),
        }
    }
}
