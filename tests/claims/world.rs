//! A simulation of nodes, requesters and a platform, with a naive map that checks them.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::decide::claim::{
    AttemptState, Attempts, ClaimDecision, ClaimJournal, ClaimKey, ClaimOutcome, ClaimRequest,
    JournalAction, PartitionHead, Resolution, RunnerStatus, Segment, SwapResult, resolve,
};
use mulberrycourse::error::Kind;

use crate::answer;

/// What happens to a call to the platform.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Fate {
    /// It is executed and answered.
    Good,
    /// It is executed, and the reply is lost.
    Lost,
    /// It is refused.
    Unsent,
    /// It is lost on the way.
    Vanished,
    /// The sender gives up; the call may arrive later.
    Delayed,
    /// The answer comes from a replica that lags by this many writes.
    Lagging(usize),
}

/// The final result of a caller's call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CallResult {
    Ran,
    Answer(u8),
    Reused,
    Unknown,
    AlreadyRan,
    InProgress,
    Unavailable,
}

#[derive(Debug, Clone)]
struct Session {
    node: usize,
    owner: usize,
    key: u8,
    body: u8,
    nonce: u64,
    hops: u32,
}

#[derive(Debug)]
struct Node {
    journal: ClaimJournal,
    attempts: Attempts,
    paused: bool,
}

/// The naive model: a map from key to body and outcome; no outcome while the call may run.
type Naive = BTreeMap<u8, (u8, Option<ClaimOutcome>)>;

#[derive(Debug)]
pub(crate) struct World {
    now: Duration,
    nodes: Vec<Node>,
    calls: Vec<(usize, JournalAction)>,
    late: Vec<JournalAction>,
    /// Every head so far, with its revision.
    heads: Vec<(PartitionHead, u64)>,
    segments: HashMap<u64, Segment>,
    sessions: Vec<Session>,
    running: Vec<Session>,
    naive: Naive,
    asked: Vec<(u8, u8)>,
    results: Vec<(u8, CallResult)>,
    next: u64,
    pub(crate) wrong: Vec<String>,
}

fn name(index: usize) -> Name {
    format!("n{index}").into()
}

fn claim_key(key: u8) -> ClaimKey {
    ClaimKey::new("sync", "shop", &key.to_string())
}

impl World {
    pub(crate) fn new() -> Self {
        let node = |index| Node {
            journal: ClaimJournal::new(name(index), 1_000_000, index as u64),
            attempts: Attempts::default(),
            paused: false,
        };
        Self {
            now: Duration::ZERO,
            nodes: (0..3).map(node).collect(),
            calls: vec![],
            late: vec![],
            heads: vec![],
            segments: HashMap::new(),
            sessions: vec![],
            running: vec![],
            naive: BTreeMap::new(),
            asked: vec![],
            results: vec![],
            next: 0,
            wrong: vec![],
        }
    }

    /// The result of the last call under a key.
    pub(crate) fn result(&self, key: u8) -> Option<CallResult> {
        self.results.iter().rev().find(|(k, _)| *k == key).map(|(_, result)| result.clone())
    }

    pub(crate) fn call(&mut self, node: usize, owner: usize, key: u8, body: u8) {
        if self.nodes[node].paused {
            return;
        }
        self.asked.push((key, body));
        self.send(Session { node, owner, key, body, nonce: 0, hops: 0 });
        self.run();
    }

    pub(crate) fn pass(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.run();
    }

    pub(crate) fn pause(&mut self, node: usize) {
        self.nodes[node].paused = !self.nodes[node].paused;
        self.run();
    }

    pub(crate) fn restart(&mut self, node: usize) {
        self.next += 1;
        let journal = ClaimJournal::new(name(node), 1_000_000, 1_000 + self.next);
        self.nodes[node] = Node { journal, attempts: Attempts::default(), paused: false };
        self.sessions.retain(|s| s.node != node);
        self.running.retain(|s| s.node != node);
        // Calls of the old process may still arrive, and their replies are dropped.
        let (gone, rest) =
            std::mem::take(&mut self.calls).into_iter().partition(|(n, _)| *n == node);
        self.calls = rest;
        let gone: Vec<(usize, JournalAction)> = gone;
        self.late.extend(gone.into_iter().map(|(_, step)| step));
    }

    pub(crate) fn give_up(&mut self, which: usize) {
        if self.sessions.is_empty() {
            return;
        }
        let session = self.sessions.remove(which % self.sessions.len());
        self.nodes[session.node].attempts.not_run(session.nonce, self.now);
        self.record_result(&session, CallResult::Unavailable);
    }

