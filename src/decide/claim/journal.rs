//! The journal of one partition at one node: takes claim requests and produces commits.
//!
//! A new owner first seals the partition: it replaces the head by compare-and-swap
//! against the revision that it read. Every commit is a compare-and-swap too, so the next
//! commit of an owner that was paused during another node's seal fails, whatever its
//! clock says. A commit without a reply is sent again unchanged: it either is applied now,
//! or conflicts with a head that carries its own nonce, which shows that it was applied
//! before.

use std::collections::VecDeque;

use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::{
    CLAIM_TIMEOUT, ClaimDecision, ClaimIndex, ClaimKey, ClaimOutcome, ClaimRequest, CommitSchedule,
    Holder, JournalEntry, MAX_SEGMENT_ENTRIES, PartitionHead, SEGMENT_SLOTS, Segment,
};
use crate::{Moment, Name};

/// Bound on the requests that wait for the partition to open, and on the entries that wait
/// for a commit.
const MAX_WAITING: usize = 2 * MAX_SEGMENT_ENTRIES;

/// What the caller of the journal has to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JournalAction {
    /// Read the head.
    ReadHead,
    /// Read the segments of these numbers.
    ReadSegments(std::ops::Range<u64>),
    /// Replace the head if its revision is `expected`, and write the segment in the same
    /// transaction.
    Swap {
        /// The expected revision; 0 if there is no head yet.
        expected: u64,
        /// The new head.
        head: PartitionHead,
        /// The segment that has become full with this commit, if any.
        segment: Option<Segment>,
    },
    /// Answer a request.
    Reply {
        /// The nonce of the request.
        nonce: u64,
        /// The answer.
        decision: ClaimDecision,
    },
}

/// The result of a swap.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SwapResult {
    /// The swap was applied, at this revision.
    Done(u64),
    /// The compare failed. Holds the head that was found, with its revision.
    Conflict(Option<(PartitionHead, u64)>),
    /// There was no reply: the swap may have been applied, or may be applied later.
    Unknown,
    /// The swap was not sent, or was refused: it was certainly not applied.
    Unsent,
}

#[derive(Debug, Clone)]
pub(super) struct Commit {
    pub(super) expected: u64,
    pub(super) head: PartitionHead,
    pub(super) segment: Option<Segment>,
    pub(super) entries: Vec<JournalEntry>,
    /// Whether an earlier try may have been applied.
    pub(super) may_be_applied: bool,
    /// When to try again; `None` while a try is in progress.
    pub(super) retry_at: Option<Moment>,
}

#[derive(Debug, Clone)]
pub(super) enum State {
    /// This node is not the owner. Until `until`, requests are redirected to the owner
    /// or, if there is none, refused.
    Closed { owner: Option<Name>, until: Moment },
    /// The head is being read.
    Reading,
    /// The seal is in progress.
    Sealing(Commit),
    /// The segments from this number on have still to be read.
    Loading(u64),
    /// This node is the owner; no commit is in progress.
    Open,
    /// This node is the owner; a commit is in progress.
    Committing(Commit),
}

#[derive(Debug, Clone, Copy)]
pub(super) struct Waiter {
    pub(super) nonce: u64,
    pub(super) until: Moment,
}

/// The journal of one partition.
#[derive(Debug, Clone)]
pub struct ClaimJournal {
    pub(super) node: Name,
    /// The time at moment zero, in seconds since 1970.
    unix_base: u64,
    pub(super) rng: SmallRng,
    pub(super) state: State,
    /// Revision of the head at the platform.
    pub(super) revision: u64,
    pub(super) head: Option<PartitionHead>,
    pub(super) index: ClaimIndex,
    /// Requests that wait for the partition to open, with their time limits.
    pub(super) parked: VecDeque<(ClaimRequest, Moment)>,
    /// Entries that wait for the next commit.
    pub(super) queue: VecDeque<JournalEntry>,
    /// Requests whose claim is queued or being committed.
    pub(super) waiters: Vec<Waiter>,
    pub(super) schedule: CommitSchedule,
    pub(super) actions: Vec<JournalAction>,
}

impl ClaimJournal {
    /// A closed journal. `unix_base` is the time at moment zero, in seconds since 1970.
    pub fn new(node: Name, unix_base: u64, seed: u64) -> Self {
        Self {
            node,
            unix_base,
            rng: SmallRng::seed_from_u64(seed),
            state: State::Closed { owner: None, until: Moment::ZERO },
            revision: 0,
            head: None,
            index: ClaimIndex::default(),
            parked: VecDeque::new(),
            queue: VecDeque::new(),
            waiters: Vec::new(),
            schedule: CommitSchedule::default(),
            actions: Vec::new(),
        }
    }

