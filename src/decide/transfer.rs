//! How long a message may be on its way, by what has come of it.
//!
//! Load pattern: a change of several hundred kilobytes concerns every node at the same moment,
//! and each of a few nodes passes it on to a dozen or more over one link, of which each gets a
//! share. With one limit for messages of any size, those that ask give up shortly before the
//! end and ask another node for the whole: links stay full of what nobody takes, for no bounded
//! time. Here who is silent is given up as soon as before, and what comes is waited for.

use std::time::Duration;

use crate::Moment;

/// The longest silence in the middle of a message: several turns on a link that two dozen
/// messages share.
const SILENCE: Duration = Duration::from_millis(400);
/// The least bytes a second of a message that is waited for: the largest value of the platform's
/// service takes four seconds, and a sender that goes on byte by byte holds nobody up.
const LEAST: u64 = 256 << 10;
/// The pace of a request that is allowed for, in bytes a second: a quarter of the narrowest link.
/// Fewer share the way out of the node that asks, and whether the other one is there shows only
/// once all is sent.
const SENT: u64 = 2 << 20;

/// A message that is sent and its reply, by the time since it was begun.
#[derive(Debug, Clone, Copy)]
pub struct Transfer {
    /// How long the reply may take to begin.
    limit: Duration,
    came: u64,
    /// When the first and the last bytes of the reply came.
    seen: Option<(Moment, Moment)>,
}

impl Transfer {
    /// A request of so many bytes, whose reply may take so long to begin beside the time that
    /// the request is on its way.
    pub fn new(limit: Duration, sent: usize) -> Self {
        Self { limit: limit + taken(sent as u64, SENT), came: 0, seen: None }
    }

    /// So many bytes of the reply came.
    pub fn come(&mut self, bytes: usize, now: Moment) {
        self.came += bytes as u64;
        let first = self.seen.map_or(now, |(first, _)| first);
        self.seen = Some((first, now));
    }

    /// Bytes of the reply so far.
    pub fn came(&self) -> u64 {
        self.came
    }

    /// When it is given up if nothing more comes.
    pub fn due(&self) -> Moment {
        let Some((first, last)) = self.seen else { return self.limit };
        let least = first + taken(self.came, LEAST);
        self.limit.max(least.min(last) + SILENCE)
    }
}

/// How long bytes take at a pace in bytes a second.
fn taken(bytes: u64, pace: u64) -> Duration {
    Duration::from_micros(bytes * 1_000_000 / pace)
}
