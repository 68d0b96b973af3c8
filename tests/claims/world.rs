//! A simulation of three nodes, each of them owner and requester of claims, and of the platform. A
//! map from key to outcome checks every decision.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use mulberrycourse::Name;
use mulberrycourse::decide::claim::{
    AttemptState, Attempts, ClaimDecision, ClaimJournal, ClaimKey, ClaimOutcome, ClaimRequest,
    JournalAction, PartitionHead, Resolution, RunnerStatus, Segment, SwapResult, resolve,
};
use mulberrycourse::error::Kind;

use crate::answer;

/// How a call to the platform ends.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Fate {
    /// It is executed and answered.
    Answered,
    /// It is executed, and the reply is lost.
    ReplyLost,
    /// It is not executed, and the sender learns that.
    Unsent,
    /// It is lost on the way, and never executed.
    RequestLost,
    /// The sender gives up. The call may be executed later.
    Delayed,
    /// It is executed, but what it reads comes from a replica that lags by this many writes.
    Stale(usize),
}

/// What a caller gets for its call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum CallResult {
    /// The claim was granted, and the call runs.
    Granted,
    /// The answer of an earlier call that had this body.
    Answer(u8),
    /// Refused: the key was used with another body.
    KeyReused,
    /// Refused: the outcome of the earlier call is unknown.
    Unknown,
    /// Refused: the earlier call ran, and its answer is no longer cached.
    AlreadyRan,
    /// Refused: the earlier call still runs.
    InProgress,
    /// Refused: no decision was made.
    Unavailable,
}

/// A call of a caller, with the node that requests its claim and the node that it considers the
/// owner.
#[derive(Debug, Clone)]
struct Call {
    node: usize,
    owner: usize,
    key: u8,
    body: u8,
    nonce: u64,
    /// How many times the claim was requested.
    attempts: u32,
}

/// A node: the journal by which it owns keys, and the calls that it runs.
#[derive(Debug)]
struct Node {
    journal: ClaimJournal,
    attempts: Attempts,
    paused: bool,
}

/// The model that decisions are compared with: the body and the outcome of each key. There is no
/// outcome while the call may run.
type Model = BTreeMap<u8, (u8, Option<ClaimOutcome>)>;

