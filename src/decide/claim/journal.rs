//! The journal of one partition at one node: claims in, commits out.
//!
//! A new home first seals: it replaces the head under a compare with the revision
//! that it read. Every commit compares too, so the next commit of a home that was
//! paused over a seal fails, whatever its clock says. A commit without a reply is
//! sent again unchanged: it either takes effect now, or conflicts with a head that
//! carries its own nonce, which shows that it took effect before.

use std::collections::VecDeque;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{
    Ask, ClaimKey, End, Entry, Head, Holder, Index, Pace, RING, SEGMENT, Segment, Verdict, WAIT,
};
use crate::{Moment, Name};

/// Asks that wait for the partition to open, or for a commit.
const QUEUE: usize = 2 * SEGMENT;

/// What the shell is to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Step {
    /// Read the head.
    ReadHead,
    /// Read the segments of these numbers.
    ReadSegments(std::ops::Range<u64>),
    /// Replace the head if its revision is `expected`, and write the segment with it.
    Swap {
        /// The revision, 0 for no head.
        expected: u64,
        /// The new head.
        head: Head,
        /// A segment that has become full.
        full: Option<Segment>,
    },
    /// Answer an ask.
    Reply {
        /// The ask.
        nonce: u64,
        /// The answer.
        verdict: Verdict,
    },
}

/// What is known of a swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Swapped {
    /// It took effect, at this revision.
    Done(u64),
    /// Something else was there, at its revision.
    Conflict(Option<(Head, u64)>),
    /// No reply: it may have taken effect, or may yet.
    Unknown,
    /// It was not sent, or was refused.
    Unsent,
}

#[derive(Debug, Clone)]
pub(super) struct Commit {
    pub(super) expected: u64,
    pub(super) head: Head,
    pub(super) full: Option<Segment>,
    pub(super) entries: Vec<Entry>,
    /// An earlier try may have taken effect.
    pub(super) unsure: bool,
    /// When to try again; none while a try is under way.
    pub(super) again: Option<Moment>,
}

#[derive(Debug, Clone)]
pub(super) enum State {
    /// Not the home. Asks are sent to the owner until the moment.
    Closed { owner: Option<Name>, until: Moment },
    /// The head is being read.
    Reading,
    /// The seal is under way.
    Sealing(Commit),
    /// The segments from this number on are still to be read.
    Loading(u64),
    /// The home; no commit is under way.
    Open,
    /// The home; a commit is under way.
    Committing(Commit),
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Waiter {
    pub(super) nonce: u64,
    pub(super) until: Moment,
}

/// The journal.
#[derive(Debug, Clone)]
pub struct Journal {
    pub(super) me: Name,
    /// Seconds since 1970 at moment zero.
    base: u64,
    pub(super) rng: SmallRng,
    pub(super) state: State,
    pub(super) revision: u64,
    pub(super) head: Option<Head>,
    pub(super) index: Index,
    pub(super) parked: VecDeque<(Ask, Moment)>,
    pub(super) queue: VecDeque<Entry>,
    pub(super) waiters: Vec<Waiter>,
    pub(super) pace: Pace,
    pub(super) steps: Vec<Step>,
}

impl Journal {
    /// A journal that is not open. `base` is the time at moment zero, in seconds since 1970.
    pub fn new(me: Name, base: u64, seed: u64) -> Self {
        Self {
            me,
            base,
            rng: SmallRng::seed_from_u64(seed),
            state: State::Closed { owner: None, until: Moment::ZERO },
            revision: 0,
            head: None,
            index: Index::default(),
            parked: VecDeque::new(),
            queue: VecDeque::new(),
            waiters: Vec::new(),
            pace: Pace::default(),
            steps: Vec::new(),
        }
    }

    /// A node asks for a claim. The answer comes as a [`Step::Reply`].
    pub fn ask(&mut self, ask: Ask, now: Moment) {
        match &self.state {
            State::Open | State::Committing(_) => self.decide(ask, now),
            State::Closed { owner: Some(owner), until } if *until > now => {
                let verdict = Verdict::Moved(owner.clone());
                self.reply(ask.nonce, verdict);
            }
            State::Closed { owner: None, until } if *until > now => {
                let verdict = Verdict::Unavailable(*until - now);
                self.reply(ask.nonce, verdict);
            }
            State::Closed { .. } => {
                self.park(ask, now);
                self.read();
            }
            State::Reading | State::Sealing(_) | State::Loading(_) => self.park(ask, now),
        }
    }

    /// A claimed call ended. False if this node is not the home of its record.
    pub fn ended(&mut self, key: ClaimKey, nonce: u64, end: End, now: Moment) -> bool {
        if !matches!(self.state, State::Open | State::Committing(_)) {
            return false;
        }
        let queued = self.queue.iter().position(|e| claims(e, nonce));
        if let Some(index) = queued {
            // It is in no commit yet: given up on before it was granted.
            self.queue.remove(index);
            self.waiters.retain(|w| w.nonce != nonce);
            self.reply(nonce, Verdict::Unavailable(WAIT));
            return true;
        }
        let recorded = self.index.get(key).is_some_and(|r| r.nonce == nonce && r.end.is_none());
        if recorded || self.committing(nonce) {
            self.record_end(key, nonce, end, now);
        }
        true
    }

    /// Time passed.
    pub fn tick(&mut self, now: Moment) {
        self.refuse_late(now);
        match &mut self.state {
            State::Sealing(commit) | State::Committing(commit)
                if commit.again.is_some_and(|at| at <= now) =>
            {
                commit.again = None;
                let commit = commit.clone();
                self.send(&commit);
            }
            State::Open if self.pace.due().is_some_and(|at| at <= now) => self.commit(now),
            State::Open
            | State::Sealing(_)
            | State::Committing(_)
            | State::Closed { .. }
            | State::Reading
            | State::Loading(_) => {}
        }
    }

