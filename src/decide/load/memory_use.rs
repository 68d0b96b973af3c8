//! How much memory an entry node may hold for its callers, and what it holds.
//!
//! Load pattern: callers that send large bodies or read slowly, while the process goes on accepting
//! work. What is held for them grows until the machine's limit ends the process, and with it all
//! requests and jobs of the node. Below the limit a node waits, then refuses.

use super::NodeCapacity;

/// Memory of a process without callers, in MB: 25 to 37 were measured at the busiest node
/// (docs/CAPACITY.md).
const MEMORY_AT_REST_MB: usize = 40;
/// Memory for the ended jobs that a node retains, in MB.
const ENDED_JOBS_MB: usize = 16;
/// The part of the rest that may be held, in percent. Bodies and texts exist twice while they are
/// encoded, and the allocator returns memory late.
const HELD_PERCENT: usize = 50;
/// The least that may be held for each purpose, in bytes: a job of a customer with all its texts
/// takes about 2 MB.
const MIN_LIMIT: usize = 4 << 20;
/// The part of the rest for open connections, in percent.
const CONNECTION_PERCENT: usize = 20;
/// The least memory for open connections, in bytes: that of some hundreds.
const MIN_CONNECTION_LIMIT: usize = 8 << 20;
/// What a text of a job is expected to take at most times, in bytes: twice the usual 18 events of 62
/// tokens at four bytes. The longest take four times as much.
const EXPECTED_TEXT_BYTES: usize = 8 << 10;

/// The memory that is held, and the most that may be held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MemoryUse {
    limit: Option<usize>,
    held: usize,
}

impl MemoryUse {
    /// Nothing is held. `limit` is in bytes; none for no limit.
    pub fn new(limit: Option<usize>) -> Self {
        Self { limit, held: 0 }
    }

    /// Returns the most that a machine may hold for the bodies, responses and events of calls, in
    /// bytes. None if its memory is unknown.
    pub fn call_limit(capacity: &NodeCapacity) -> Option<usize> {
        let memory = capacity.memory_mb? as usize;
        let rest = memory.saturating_sub(MEMORY_AT_REST_MB + ENDED_JOBS_MB) << 20;
        Some((rest / 100 * HELD_PERCENT / 2).max(MIN_LIMIT))
    }

    /// Returns the most that a machine may hold for the jobs that it owns, in bytes. None if its
    /// memory is unknown. As much as for calls: a node with many jobs must still deliver their
    /// results, because a job ends only once its trainer has them.
    pub fn job_limit(capacity: &NodeCapacity) -> Option<usize> {
        Self::call_limit(capacity)
    }

    /// Returns the most that a machine may use for open connections and the heads of requests, in
    /// bytes. None if its memory is unknown.
    pub fn connection_limit(capacity: &NodeCapacity) -> Option<usize> {
        let memory = capacity.memory_mb? as usize;
        let rest = memory.saturating_sub(MEMORY_AT_REST_MB + ENDED_JOBS_MB) << 20;
        Some((rest / 100 * CONNECTION_PERCENT).max(MIN_CONNECTION_LIMIT))
    }

    /// Returns the most that a machine may hold for messages of other nodes that are being received, in
    /// bytes. None if its memory is unknown. `largest` is the size of the largest message.
    pub fn message_limit(capacity: &NodeCapacity, largest: usize) -> Option<usize> {
        Some(Self::job_limit(capacity)?.max(largest))
    }

    /// Returns what a job takes at its owner, in bytes, given the size of its submission.
    pub fn of_job(submission: usize, samples: usize) -> usize {
        submission + samples * EXPECTED_TEXT_BYTES
    }

    /// Takes some bytes if they fit. False if they don't.
    pub fn try_take(&mut self, bytes: usize) -> bool {
        self.try_take_leaving(bytes, 0)
    }

    /// Takes some bytes if `free` bytes more would fit. False if they don't.
    pub fn try_take_leaving(&mut self, bytes: usize, free: usize) -> bool {
        let wanted = self.held.saturating_add(bytes).saturating_add(free);
        let fits = self.limit.is_none_or(|limit| wanted <= limit);
        if fits {
            self.take(bytes);
        }
        fits
    }

    /// Takes some bytes that exist already, whether they fit or not.
    pub fn take(&mut self, bytes: usize) {
        self.held = self.held.saturating_add(bytes);
    }

    /// Returns bytes that were taken.
    pub fn release(&mut self, bytes: usize) {
        self.held = self.held.saturating_sub(bytes);
    }

    /// Whether nothing more fits.
    pub fn is_full(&self) -> bool {
        self.limit.is_some_and(|limit| self.held >= limit)
    }

    /// Whether so many bytes fit if nothing else is held.
    pub fn could_take(&self, bytes: usize) -> bool {
        self.limit.is_none_or(|limit| bytes <= limit)
    }

    /// The bytes that are held.
    pub fn held(&self) -> usize {
        self.held
    }

    /// The most that may be held, in bytes.
    pub fn limit(&self) -> Option<usize> {
        self.limit
    }
}
