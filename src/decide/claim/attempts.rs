//! The attempts of this node: what became of each claim that it asked for.
//!
//! Load pattern: callers ask again within seconds to minutes, at any node. The
//! node that ran the call keeps the answer, within a bound on memory; without it
//! every repeat would be told "already ran" and the answer would be lost.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::Moment;

/// How long an ended attempt is remembered: callers' programs retry within minutes.
const KEEP: Duration = Duration::from_secs(600);
/// Ended attempts that are remembered.
const COUNT: usize = 16_384;
/// Bytes of all kept answers together: a quarter of a node's memory for control.
const BYTES: usize = 8 << 20;
/// Bytes of the largest answer that is kept.
const LARGEST: usize = 256 << 10;

/// An answer that is kept for a repeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// Its HTTP status.
    pub status: u16,
    /// Its content type, if it had one.
    pub kind: Option<String>,
    /// Its body.
    pub body: Vec<u8>,
}

/// What became of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Attempt {
    /// The claim is asked for; nothing was sent to an upstream.
    Pending,
    /// The claim is granted.
    Running,
    /// It certainly did not run, and never will.
    NotRun,
    /// It ran; here is the answer, if it is kept.
    Ran(Option<Kept>),
    /// It may or may not have run.
    Unknown,
}

/// The attempts by nonce.
#[derive(Debug, Clone, Default)]
pub struct Attempts {
    known: HashMap<u64, Attempt>,
    ended: VecDeque<(Moment, u64)>,
    answers: VecDeque<(u64, usize)>,
    bytes: usize,
}

impl Attempts {
    /// An attempt starts to ask for its claim.
    pub fn begin(&mut self, nonce: u64) {
        self.known.insert(nonce, Attempt::Pending);
    }

    /// The claim is granted. False if the attempt was given up before.
    pub fn granted(&mut self, nonce: u64) -> bool {
        match self.known.get_mut(&nonce) {
            Some(attempt @ Attempt::Pending) => {
                *attempt = Attempt::Running;
                true
            }
            Some(Attempt::Running | Attempt::NotRun | Attempt::Ran(_) | Attempt::Unknown)
            | None => false,
        }
    }

    /// The attempt certainly did not run.
    pub fn not_run(&mut self, nonce: u64, now: Moment) {
        self.end(nonce, Attempt::NotRun, now);
    }

    /// The attempt may or may not have run.
    pub fn unknown(&mut self, nonce: u64, now: Moment) {
        self.end(nonce, Attempt::Unknown, now);
    }

    /// The attempt ran.
    pub fn ran(&mut self, nonce: u64, answer: Kept, now: Moment) {
        let size = answer.body.len();
        if size > LARGEST {
            self.end(nonce, Attempt::Ran(None), now);
            return;
        }
        self.bytes += size;
        self.answers.push_back((nonce, size));
        self.end(nonce, Attempt::Ran(Some(answer)), now);
    }

    /// What is known of an attempt; `None` if it is forgotten or was never here.
    pub fn get(&self, nonce: u64) -> Option<&Attempt> {
        self.known.get(&nonce)
    }

    /// Bytes of the answers that are kept.
    pub fn bytes(&self) -> usize {
        self.bytes
    }

    /// Attempts that are remembered.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Whether none is remembered.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    fn end(&mut self, nonce: u64, attempt: Attempt, now: Moment) {
        self.known.insert(nonce, attempt);
        self.ended.push_back((now, nonce));
        self.forget(now);
    }

    fn forget(&mut self, now: Moment) {
        while self.bytes > BYTES {
            let Some((nonce, size)) = self.answers.pop_front() else { break };
            self.bytes -= size;
            if let Some(Attempt::Ran(answer)) = self.known.get_mut(&nonce) {
                *answer = None;
            }
        }
        while let Some((at, nonce)) = self.ended.front().copied() {
            if self.ended.len() <= COUNT && now.saturating_sub(at) < KEEP {
                return;
            }
            self.ended.pop_front();
            self.known.remove(&nonce);
            if self.answers.front().is_some_and(|(n, _)| *n == nonce)
                && let Some((_, size)) = self.answers.pop_front()
            {
                self.bytes -= size;
            }
        }
    }
}
