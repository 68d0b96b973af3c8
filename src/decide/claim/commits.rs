//! Commits of a [`ClaimJournal`] and the results of their swaps: applied, not applied, or
//! not known yet.

use rand::RngCore;

use super::journal::{Commit, PartitionState};
use super::{
    ClaimDecision, ClaimIndex, ClaimJournal, ClaimOutcome, ClaimRequest, JournalAction,
    JournalEntry, MAX_SEGMENT_ENTRIES, SwapResult,
};
use crate::{Moment, Name};

/// How long a node that lost a partition redirects requests to the new owner.
const REDIRECT_DURATION: Moment = Moment::from_secs(2);

impl ClaimJournal {
    /// Handles the result of the swap in progress.
    pub fn swap_completed(&mut self, result: SwapResult, now: Moment) {
        let state = std::mem::replace(&mut self.state, PartitionState::Open);
        let (mut commit, sealing) = match state {
            PartitionState::Sealing(commit) => (commit, true),
            PartitionState::Committing(commit) => (commit, false),
            other => {
                self.state = other;
                return;
            }
        };
        match result {
            SwapResult::Done(revision) => self.commit_applied(commit, revision, sealing, now),
            SwapResult::Conflict(Some((head, revision))) if head.nonce == commit.head.nonce => {
                self.commit_applied(commit, revision, sealing, now);
            }
            // A failed compare against a revision that is not newer comes from a lagging
            // replica of the platform's store and does not show whether the swap was applied.
            SwapResult::Conflict(Some((_, revision))) if revision <= commit.expected => {
                commit.may_be_applied = true;
                if sealing {
                    return self.close_after_failure(now);
                }
                self.retry_later(commit, sealing, now);
            }
            SwapResult::Conflict(found) => {
                self.ownership_lost(found.map(|(head, _)| head.owner), now);
            }
            SwapResult::Unsent if !commit.may_be_applied => {
                self.commit_abandoned(commit, sealing, now);
            }
            SwapResult::Unsent => self.retry_later(commit, sealing, now),
            SwapResult::Unknown if !commit.may_be_applied => {
                // A single lost reply is common: the swap is repeated at once to find out.
                commit.may_be_applied = true;
                self.send(&commit);
                self.keep_waiting(commit, sealing);
            }
            SwapResult::Unknown => self.retry_later(commit, sealing, now),
        }
    }

    /// Starts a commit of the queued entries, up to one segment's worth.
    pub(super) fn commit(&mut self, now: Moment) {
        let Some(mut head) = self.head.clone() else { return };
        if self.queue.is_empty() {
            return self.schedule.clear();
        }
        let count = self.queue.len().min(MAX_SEGMENT_ENTRIES);
        let entries: Vec<JournalEntry> = self.queue.drain(..count).collect();
        head.first = self.index.expire(head.first, head.next, self.unix_seconds(now));
        head.nonce = self.rng.next_u64();
        let segment = head.append(&entries);
        self.schedule.commit_started(now);
        if !self.queue.is_empty() {
            self.schedule.claim_queued(now);
        }
        let expected = self.revision;
        let commit =
            Commit { expected, head, segment, entries, may_be_applied: false, retry_at: None };
        self.send(&commit);
        self.state = PartitionState::Committing(commit);
    }

    fn commit_applied(&mut self, commit: Commit, revision: u64, sealing: bool, now: Moment) {
        self.schedule.succeeded();
        self.revision = revision;
        if sealing {
            let first = commit.head.first;
            self.index = ClaimIndex::default();
            self.head = Some(commit.head);
            self.state = PartitionState::Loading(first);
            return self.load(now);
        }
        let segment = commit.head.next;
        self.head = Some(commit.head);
        self.state = PartitionState::Open;
        for entry in &commit.entries {
            self.index.apply(segment, entry);
            if let JournalEntry::Claim { request, .. } = entry {
                self.grant_or_release(request, now);
            }
        }
    }

    /// Grants a committed claim, or releases its key if the request was refused meanwhile.
    fn grant_or_release(&mut self, request: &ClaimRequest, now: Moment) {
        let waiting = self.waiters.iter().position(|w| w.nonce == request.nonce);
        match waiting {
            Some(index) => {
                self.waiters.swap_remove(index);
                self.reply(request.nonce, ClaimDecision::Granted);
            }
            None => self.record_outcome(request.key, request.nonce, ClaimOutcome::NotRun, now),
        }
    }

    /// Gives up a commit that was certainly not applied: refuses its claims and queues its
    /// outcomes again.
    fn commit_abandoned(&mut self, commit: Commit, sealing: bool, now: Moment) {
        if sealing {
            return self.close_after_failure(now);
        }
        let after = self.schedule.failed(now, &mut self.rng) - now;
        for entry in commit.entries.into_iter().rev() {
            match entry {
                JournalEntry::Claim { .. } => {}
                JournalEntry::End { .. } => self.queue.push_front(entry),
            }
        }
        self.refuse_claims(after);
        if !self.queue.is_empty() {
            self.schedule.outcome_queued(now);
        }
        self.state = PartitionState::Open;
    }

    /// Schedules another try of a commit that may have been applied. It is repeated until
    /// its result is known.
    fn retry_later(&mut self, mut commit: Commit, sealing: bool, now: Moment) {
        let until = self.schedule.failed(now, &mut self.rng);
        commit.retry_at = Some(until);
        self.refuse_claims(until - now);
        self.keep_waiting(commit, sealing);
    }

    fn keep_waiting(&mut self, commit: Commit, sealing: bool) {
        self.state = if sealing {
            PartitionState::Sealing(commit)
        } else {
            PartitionState::Committing(commit)
        };
    }

    pub(super) fn send(&mut self, commit: &Commit) {
        let Commit { expected, head, segment, .. } = commit.clone();
        self.actions.push(JournalAction::Swap { expected, head, segment });
    }

    /// Closes the partition after another node sealed it.
    fn ownership_lost(&mut self, owner: Option<Name>, now: Moment) {
        let owner = owner.filter(|o| *o != self.node);
        let decision = match &owner {
            Some(owner) => ClaimDecision::Moved(owner.clone()),
            None => ClaimDecision::Unavailable(REDIRECT_DURATION),
        };
        self.reply_all(&decision);
        let until = if owner.is_some() { now + REDIRECT_DURATION } else { now };
        self.close(owner, until);
    }

    fn close(&mut self, owner: Option<Name>, until: Moment) {
        self.state = PartitionState::Closed { owner, until };
        self.index = ClaimIndex::default();
        self.head = None;
        self.queue.clear();
    }

    /// Closes the partition for the backoff time because the platform does not answer.
    pub(super) fn close_after_failure(&mut self, now: Moment) {
        let until = self.schedule.failed(now, &mut self.rng);
        self.refuse_claims(until - now);
        self.close(None, until);
    }

    /// Refuses every waiting request and drops the queued claims that are in no commit yet.
    fn refuse_claims(&mut self, after: Moment) {
        self.reply_all(&ClaimDecision::Unavailable(after));
        self.queue.retain(|e| matches!(e, JournalEntry::End { .. }));
    }

    fn reply_all(&mut self, decision: &ClaimDecision) {
        for waiter in std::mem::take(&mut self.waiters) {
            self.reply(waiter.nonce, decision.clone());
        }
        for (request, _) in std::mem::take(&mut self.parked) {
            self.reply(request.nonce, decision.clone());
        }
    }
}
