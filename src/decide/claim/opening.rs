//! Opening of a [`ClaimJournal`]: reads the head, seals it, and reads the segments.

use rand::RngCore;

use super::journal::{Commit, PartitionState};
use super::{ClaimJournal, JournalAction, PartitionHead, Segment};
use crate::Moment;

/// Segments that are read together: those whose slots share all but the last hex digit.
const SEGMENTS_PER_READ: u64 = 16;

impl ClaimJournal {
    /// Handles the head that was read; an error means that the platform does not answer.
    pub fn head_read(&mut self, read: Result<Option<(PartitionHead, u64)>, ()>, now: Moment) {
        if !matches!(self.state, PartitionState::Reading) {
            return;
        }
        let Ok(found) = read else { return self.close_after_failure(now) };
        let (before, expected) = match found {
            Some((head, revision)) => (Some(head), revision),
            None => (None, 0),
        };
        let head = PartitionHead::sealed(before.as_ref(), self.node.clone(), self.rng.next_u64());
        let commit = Commit {
            expected,
            head,
            segment: None,
            entries: vec![],
            may_be_applied: false,
            retry_at: None,
        };
        self.send(&commit);
        self.state = PartitionState::Sealing(commit);
    }

    /// Handles segments that were read; an error means that the platform does not answer.
    pub fn segments_read(&mut self, read: Result<Vec<Segment>, ()>, now: Moment) {
        let PartitionState::Loading(from) = self.state else { return };
        let Some(range) = self.next_segments(from) else { return };
        let Ok(segments) = read else { return self.close_after_failure(now) };
        let complete = segments.iter().map(|s| s.number).eq(range.clone());
        if !complete {
            // A lagging replica of the platform's store answered.
            return self.close_after_failure(now);
        }
        for segment in &segments {
            segment.entries.iter().for_each(|e| self.index.apply(segment.number, e));
        }
        self.state = PartitionState::Loading(range.end);
        self.load(now);
    }

    /// The next segments to read, starting with number `from`, if there are any.
    fn next_segments(&self, from: u64) -> Option<std::ops::Range<u64>> {
        let next = self.head.as_ref()?.next;
        let to = next.min((from / SEGMENTS_PER_READ + 1) * SEGMENTS_PER_READ);
        (from < next).then_some(from..to)
    }

    /// Reads the next segments, or opens the journal once all are loaded.
    pub(super) fn load(&mut self, now: Moment) {
        let PartitionState::Loading(from) = self.state else { return };
        if let Some(range) = self.next_segments(from) {
            self.actions.push(JournalAction::ReadSegments(range));
            return;
        }
        let Some(head) = &self.head else { return };
        let (next, tail) = (head.next, head.tail.clone());
        tail.iter().for_each(|e| self.index.apply(next, e));
        self.state = PartitionState::Open;
        for (request, _) in std::mem::take(&mut self.parked) {
            self.decide(request, now);
        }
    }

    pub(super) fn start_reading(&mut self) {
        self.actions.push(JournalAction::ReadHead);
        self.state = PartitionState::Reading;
    }
}