    /// Requests a claim. The decision comes as a [`JournalAction::Reply`].
    pub fn request(&mut self, request: ClaimRequest, now: Moment) {
        match &self.state {
            State::Open | State::Committing(_) => self.decide(request, now),
            State::Closed { owner: Some(owner), until } if *until > now => {
                let decision = ClaimDecision::Moved(owner.clone());
                self.reply(request.nonce, decision);
            }
            State::Closed { owner: None, until } if *until > now => {
                let decision = ClaimDecision::Unavailable(*until - now);
                self.reply(request.nonce, decision);
            }
            State::Closed { .. } => {
                self.park(request, now);
                self.start_reading();
            }
            State::Reading | State::Sealing(_) | State::Loading(_) => self.park(request, now),
        }
    }

    /// Records the outcome of a claimed call. Returns false if this node is not the owner of
    /// the partition.
    pub fn call_ended(
        &mut self,
        key: ClaimKey,
        nonce: u64,
        outcome: ClaimOutcome,
        now: Moment,
    ) -> bool {
        if !matches!(self.state, State::Open | State::Committing(_)) {
            return false;
        }
        let queued = self.queue.iter().position(|e| is_claim_of(e, nonce));
        if let Some(index) = queued {
            // The claim is in no commit yet: it was given up before it was granted.
            self.queue.remove(index);
            self.waiters.retain(|w| w.nonce != nonce);
            self.reply(nonce, ClaimDecision::Unavailable(CLAIM_TIMEOUT));
            return true;
        }
        let recorded = self.index.get(key).is_some_and(|r| r.nonce == nonce && r.outcome.is_none());
        if recorded || self.is_committing(nonce) {
            self.record_outcome(key, nonce, outcome, now);
        }
        true
    }

    /// Does what is due at `now`: refuses expired requests, retries and starts commits.
    pub fn tick(&mut self, now: Moment) {
        self.expire_requests(now);
        match &mut self.state {
            State::Sealing(commit) | State::Committing(commit)
                if commit.retry_at.is_some_and(|at| at <= now) =>
            {
                commit.retry_at = None;
                let commit = commit.clone();
                self.send(&commit);
            }
            State::Open if self.schedule.due().is_some_and(|at| at <= now) => self.commit(now),
            State::Open
            | State::Sealing(_)
            | State::Committing(_)
            | State::Closed { .. }
            | State::Reading
            | State::Loading(_) => {}
        }
    }

    /// Commits queued outcomes without waiting for claims, because the node is about to
    /// stop. Returns whether everything is committed, or never will be at this node.
    pub fn flush(&mut self, now: Moment) -> bool {
        self.schedule.flush(now);
        match &self.state {
            State::Open => self.queue.is_empty(),
            State::Committing(_) => false,
            State::Closed { .. } | State::Reading | State::Sealing(_) | State::Loading(_) => true,
        }
    }

    /// When [`Self::tick`] is due next, if it is.
    pub fn next_tick(&self) -> Option<Moment> {
        let waits = self.waiters.iter().map(|w| w.until);
        let parked = self.parked.iter().map(|(_, until)| *until);
        let own = match &self.state {
            State::Open => self.schedule.due(),
            State::Sealing(commit) | State::Committing(commit) => commit.retry_at,
            State::Closed { .. } | State::Reading | State::Loading(_) => None,
        };
        waits.chain(parked).chain(own).min()
    }

    /// Takes the actions that have become necessary.
    pub fn take_actions(&mut self) -> Vec<JournalAction> {
        std::mem::take(&mut self.actions)
    }

    /// Whether this node is the owner of the partition.
    pub fn is_open(&self) -> bool {
        matches!(self.state, State::Open | State::Committing(_))
    }

    /// Number of keys with a claim.
    pub fn len(&self) -> usize {
        self.index.len()
    }

    /// Whether there are no claims.
    pub fn is_empty(&self) -> bool {
        self.index.is_empty()
    }

    pub(super) fn decide(&mut self, request: ClaimRequest, now: Moment) {
        if let Some(decision) = self.conflict(&request) {
            return self.reply(request.nonce, decision);
        }
        let claimed_at = self.unix_seconds(now);
        let full = self.head.as_ref().is_some_and(|h| h.next - h.first + 1 >= SEGMENT_SLOTS);
        if let Some(after) = self.schedule.remaining_backoff(now) {
            return self.reply(request.nonce, ClaimDecision::Unavailable(after));
        }
        if full || self.queue.len() >= MAX_WAITING {
            return self.reply(request.nonce, ClaimDecision::Unavailable(CLAIM_TIMEOUT));
        }
        self.waiters.push(Waiter { nonce: request.nonce, until: now + CLAIM_TIMEOUT });
        self.queue.push_back(JournalEntry::Claim { request, claimed_at });
        self.schedule.claim_queued(now);
    }

