//! The faults that the engine stand-in injects.

use serde::{Deserialize, Serialize};

/// Faults in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// The factor by which tokens take longer; 0 counts as 1.
    pub slowdown: u32,
    /// Whether requests, tokens and orders wait until this is off again.
    pub frozen: bool,
    /// How many of the next swaps fail partway and leave the engine without weights.
    pub fail_swaps: u32,
    /// Whether chunks have no weight version.
    pub unlabelled: bool,
    /// After how many of its own tokens a stream is cut; 0 for never.
    pub cut_after: u32,
    /// Whether every chunk is sent twice.
    #[serde(rename = "doubled")]
    pub duplicate_chunks: bool,
    /// Whether the end marker after the last chunk is left out.
    #[serde(rename = "endless")]
    pub omit_end: bool,
    /// The index of the token whose event is not valid JSON; 0 for none.
    #[serde(rename = "garbled_at")]
    pub malformed_at: u32,
    /// The text that crashes the engine when a prompt contains it; empty for none.
    pub poison: String,
}