    /// The node is about to stop: ends wait for no claim any more. Returns whether
    /// everything is committed, or never will be here.
    pub fn flush(&mut self, now: Moment) -> bool {
        self.pace.hurry(now);
        match &self.state {
            State::Open => self.queue.is_empty(),
            State::Committing(_) => false,
            State::Closed { .. } | State::Reading | State::Sealing(_) | State::Loading(_) => true,
        }
    }

    /// When the next tick is due, if one is.
    pub fn due(&self) -> Option<Moment> {
        let waits = self.waiters.iter().map(|w| w.until);
        let parked = self.parked.iter().map(|(_, until)| *until);
        let own = match &self.state {
            State::Open => self.pace.due(),
            State::Sealing(commit) | State::Committing(commit) => commit.again,
            State::Closed { .. } | State::Reading | State::Loading(_) => None,
        };
        waits.chain(parked).chain(own).min()
    }

    /// Takes the steps that have come up.
    pub fn steps(&mut self) -> Vec<Step> {
        std::mem::take(&mut self.steps)
    }

    /// Whether this node is the home.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Open | State::Committing(_))
    }

    /// Keys that are held here.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether no key is held here.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    pub(super) fn decide(&mut self, ask: Ask, now: Moment) {
        if let Some(verdict) = self.held(&ask) {
            return self.reply(ask.nonce, verdict);
        }
        let at = self.wall(now);
        let full = self.head.as_ref().is_some_and(|h| h.next - h.first + 1 >= RING);
        if let Some(after) = self.pace.blocked(now) {
            return self.reply(ask.nonce, Verdict::Unavailable(after));
        }
        if full || self.queue.len() >= QUEUE {
            return self.reply(ask.nonce, Verdict::Unavailable(WAIT));
        }
        self.waiters.push(Waiter { nonce: ask.nonce, until: now + WAIT });
        self.queue.push_back(Entry::Claim { ask, at });
        self.pace.claim(now);
    }

    /// The verdict if another attempt has the key, or is about to.
    fn held(&self, ask: &Ask) -> Option<Verdict> {
        let (fingerprint, holder) = match self.under_way(ask.key) {
            Some(other) => {
                let holder = Holder { runner: other.runner.clone(), nonce: other.nonce, end: None };
                (other.fingerprint, holder)
            }
            None => {
                let record = self.index.get(ask.key)?;
                let holder =
                    Holder { runner: record.runner.clone(), nonce: record.nonce, end: record.end };
                (record.fingerprint, holder)
            }
        };
        match holder.end {
            Some(End::NotRun) => None,
            Some(End::Ran | End::Unknown) | None if fingerprint != ask.fingerprint => {
                Some(Verdict::Reused)
            }
            Some(End::Ran | End::Unknown) | None => Some(Verdict::Held(holder)),
        }
    }

    /// The claim of a key that waits for its commit.
    fn under_way(&self, key: ClaimKey) -> Option<&Ask> {
        let committing = match &self.state {
            State::Committing(commit) => commit.entries.as_slice(),
            State::Closed { .. }
            | State::Reading
            | State::Sealing(_)
            | State::Loading(_)
            | State::Open => &[],
        };
        let entries = committing.iter().chain(&self.queue).rev();
        let mut asks = entries.filter_map(|e| match e {
            Entry::Claim { ask, .. } => Some(ask),
            Entry::End { .. } => None,
        });
        asks.find(|ask| ask.key == key)
    }

    fn committing(&self, nonce: u64) -> bool {
        match &self.state {
            State::Committing(commit) => commit.entries.iter().any(|e| claims(e, nonce)),
            State::Closed { .. }
            | State::Reading
            | State::Sealing(_)
            | State::Loading(_)
            | State::Open => false,
        }
    }

    pub(super) fn record_end(&mut self, key: ClaimKey, nonce: u64, end: End, now: Moment) {
        let entry = Entry::End { key, nonce, end };
        self.index.apply(0, &entry);
        self.queue.push_back(entry);
        self.pace.end(now);
    }

    pub(super) fn park(&mut self, ask: Ask, now: Moment) {
        if let Some(after) = self.pace.blocked(now) {
            return self.reply(ask.nonce, Verdict::Unavailable(after));
        }
        if self.parked.len() >= QUEUE {
            return self.reply(ask.nonce, Verdict::Unavailable(WAIT));
        }
        self.parked.push_back((ask, now + WAIT));
    }

    fn refuse_late(&mut self, now: Moment) {
        let late: Vec<u64> =
            self.waiters.iter().filter(|w| w.until <= now).map(|w| w.nonce).collect();
        self.waiters.retain(|w| w.until > now);
        self.queue.retain(|e| !late.iter().any(|nonce| claims(e, *nonce)));
        let parked: Vec<u64> =
            self.parked.iter().filter(|(_, u)| *u <= now).map(|(a, _)| a.nonce).collect();
        self.parked.retain(|(_, until)| *until > now);
        for nonce in late.into_iter().chain(parked) {
            self.reply(nonce, Verdict::Unavailable(WAIT));
        }
    }

    pub(super) fn reply(&mut self, nonce: u64, verdict: Verdict) {
        self.steps.push(Step::Reply { nonce, verdict });
    }

    pub(super) fn wall(&self, now: Moment) -> u64 {
        self.base + now.as_secs()
    }
}

pub(super) fn claims(entry: &Entry, nonce: u64) -> bool {
    match entry {
        Entry::Claim { ask, .. } => ask.nonce == nonce,
        Entry::End { .. } => false,
    }
}