    /// The decision if another attempt holds the key, or is about to.
    fn conflict(&self, request: &ClaimRequest) -> Option<ClaimDecision> {
        let (fingerprint, holder) = match self.uncommitted_claim(request.key) {
            Some(other) => {
                let holder =
                    Holder { runner: other.runner.clone(), nonce: other.nonce, outcome: None };
                (other.fingerprint, holder)
            }
            None => {
                let record = self.index.get(request.key)?;
                let holder = Holder {
                    runner: record.runner.clone(),
                    nonce: record.nonce,
                    outcome: record.outcome,
                };
                (record.fingerprint, holder)
            }
        };
        match holder.outcome {
            Some(ClaimOutcome::NotRun) => None,
            Some(ClaimOutcome::Ran | ClaimOutcome::Unknown) | None
                if fingerprint != request.fingerprint =>
            {
                Some(ClaimDecision::KeyReused)
            }
            Some(ClaimOutcome::Ran | ClaimOutcome::Unknown) | None => {
                Some(ClaimDecision::Held(holder))
            }
        }
    }

    /// The newest claim of a key that is queued or in the commit in progress.
    fn uncommitted_claim(&self, key: ClaimKey) -> Option<&ClaimRequest> {
        let committing = match &self.state {
            State::Committing(commit) => commit.entries.as_slice(),
            State::Closed { .. }
            | State::Reading
            | State::Sealing(_)
            | State::Loading(_)
            | State::Open => &[],
        };
        let entries = committing.iter().chain(&self.queue).rev();
        let mut requests = entries.filter_map(|e| match e {
            JournalEntry::Claim { request, .. } => Some(request),
            JournalEntry::End { .. } => None,
        });
        requests.find(|request| request.key == key)
    }

    fn is_committing(&self, nonce: u64) -> bool {
        match &self.state {
            State::Committing(commit) => commit.entries.iter().any(|e| is_claim_of(e, nonce)),
            State::Closed { .. }
            | State::Reading
            | State::Sealing(_)
            | State::Loading(_)
            | State::Open => false,
        }
    }

    pub(super) fn record_outcome(
        &mut self,
        key: ClaimKey,
        nonce: u64,
        outcome: ClaimOutcome,
        now: Moment,
    ) {
        let entry = JournalEntry::End { key, nonce, outcome };
        self.index.apply(0, &entry);
        self.queue.push_back(entry);
        self.schedule.outcome_queued(now);
    }

    pub(super) fn park(&mut self, request: ClaimRequest, now: Moment) {
        if let Some(after) = self.schedule.remaining_backoff(now) {
            return self.reply(request.nonce, ClaimDecision::Unavailable(after));
        }
        if self.parked.len() >= MAX_WAITING {
            return self.reply(request.nonce, ClaimDecision::Unavailable(CLAIM_TIMEOUT));
        }
        self.parked.push_back((request, now + CLAIM_TIMEOUT));
    }

    fn expire_requests(&mut self, now: Moment) {
        let late: Vec<u64> =
            self.waiters.iter().filter(|w| w.until <= now).map(|w| w.nonce).collect();
        self.waiters.retain(|w| w.until > now);
        self.queue.retain(|e| !late.iter().any(|nonce| is_claim_of(e, *nonce)));
        let parked: Vec<u64> =
            self.parked.iter().filter(|(_, u)| *u <= now).map(|(a, _)| a.nonce).collect();
        self.parked.retain(|(_, until)| *until > now);
        for nonce in late.into_iter().chain(parked) {
            self.reply(nonce, ClaimDecision::Unavailable(CLAIM_TIMEOUT));
        }
    }

    pub(super) fn reply(&mut self, nonce: u64, decision: ClaimDecision) {
        self.actions.push(JournalAction::Reply { nonce, decision });
    }

    pub(super) fn unix_seconds(&self, now: Moment) -> u64 {
        self.unix_base + now.as_secs()
    }
}

pub(super) fn is_claim_of(entry: &JournalEntry, nonce: u64) -> bool {
    match entry {
        JournalEntry::Claim { request, .. } => request.nonce == nonce,
        JournalEntry::End { .. } => false,
    }
}
