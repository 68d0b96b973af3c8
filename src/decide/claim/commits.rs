//! The end of each swap of a [`Journal`]: took effect, did not, or not known yet.

use rand::RngCore;

use super::journal::{Commit, State};
use super::{Ask, End, Entry, Index, Journal, SEGMENT, Step, Swapped, Verdict};
use crate::{Moment, Name};

/// How long a node that lost a partition sends askers to the winner.
const YIELD: Moment = Moment::from_secs(2);

impl Journal {
    /// A swap ended.
    pub fn swapped(&mut self, ended: Swapped, now: Moment) {
        let state = std::mem::replace(&mut self.state, State::Open);
        let (mut commit, sealing) = match state {
            State::Sealing(commit) => (commit, true),
            State::Committing(commit) => (commit, false),
            other => {
                self.state = other;
                return;
            }
        };
        match ended {
            Swapped::Done(revision) => self.took_effect(commit, revision, sealing, now),
            Swapped::Conflict(Some((head, revision))) if head.nonce == commit.head.nonce => {
                self.took_effect(commit, revision, sealing, now);
            }
            // A compare that failed over a revision that is not newer: a replica that
            // is behind answered, which says nothing.
            Swapped::Conflict(Some((_, revision))) if revision <= commit.expected => {
                commit.unsure = true;
                if sealing {
                    return self.shut(now);
                }
                self.try_later(commit, sealing, now);
            }
            Swapped::Conflict(found) => self.lost(found.map(|(head, _)| head.owner), now),
            Swapped::Unsent if !commit.unsure => self.dropped(commit, sealing, now),
            Swapped::Unsent => self.try_later(commit, sealing, now),
            Swapped::Unknown if !commit.unsure => {
                // One lost reply is common: find out at once.
                commit.unsure = true;
                self.send(&commit);
                self.resume(commit, sealing);
            }
            Swapped::Unknown => self.try_later(commit, sealing, now),
        }
    }

    pub(super) fn commit(&mut self, now: Moment) {
        let Some(mut head) = self.head.clone() else { return };
        if self.queue.is_empty() {
            return self.pace.idle();
        }
        let count = self.queue.len().min(SEGMENT);
        let entries: Vec<Entry> = self.queue.drain(..count).collect();
        head.first = self.index.expire(head.first, head.next, self.wall(now));
        head.nonce = self.rng.next_u64();
        let full = head.append(&entries);
        self.pace.started(now);
        if !self.queue.is_empty() {
            self.pace.claim(now);
        }
        let expected = self.revision;
        let commit = Commit { expected, head, full, entries, unsure: false, again: None };
        self.send(&commit);
        self.state = State::Committing(commit);
    }

    fn took_effect(&mut self, commit: Commit, revision: u64, sealing: bool, now: Moment) {
        self.pace.succeeded();
        self.revision = revision;
        if sealing {
            let first = commit.head.first;
            self.index = Index::default();
            self.head = Some(commit.head);
            self.state = State::Loading(first);
            return self.load(now);
        }
        let segment = commit.head.next;
        self.head = Some(commit.head);
        self.state = State::Open;
        for entry in &commit.entries {
            self.index.apply(segment, entry);
            if let Entry::Claim { ask, .. } = entry {
                self.settle(ask, now);
            }
        }
    }

    /// Grants a committed claim, or frees it if its asker was told off meanwhile.
    fn settle(&mut self, ask: &Ask, now: Moment) {
        let waits = self.waiters.iter().position(|w| w.nonce == ask.nonce);
        match waits {
            Some(index) => {
                self.waiters.swap_remove(index);
                self.reply(ask.nonce, Verdict::Granted);
            }
            None => self.record_end(ask.key, ask.nonce, End::NotRun, now),
        }
    }

    /// The commit certainly did not take effect and is given up.
    fn dropped(&mut self, commit: Commit, sealing: bool, now: Moment) {
        if sealing {
            return self.shut(now);
        }
        let after = self.pace.failed(now, &mut self.rng) - now;
        for entry in commit.entries.into_iter().rev() {
            match entry {
                Entry::Claim { .. } => {}
                Entry::End { .. } => self.queue.push_front(entry),
            }
        }
        self.refuse_claims(after);
        if !self.queue.is_empty() {
            self.pace.end(now);
        }
        self.state = State::Open;
    }

    /// Whether the commit took effect is open: it is tried again until that is known.
    fn try_later(&mut self, mut commit: Commit, sealing: bool, now: Moment) {
        let until = self.pace.failed(now, &mut self.rng);
        commit.again = Some(until);
        self.refuse_claims(until - now);
        self.resume(commit, sealing);
    }

    fn resume(&mut self, commit: Commit, sealing: bool) {
        self.state = if sealing { State::Sealing(commit) } else { State::Committing(commit) };
    }

    pub(super) fn send(&mut self, commit: &Commit) {
        let Commit { expected, head, full, .. } = commit.clone();
        self.steps.push(Step::Swap { expected, head, full });
    }

    /// Another node sealed the partition.
    fn lost(&mut self, owner: Option<Name>, now: Moment) {
        let owner = owner.filter(|o| *o != self.me);
        let verdict = match &owner {
            Some(owner) => Verdict::Moved(owner.clone()),
            None => Verdict::Unavailable(YIELD),
        };
        self.reply_all(&verdict);
        let until = if owner.is_some() { now + YIELD } else { now };
        self.close(owner, until);
    }

    fn close(&mut self, owner: Option<Name>, until: Moment) {
        self.state = State::Closed { owner, until };
        self.index = Index::default();
        self.head = None;
        self.queue.clear();
    }

    /// The platform does not answer: not the home, for a while.
    pub(super) fn shut(&mut self, now: Moment) {
        let until = self.pace.failed(now, &mut self.rng);
        self.refuse_claims(until - now);
        self.close(None, until);
    }

    /// Refuses every ask that waits; claims in no commit yet are forgotten.
    fn refuse_claims(&mut self, after: Moment) {
        self.reply_all(&Verdict::Unavailable(after));
        self.queue.retain(|e| matches!(e, Entry::End { .. }));
    }

    fn reply_all(&mut self, verdict: &Verdict) {
        for waiter in std::mem::take(&mut self.waiters) {
            self.reply(waiter.nonce, verdict.clone());
        }
        for (ask, _) in std::mem::take(&mut self.parked) {
            self.reply(ask.nonce, verdict.clone());
        }
    }
}