    /// Ends a granted call: 0 ran, 1 did not run, else unknown.
    pub(crate) fn finish(&mut self, which: usize, end: u8) {
        if self.running.is_empty() {
            return;
        }
        let session = self.running.remove(which % self.running.len());
        let end =
            [ClaimOutcome::Ran, ClaimOutcome::NotRun, ClaimOutcome::Unknown][usize::from(end)];
        self.naive.insert(session.key, (session.body, Some(end)));
        let attempts = &mut self.nodes[session.node].attempts;
        match end {
            ClaimOutcome::Ran => {
                let AttemptState::Ran(Some(kept)) = answer(session.body) else { unreachable!() };
                attempts.ran(session.nonce, kept, self.now);
            }
            ClaimOutcome::NotRun => attempts.not_run(session.nonce, self.now),
            ClaimOutcome::Unknown => attempts.unknown(session.nonce, self.now),
        }
        let owner = &mut self.nodes[session.owner];
        if !owner.paused {
            owner.journal.call_ended(claim_key(session.key), session.nonce, end, self.now);
        }
        self.run();
    }

    pub(crate) fn platform(&mut self, which: usize, fate: Fate) {
        let ready: Vec<usize> =
            (0..self.calls.len()).filter(|i| !self.nodes[self.calls[*i].0].paused).collect();
        if ready.is_empty() {
            return;
        }
        let (node, step) = self.calls.remove(ready[which % ready.len()]);
        match step {
            JournalAction::Swap { .. } => {
                let ended = self.swap(step, fate);
                self.nodes[node].journal.swap_completed(ended, self.now);
            }
            JournalAction::ReadHead => {
                let back = match fate {
                    Fate::Good => Some(0),
                    Fate::Lagging(back) => Some(back),
                    Fate::Lost | Fate::Unsent | Fate::Vanished | Fate::Delayed => None,
                };
                let read = back.map(|back| self.head(back)).ok_or(());
                self.nodes[node].journal.head_read(read, self.now);
            }
            JournalAction::ReadSegments(range) => {
                let read = match fate {
                    Fate::Good => {
                        Ok(range.filter_map(|n| self.segments.get(&n).cloned()).collect())
                    }
                    // The last segment is missing.
                    Fate::Lagging(_) => {
                        let range = range.start..range.end - 1;
                        Ok(range.filter_map(|n| self.segments.get(&n).cloned()).collect())
                    }
                    Fate::Lost | Fate::Unsent | Fate::Vanished | Fate::Delayed => Err(()),
                };
                self.nodes[node].journal.segments_read(read, self.now);
            }
            JournalAction::Reply { .. } => unreachable!("replies are handled immediately"),
        }
        self.run();
    }

    pub(crate) fn late(&mut self, which: usize) {
        if !self.late.is_empty() {
            let step = self.late.remove(which % self.late.len());
            self.apply(&step);
        }
    }

    /// Ends all faults.
    pub(crate) fn heal(&mut self) {
        self.nodes.iter_mut().for_each(|n| n.paused = false);
        for _ in 0..4 {
            self.quiet();
            self.pass(6_000);
        }
        self.quiet();
    }

    /// Completes everything without faults. Granted calls end as unknown.
    pub(crate) fn quiet(&mut self) {
        self.quiet_but_calls();
        while !self.running.is_empty() {
            self.finish(0, 2);
        }
        self.quiet_but_calls();
    }

    /// Completes everything but granted calls, without faults.
    pub(crate) fn quiet_but_calls(&mut self) {
        for _ in 0..60 {
            while !self.calls.is_empty() {
                self.platform(0, Fate::Good);
            }
            self.pass(50);
        }
    }

    fn swap(&mut self, step: JournalAction, fate: Fate) -> SwapResult {
        match fate {
            Fate::Good => match self.apply(&step) {
                Some(revision) => SwapResult::Done(revision),
                None => SwapResult::Conflict(self.head(0)),
            },
            Fate::Lagging(back) => match self.apply(&step) {
                Some(revision) => SwapResult::Done(revision),
                None => SwapResult::Conflict(self.head(back)),
            },
            Fate::Lost => {
                self.apply(&step);
                SwapResult::Unknown
            }
            Fate::Unsent => SwapResult::Unsent,
            Fate::Vanished => SwapResult::Unknown,
            Fate::Delayed => {
                self.late.push(step);
                SwapResult::Unknown
            }
        }
    }

    /// The transaction at the platform: returns the revision if the compare succeeded.
    fn apply(&mut self, step: &JournalAction) -> Option<u64> {
        let JournalAction::Swap { expected, head, segment } = step else { return None };
        let current = self.heads.last().map_or(0, |(_, revision)| *revision);
        if current != *expected {
            return None;
        }
        if let Some(segment) = segment {
            self.segments.insert(segment.number, segment.clone());
        }
        self.heads.push((head.clone(), current + 1));
        Some(current + 1)
    }

    fn head(&self, back: usize) -> Option<(PartitionHead, u64)> {
        self.heads.iter().rev().nth(back).cloned()
    }

