//! The attempts of this node: the state of each claim that it requested.
//!
//! Load pattern: callers retry within seconds to minutes, at any node. The node that ran
//! the call keeps the answer, within a memory bound; without it every retry would be
//! refused with "already ran" and the answer would be lost.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Moment;

/// How long an ended attempt is remembered: client programs retry within minutes.
const ENDED_ATTEMPT_RETENTION: Duration = Duration::from_secs(600);
/// Bound on the ended attempts that are remembered.
const MAX_ENDED_ATTEMPTS: usize = 16_384;
/// Bound on the bodies of all cached answers together: a quarter of a node's memory for
/// control data.
const MAX_CACHED_BYTES: usize = 8 << 20;
/// Size of the largest answer body that is cached.
const MAX_ANSWER_BYTES: usize = 256 << 10;

/// An answer that is kept for retries of the same call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CachedAnswer {
    /// The HTTP status.
    pub status: u16,
    /// The `Content-Type` header, if there was one.
    pub content_type: Option<String>,
    /// The body.
    pub body: Vec<u8>,
}

/// The state of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum AttemptState {
    /// The claim is requested; nothing was sent to an upstream.
    Pending,
    /// The claim is granted.
    Running,
    /// The attempt certainly did not run, and never will.
    NotRun,
    /// The attempt ran. Holds the answer, if it is still cached.
    Ran(Option<CachedAnswer>),
    /// The attempt may or may not have run.
    Unknown,
}

/// The attempts of one node, by nonce.
#[derive(Debug, Clone, Default)]
pub struct Attempts {
    states: HashMap<u64, AttemptState>,
    /// Ended attempts with the time of their end, oldest first.
    ended: VecDeque<(Moment, u64)>,
    /// Nonces and body sizes of the cached answers, oldest first.
    answers: VecDeque<(u64, usize)>,
    /// Bytes of all cached answer bodies.
    bytes: usize,
}

impl Attempts {
    /// Adds an attempt that requests its claim.
    pub fn claim_requested(&mut self, nonce: u64) {
        self.states.insert(nonce, AttemptState::Pending);
    }

    /// Marks a pending attempt as running. Returns false if the attempt was given up before.
    pub fn claim_granted(&mut self, nonce: u64) -> bool {
        match self.states.get_mut(&nonce) {
            Some(state @ AttemptState::Pending) => {
                *state = AttemptState::Running;
                true
            }
            Some(
                AttemptState::Running
                | AttemptState::NotRun
                | AttemptState::Ran(_)
                | AttemptState::Unknown,
            )
            | None => false,
        }
    }

    /// Records that the attempt certainly did not run.
    pub fn not_run(&mut self, nonce: u64, now: Moment) {
        self.end(nonce, AttemptState::NotRun, now);
    }

    /// Records that the attempt may or may not have run.
    pub fn unknown(&mut self, nonce: u64, now: Moment) {
        self.end(nonce, AttemptState::Unknown, now);
    }

    /// Records that the attempt ran, and caches its answer unless it is too large.
    pub fn ran(&mut self, nonce: u64, answer: CachedAnswer, now: Moment) {
        let size = answer.body.len();
        if size > MAX_ANSWER_BYTES {
            self.end(nonce, AttemptState::Ran(None), now);
            return;
        }
        self.bytes += size;
        self.answers.push_back((nonce, size));
        self.end(nonce, AttemptState::Ran(Some(answer)), now);
    }

    /// The state of an attempt; `None` if it is forgotten or was never at this node.
    pub fn get(&self, nonce: u64) -> Option<&AttemptState> {
        self.states.get(&nonce)
    }

    /// Bytes of the bodies of all cached answers.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Number of attempts that are remembered.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether no attempt is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    fn end(&mut self, nonce: u64, state: AttemptState, now: Moment) {
        self.states.insert(nonce, state);
        self.ended.push_back((now, nonce));
        self.evict(now);
    }

    /// Drops the oldest answers over the memory bound, and expired attempts.
    fn evict(&mut self, now: Moment) {
        while self.bytes > MAX_CACHED_BYTES {
            let Some((nonce, size)) = self.answers.pop_front() else { break };
            self.bytes -= size;
            if let Some(AttemptState::Ran(answer)) = self.states.get_mut(&nonce) {
                *answer = None;
            }
        }
        while let Some((at, nonce)) = self.ended.front().copied() {
            if self.ended.len() <= MAX_ENDED_ATTEMPTS
                && now.saturating_sub(at) < ENDED_ATTEMPT_RETENTION
            {
                return;
            }
            self.ended.pop_front();
            self.states.remove(&nonce);
            if self.answers.front().is_some_and(|(n, _)| *n == nonce)
                && let Some((_, size)) = self.answers.pop_front()
            {
                self.bytes -= size;
            }
        }
    }
}