/// The simulated nodes and platform, on virtual time.
#[derive(Debug)]
pub(crate) struct World {
    now: Duration,
    nodes: Vec<Node>,
    /// The calls to the platform in progress, with the node that sent each.
    platform_calls: Vec<(usize, JournalAction)>,
    /// Calls to the platform whose sender gave up, and that may still be executed.
    delayed: Vec<JournalAction>,
    /// Every head so far, with its revision.
    heads: Vec<(PartitionHead, u64)>,
    segments: HashMap<u64, Segment>,
    /// The calls that wait for a decision.
    waiting: Vec<Call>,
    /// The calls that were granted and have not ended.
    running: Vec<Call>,
    model: Model,
    /// The key and the body of every call so far.
    submitted: Vec<(u8, u8)>,
    /// The key and the result of every call that has one.
    results: Vec<(u8, CallResult)>,
    last_nonce: u64,
    /// The decisions that contradict the model.
    pub(crate) violations: Vec<String>,
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
            platform_calls: vec![],
            delayed: vec![],
            heads: vec![],
            segments: HashMap::new(),
            waiting: vec![],
            running: vec![],
            model: BTreeMap::new(),
            submitted: vec![],
            results: vec![],
            last_nonce: 0,
            violations: vec![],
        }
    }

    /// Returns the result of the latest call with a key.
    pub(crate) fn result(&self, key: u8) -> Option<CallResult> {
        self.results.iter().rev().find(|(k, _)| *k == key).map(|(_, result)| result.clone())
    }

    /// A caller sends a call to `node`, which considers `owner` the owner of the key.
    pub(crate) fn call(&mut self, node: usize, owner: usize, key: u8, body: u8) {
        if self.nodes[node].paused {
            return;
        }
        self.submitted.push((key, body));
        self.request_claim(Call { node, owner, key, body, nonce: 0, attempts: 0 });
        self.run();
    }

    /// Lets this many milliseconds pass.
    pub(crate) fn advance(&mut self, ms: u64) {
        self.now += Duration::from_millis(ms);
        self.run();
    }

    /// Pauses a node, or resumes it.
    pub(crate) fn toggle_pause(&mut self, node: usize) {
        self.nodes[node].paused = !self.nodes[node].paused;
        self.run();
    }

    /// Restarts a node with empty memory. Its calls are lost.
    pub(crate) fn restart(&mut self, node: usize) {
        self.last_nonce += 1;
        let journal = ClaimJournal::new(name(node), 1_000_000, 1_000 + self.last_nonce);
        self.nodes[node] = Node { journal, attempts: Attempts::default(), paused: false };
        self.waiting.retain(|c| c.node != node);
        self.running.retain(|c| c.node != node);
        // Platform calls of the old process may still be executed, and their replies are dropped.
        let (orphaned, rest) =
            std::mem::take(&mut self.platform_calls).into_iter().partition(|(n, _)| *n == node);
        self.platform_calls = rest;
        let orphaned: Vec<(usize, JournalAction)> = orphaned;
        self.delayed.extend(orphaned.into_iter().map(|(_, action)| action));
    }

    /// A requester gives up waiting for a decision.
    pub(crate) fn give_up(&mut self, which: usize) {
        if self.waiting.is_empty() {
            return;
        }
        let call = self.waiting.remove(which % self.waiting.len());
        self.nodes[call.node].attempts.not_run(call.nonce, self.now);
        self.record_result(&call, CallResult::Unavailable);
    }

    /// Ends a granted call. `end` is 0 if it ran, 1 if it did not run and 2 if that is unknown.
    pub(crate) fn finish(&mut self, which: usize, end: u8) {
        if self.running.is_empty() {
            return;
        }
        let call = self.running.remove(which % self.running.len());
        let end =
            [ClaimOutcome::Ran, ClaimOutcome::NotRun, ClaimOutcome::Unknown][usize::from(end)];
        self.model.insert(call.key, (call.body, Some(end)));
        let attempts = &mut self.nodes[call.node].attempts;
        match end {
            ClaimOutcome::Ran => {
                let AttemptState::Ran(Some(cached)) = answer(call.body) else { unreachable!() };
                attempts.ran(call.nonce, cached, self.now);
            }
            ClaimOutcome::NotRun => attempts.not_run(call.nonce, self.now),
            ClaimOutcome::Unknown => attempts.unknown(call.nonce, self.now),
        }
        let owner = &mut self.nodes[call.owner];
        if !owner.paused {
            owner.journal.call_ended(claim_key(call.key), call.nonce, end, self.now);
        }
        self.run();
    }

    /// Ends a call to the platform of a node that is not paused.
    pub(crate) fn end_platform_call(&mut self, which: usize, fate: Fate) {
        let ready: Vec<usize> = (0..self.platform_calls.len())
            .filter(|i| !self.nodes[self.platform_calls[*i].0].paused)
            .collect();
        if ready.is_empty() {
            return;
        }
        let (node, action) = self.platform_calls.remove(ready[which % ready.len()]);
        match action {
            JournalAction::Swap { .. } => {
                let result = self.swap(action, fate);
                self.nodes[node].journal.swap_completed(result, self.now);
            }
            JournalAction::ReadHead => {
                let lag = match fate {
                    Fate::Answered => Some(0),
                    Fate::Stale(lag) => Some(lag),
                    Fate::ReplyLost | Fate::Unsent | Fate::RequestLost | Fate::Delayed => None,
                };
                let read = lag.map(|lag| self.head(lag)).ok_or(());
                self.nodes[node].journal.head_read(read, self.now);
            }
            JournalAction::ReadSegments(range) => {
                let read = match fate {
                    Fate::Answered => {
                        Ok(range.filter_map(|n| self.segments.get(&n).cloned()).collect())
                    }
                    // The last segment is missing.
                    Fate::Stale(_) => {
                        let range = range.start..range.end - 1;
                        Ok(range.filter_map(|n| self.segments.get(&n).cloned()).collect())
                    }
                    Fate::ReplyLost | Fate::Unsent | Fate::RequestLost | Fate::Delayed => Err(()),
                };
                self.nodes[node].journal.segments_read(read, self.now);
            }
            JournalAction::Reply { .. } => unreachable!("replies are handled immediately"),
        }
        self.run();
    }

    /// Executes a call to the platform whose sender gave up.
    pub(crate) fn execute_delayed(&mut self, which: usize) {
        if !self.delayed.is_empty() {
            let action = self.delayed.remove(which % self.delayed.len());
            self.apply(&action);
        }
    }

    /// Ends all faults: resumes the nodes and completes everything, over more than 24 seconds.
    pub(crate) fn recover(&mut self) {
        self.nodes.iter_mut().for_each(|n| n.paused = false);
        for _ in 0..4 {
            self.settle();
            self.advance(6_000);
        }
        self.settle();
    }

    /// Completes everything without faults. Granted calls end as unknown.
    pub(crate) fn settle(&mut self) {
        self.settle_except_granted();
        while !self.running.is_empty() {
            self.finish(0, 2);
        }
        self.settle_except_granted();
    }

    /// Completes everything but granted calls, without faults.
    pub(crate) fn settle_except_granted(&mut self) {
        for _ in 0..60 {
            while !self.platform_calls.is_empty() {
                self.end_platform_call(0, Fate::Answered);
            }
            self.advance(50);
        }
    }

    fn swap(&mut self, action: JournalAction, fate: Fate) -> SwapResult {
        match fate {
            Fate::Answered => match self.apply(&action) {
                Some(revision) => SwapResult::Done(revision),
                None => SwapResult::Conflict(self.head(0)),
            },
            Fate::Stale(lag) => match self.apply(&action) {
                Some(revision) => SwapResult::Done(revision),
                None => SwapResult::Conflict(self.head(lag)),
            },
            Fate::ReplyLost => {
                self.apply(&action);
                SwapResult::Unknown
            }
            Fate::Unsent => SwapResult::Unsent,
            Fate::RequestLost => SwapResult::Unknown,
            Fate::Delayed => {
                self.delayed.push(action);
                SwapResult::Unknown
            }
        }
    }

    /// Executes a swap at the platform. Returns the new revision if the expected one was current.
    fn apply(&mut self, action: &JournalAction) -> Option<u64> {
        let JournalAction::Swap { expected, head, segment } = action else { return None };
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

    /// Returns the head before the latest `lag` writes.
    fn head(&self, lag: usize) -> Option<(PartitionHead, u64)> {
        self.heads.iter().rev().nth(lag).cloned()
    }

    /// Requests the claim of a call from its owner.
    fn request_claim(&mut self, mut call: Call) {
        self.last_nonce += 1;
        call.nonce = self.last_nonce;
        call.attempts += 1;
        let (node, owner) = (call.node, call.owner);
        self.nodes[node].attempts.claim_requested(call.nonce);
        let request = ClaimRequest {
            key: claim_key(call.key),
            fingerprint: call.body.into(),
            nonce: call.nonce,
            runner: name(node),
        };
        self.waiting.push(call);
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
                for action in node.journal.take_actions() {
                    match action {
                        JournalAction::Reply { nonce, decision } => replies.push((nonce, decision)),
                        JournalAction::ReadHead
                        | JournalAction::ReadSegments(_)
                        | JournalAction::Swap { .. } => {
                            self.platform_calls.push((index, action));
                        }
                    }
                }
            }
            if replies.is_empty() {
                return;
            }
            for (nonce, decision) in replies {
                self.handle_decision(nonce, decision);
            }
        }
    }

    /// Handles the decision about a claim.
    fn handle_decision(&mut self, nonce: u64, decision: ClaimDecision) {
        let Some(index) = self.waiting.iter().position(|c| c.nonce == nonce) else { return };
        let call = self.waiting.remove(index);
        let runner = &mut self.nodes[call.node].attempts;
        if decision == ClaimDecision::Granted {
            assert!(runner.claim_granted(nonce));
            self.grant(call);
            return;
        }
        runner.not_run(nonce, self.now);
        match decision {
            ClaimDecision::Granted => {}
            ClaimDecision::KeyReused => {
                if self.submitted.iter().all(|(k, b)| *k != call.key || *b == call.body) {
                    self.violations.push(format!("{call:?}: reported a reuse that did not happen"));
                }
                self.record_result(&call, CallResult::KeyReused);
            }
            ClaimDecision::Unavailable(_) => self.record_result(&call, CallResult::Unavailable),
            ClaimDecision::Moved(_) | ClaimDecision::Held(_) if call.attempts > 4 => {
                self.record_result(&call, CallResult::Unavailable);
            }
            ClaimDecision::Moved(to) => {
                let owner = (0..3).find(|n| name(*n) == to).unwrap();
                self.request_claim(Call { owner, ..call });
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
                    Resolution::Answer(cached) => self.answered(&call, cached.body[0]),
                    Resolution::Refuse(refusal) => self.refused(&call, refusal.kind),
                    Resolution::Release => {
                        let owner = &mut self.nodes[call.owner];
                        if !owner.paused {
                            let key = claim_key(call.key);
                            owner.journal.call_ended(
                                key,
                                holder.nonce,
                                ClaimOutcome::NotRun,
                                self.now,
                            );
                        }
                        self.request_claim(call);
                    }
                }
            }
        }
    }

    /// Starts a granted call, and checks that no earlier one may have run.
    fn grant(&mut self, call: Call) {
        match self.model.get(&call.key) {
            None | Some((_, Some(ClaimOutcome::NotRun))) => {}
            Some(earlier) => {
                self.violations.push(format!("{call:?} granted after {earlier:?}"));
            }
        }
        self.model.insert(call.key, (call.body, None));
        self.record_result(&call, CallResult::Granted);
        self.running.push(call);
    }

    /// Records an answer, and checks that an earlier call with the same body ran.
    fn answered(&mut self, call: &Call, body: u8) {
        if self.model.get(&call.key) != Some(&(call.body, Some(ClaimOutcome::Ran))) {
            self.violations.push(format!("{call:?} got an answer that was not given"));
        }
        self.record_result(call, CallResult::Answer(body));
    }

    /// Records a refusal, and checks that a call ran that is reported as run.
    fn refused(&mut self, call: &Call, kind: Kind) {
        let result = match kind {
            Kind::OutcomeUnknown => CallResult::Unknown,
            Kind::InProgress => CallResult::InProgress,
            Kind::AlreadyRan => {
                let ran = matches!(self.model.get(&call.key), Some((_, Some(ClaimOutcome::Ran))));
                if !ran {
                    self.violations.push(format!("{call:?} reported as already run"));
                }
                CallResult::AlreadyRan
            }
            other => panic!("unexpected refusal: {other}"),
        };
        self.record_result(call, result);
    }

    fn record_result(&mut self, call: &Call, result: CallResult) {
        self.results.push((call.key, result));
    }
}
