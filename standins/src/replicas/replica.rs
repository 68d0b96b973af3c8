//! One replica's state, and what the ledger says of it.

use std::collections::BTreeMap;
use std::time::Duration;

use mulberrycourse::Name;
use tokio::time::Instant;

/// How a replica behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Mood {
    /// As it should.
    #[default]
    Good,
    /// Nobody can connect.
    Unreachable,
    /// It runs what it gets and says nothing.
    Silent,
    /// It runs nothing and says so.
    Full,
    /// Its answers break off after so many events, or in the middle of a plain body.
    Breaks(u64),
    /// It runs what it gets and answers that it failed.
    Fails,
    /// It runs what it gets and answers that the time was over.
    Late,
    /// It takes so many times as long.
    Slow(u32),
}

/// A run, as the replica saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ran {
    /// The replica.
    pub replica: Name,
    /// The request.
    pub id: Name,
    /// The organisation that it was for.
    pub organisation: Option<Name>,
    /// The event after which it went on.
    pub after: Option<u64>,
    /// How long its sender gave it.
    pub limit: Duration,
    /// When it began.
    pub at: Instant,
    /// Whether its sender left before it ended.
    pub cut: bool,
}

/// An order, as the replica saw it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Ordered {
    /// The replica.
    pub replica: Name,
    /// Who gave it.
    pub holder: Name,
    /// With which fencing token.
    pub fence: u64,
    /// The model.
    pub model: Name,
    /// The version.
    pub version: u64,
    /// When it came.
    pub at: Instant,
    /// Whether it was accepted.
    pub accepted: bool,
}

#[derive(Debug)]
pub(super) struct Replica {
    pub mood: Mood,
    pub versions: BTreeMap<Name, u64>,
    pub sequence: u64,
    pub fence: u64,
    pub busy: Option<Instant>,
    /// Orders to come get no answer and are carried out so much later.
    pub late: Option<Duration>,
    /// When it started, where it says so.
    pub born: Option<u64>,
}

impl Replica {
    /// One that has just started.
    pub(super) fn new(versions: BTreeMap<Name, u64>, born: Option<u64>) -> Self {
        Self { mood: Mood::Good, versions, sequence: 0, fence: 0, busy: None, late: None, born }
    }
}
