//! The bytes of one purpose, both ways.

use prometheus_client::metrics::counter::Counter;

use super::Direction;

/// Counts messages and bytes of bodies and messages; heads and framing are not counted.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    sent: Counter,
    received: Counter,
    messages_out: Counter,
    messages_in: Counter,
}

impl Traffic {
    /// The counters of bytes and of messages, by way.
    pub(super) fn new(
        bytes: impl Fn(Direction) -> Counter,
        messages: impl Fn(Direction) -> Counter,
    ) -> Self {
        Self {
            sent: bytes(Direction::Out),
            received: bytes(Direction::In),
            messages_out: messages(Direction::Out),
            messages_in: messages(Direction::In),
        }
    }

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
