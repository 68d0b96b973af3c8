//! How a [`Journal`] opens: read the head, seal it, read the segments.

use rand::RngCore;

use super::journal::{Commit, State};
use super::{Head, Journal, Segment, Step};
use crate::Moment;

/// Segments that are read together: those whose places share all but the last digit.
const READ: u64 = 16;

impl Journal {
    /// The head was read; an error means that the platform does not answer.
    pub fn head_read(&mut self, read: Result<Option<(Head, u64)>, ()>, now: Moment) {
        if !matches!(self.state, State::Reading) {
            return;
        }
        let Ok(found) = read else { return self.shut(now) };
        let (before, expected) = match found {
            Some((head, revision)) => (Some(head), revision),
            None => (None, 0),
        };
        let head = Head::sealed(before.as_ref(), self.me.clone(), self.rng.next_u64());
        let commit =
            Commit { expected, head, full: None, entries: vec![], unsure: false, again: None };
        self.send(&commit);
        self.state = State::Sealing(commit);
    }

    /// Segments were read; an error means that they are not all there.
    pub fn segments_read(&mut self, read: Result<Vec<Segment>, ()>, now: Moment) {
        let State::Loading(from) = self.state else { return };
        let Some(range) = self.missing(from) else { return };
        let Ok(segments) = read else { return self.shut(now) };
        let whole = segments.iter().map(|s| s.number).eq(range.clone());
        if !whole {
            // A replica that is behind answered.
            return self.shut(now);
        }
        for segment in &segments {
            segment.entries.iter().for_each(|e| self.index.apply(segment.number, e));
        }
        self.state = State::Loading(range.end);
        self.load(now);
    }

    /// The next segments to read, if there are any.
    fn missing(&self, from: u64) -> Option<std::ops::Range<u64>> {
        let next = self.head.as_ref()?.next;
        let to = next.min((from / READ + 1) * READ);
        (from < next).then_some(from..to)
    }

    /// Reads on, or opens once everything is there.
    pub(super) fn load(&mut self, now: Moment) {
        let State::Loading(from) = self.state else { return };
        if let Some(range) = self.missing(from) {
            self.steps.push(Step::ReadSegments(range));
            return;
        }
        let Some(head) = &self.head else { return };
        let (next, tail) = (head.next, head.tail.clone());
        tail.iter().for_each(|e| self.index.apply(next, e));
        self.state = State::Open;
        for (ask, _) in std::mem::take(&mut self.parked) {
            self.decide(ask, now);
        }
    }

    pub(super) fn read(&mut self) {
        self.steps.push(Step::ReadHead);
        self.state = State::Reading;
    }
}
