//! Limits on what other nodes may send.

/// How many connections and messages of other nodes are accepted at the same time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerLimits {
    /// The most open connections.
    pub max_open: usize,
    /// The memory for messages that are being received, in bytes; none for no limit. It is at least
    /// that of the largest message.
    pub message_memory: Option<usize>,
}