    fn send(&mut self, mut session: Session) {
        self.next += 1;
        session.nonce = self.next;
        session.hops += 1;
        let (node, owner) = (session.node, session.owner);
        self.nodes[node].attempts.claim_requested(session.nonce);
        let request = ClaimRequest {
            key: claim_key(session.key),
            fingerprint: session.body.into(),
            nonce: session.nonce,
            runner: name(node),
        };
        self.sessions.push(session);
        if !self.nodes[owner].paused {
            self.nodes[owner].journal.request(request, self.now);
        }
    }

    /// Ticks every node that is not paused, until there are no more decisions.
    fn run(&mut self) {
        loop {
            let mut replies = Vec::new();
            for (index, node) in self.nodes.iter_mut().enumerate().filter(|(_, n)| !n.paused) {
                node.journal.tick(self.now);
                for step in node.journal.take_actions() {
                    match step {
                        JournalAction::Reply { nonce, decision } => replies.push((nonce, decision)),
                        JournalAction::ReadHead
                        | JournalAction::ReadSegments(_)
                        | JournalAction::Swap { .. } => {
                            self.calls.push((index, step));
                        }
                    }
                }
            }
            if replies.is_empty() {
                return;
            }
            for (nonce, decision) in replies {
                self.decided(nonce, decision);
            }
        }
    }

    fn decided(&mut self, nonce: u64, decision: ClaimDecision) {
        let Some(index) = self.sessions.iter().position(|s| s.nonce == nonce) else { return };
        let session = self.sessions.remove(index);
        let runner = &mut self.nodes[session.node].attempts;
        if decision == ClaimDecision::Granted {
            assert!(runner.claim_granted(nonce));
            self.grant(session);
            return;
        }
        runner.not_run(nonce, self.now);
        match decision {
            ClaimDecision::Granted => {}
            ClaimDecision::KeyReused => {
                if self.asked.iter().all(|(k, b)| *k != session.key || *b == session.body) {
                    self.wrong.push(format!("{session:?}: reported a reuse that did not happen"));
                }
                self.record_result(&session, CallResult::Reused);
            }
            ClaimDecision::Unavailable(_) => self.record_result(&session, CallResult::Unavailable),
            ClaimDecision::Moved(_) | ClaimDecision::Held(_) if session.hops > 4 => {
                self.record_result(&session, CallResult::Unavailable);
            }
            ClaimDecision::Moved(to) => {
                let owner = (0..3).find(|n| name(*n) == to).unwrap();
                self.send(Session { owner, ..session });
            }
            ClaimDecision::Held(holder) => {
                let runner = (0..3).find(|n| name(*n) == holder.runner).unwrap();
                let node = &self.nodes[runner];
                let status = match node.attempts.get(holder.nonce) {
                    _ if node.paused => RunnerStatus::Unresponsive,
                    Some(attempt) => RunnerStatus::Known(attempt.clone()),
                    None => RunnerStatus::Forgotten,
                };
                match resolve(&holder, status) {
                    Resolution::Answer(kept) => self.answered(&session, kept.body[0]),
                    Resolution::Refuse(refusal) => self.refused(&session, refusal.kind),
                    Resolution::Release => {
                        let owner = &mut self.nodes[session.owner];
                        if !owner.paused {
                            let key = claim_key(session.key);
                            owner.journal.call_ended(
                                key,
                                holder.nonce,
                                ClaimOutcome::NotRun,
                                self.now,
                            );
                        }
                        self.send(session);
                    }
                }
            }
        }
    }

    fn grant(&mut self, session: Session) {
        match self.naive.get(&session.key) {
            None | Some((_, Some(ClaimOutcome::NotRun))) => {}
            Some(held) => self.wrong.push(format!("{session:?} granted over {held:?}")),
        }
        self.naive.insert(session.key, (session.body, None));
        self.record_result(&session, CallResult::Ran);
        self.running.push(session);
    }

    fn answered(&mut self, session: &Session, body: u8) {
        if self.naive.get(&session.key) != Some(&(session.body, Some(ClaimOutcome::Ran))) {
            self.wrong.push(format!("{session:?} got an answer that does not exist"));
        }
        self.record_result(session, CallResult::Answer(body));
    }

    fn refused(&mut self, session: &Session, kind: Kind) {
        let result = match kind {
            Kind::OutcomeUnknown => CallResult::Unknown,
            Kind::InProgress => CallResult::InProgress,
            Kind::AlreadyRan => {
                let ran =
                    matches!(self.naive.get(&session.key), Some((_, Some(ClaimOutcome::Ran))));
                if !ran {
                    self.wrong.push(format!("{session:?} reported as already run"));
                }
                CallResult::AlreadyRan
            }
            other => panic!("unexpected refusal: {other}"),
        };
        self.record_result(session, result);
    }

    fn record_result(&mut self, session: &Session, result: CallResult) {
        self.results.push((session.key, result));
    }
}
