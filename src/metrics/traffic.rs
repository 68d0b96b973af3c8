//! Counters of the bytes and messages of one purpose, in both directions.

use prometheus_client::metrics::counter::Counter;

use super::Direction;

/// Counts messages and the bytes of their bodies; headers and framing are not counted.
#[derive(Debug, Clone, Default)]
pub struct Traffic {
    bytes_out: Counter,
    bytes_in: Counter,
    messages_out: Counter,
    messages_in: Counter,
}

impl Traffic {
    /// Takes the byte and message counters for each direction.
    pub(super) fn new(
        bytes: impl Fn(Direction) -> Counter,
        messages: impl Fn(Direction) -> Counter,
    ) -> Self {
        Self {
            bytes_out: bytes(Direction::Out),
            bytes_in: bytes(Direction::In),
            messages_out: messages(Direction::Out),
            messages_in: messages(Direction::In),
        }
    }

    /// Returns the number of bytes received so far.
    pub fn bytes_received(&self) -> u64 {
        self.bytes_in.get()
    }

    /// Counts a sent message with a body of `bytes` bytes.
    pub fn count_sent(&self, bytes: usize) {
        self.messages_out.inc();
        self.bytes_out.inc_by(bytes as u64);
    }

    /// Counts a received message with a body of `bytes` bytes.
    pub fn count_received(&self, bytes: usize) {
        self.messages_in.inc();
        self.bytes_in.inc_by(bytes as u64);
    }
}
