//! What the engine stand-in does wrong, on order.

use serde::{Deserialize, Serialize};

/// Faults in force.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Faults {
    /// Tokens take so many times longer; 0 counts as 1.
    pub slowdown: u32,
    /// Nothing moves until this is off again.
    pub frozen: bool,
    /// So many of the next swaps fail partway.
    pub fail_swaps: u32,
    /// Chunks come without a version.
    pub unlabelled: bool,
    /// Streams are cut after so many of their own tokens; 0 for never.
    pub cut_after: u32,
    /// Every chunk is sent twice.
    pub doubled: bool,
    /// The end of the stream is lost after the last chunk.
    pub endless: bool,
    /// The event of this token is no JSON; 0 for never.
    pub garbled_at: u32,
    /// A prompt with this text crashes the engine; empty for none.
    pub poison: String,
}
