//! How long a message may be in transit, given how much of its reply has arrived.
//!
//! Load pattern: a change of several hundred kilobytes concerns every node at the same moment,
//! and each of a few nodes passes it on to a dozen or more over one link, of which each gets a
//! share. With one timeout for messages of any size, the receivers give up shortly before the
//! end and ask another node for the whole message: the links stay full of data that nobody
//! uses, for an unbounded time. Here a silent sender is given up as early as before, and a
//! reply that keeps arriving is waited for.

use std::time::Duration;

use crate::Moment;

/// The longest pause in the middle of a reply: several turns on a link that two dozen
/// messages share.
const MAX_REPLY_PAUSE: Duration = Duration::from_millis(400);
/// The lowest rate at which a reply may arrive: the largest value of the platform's
/// service takes four seconds, and a sender that sends byte by byte holds up nobody.
const MIN_REPLY_BYTES_PER_SECOND: u64 = 256 << 10;
/// The assumed rate at which a request is sent: a quarter of the narrowest link. Fewer messages
/// share the outgoing link of the requesting node than share the link of the replies, and
/// whether the other node is there shows only once the whole request is sent.
const REQUEST_BYTES_PER_SECOND: u64 = 2 << 20;

/// The progress of a request and its reply. All times are relative to its start.
#[derive(Debug, Clone, Copy)]
pub struct Transfer {
    /// How long the reply may take to begin.
    start_timeout: Duration,
    received: u64,
    /// When the first and the last bytes of the reply arrived.
    arrivals: Option<(Moment, Moment)>,
}

impl Transfer {
    /// A request of `sent` bytes. Its reply may take `start_timeout` to begin, plus the time for
    /// sending the request.
    pub fn new(start_timeout: Duration, sent: usize) -> Self {
        let start_timeout = start_timeout + duration(sent as u64, REQUEST_BYTES_PER_SECOND);
        Self { start_timeout, received: 0, arrivals: None }
    }

    /// Records the arrival of `bytes` bytes of the reply.
    pub fn record_received(&mut self, bytes: usize, now: Moment) {
        self.received += bytes as u64;
        let first = self.arrivals.map_or(now, |(first, _)| first);
        self.arrivals = Some((first, now));
    }

    /// Returns the number of bytes of the reply that have arrived.
    pub fn received_bytes(&self) -> u64 {
        self.received
    }

    /// Returns when the transfer is given up if nothing more arrives.
    pub fn deadline(&self) -> Moment {
        let Some((first, last)) = self.arrivals else { return self.start_timeout };
        let slowest = first + duration(self.received, MIN_REPLY_BYTES_PER_SECOND);
        self.start_timeout.max(slowest.min(last) + MAX_REPLY_PAUSE)
    }
}

/// Returns the time that `bytes` bytes take at a rate in bytes per second.
fn duration(bytes: u64, rate: u64) -> Duration {
    Duration::from_micros(bytes * 1_000_000 / rate)
}
