//! The bytes of one purpose, both ways.

use prometheus_client::metrics::counter::Counter;

/// Counts messages and bytes of bodies and messages; heads and framing are not counted.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    pub(super) sent: Counter,
    pub(super) received: Counter,
    pub(super) messages_out: Counter,
    pub(super) messages_in: Counter,
}

impl Traffic {
    /// Bytes received so far.
    pub fn bytes_received(&self) -> u64 {
        self.received.get()
    }

    /// Counts a message of so many bytes that this node sent.
    pub fn sent(&self, bytes: usize) {
        self.messages_out.inc();
        self.sent.inc_by(bytes as u64);
    }

    /// Counts a message of so many bytes that this node received.
    pub fn received(&self, bytes: usize) {
        self.messages_in.inc();
        self.received.inc_by(bytes as u64);
    }
}
