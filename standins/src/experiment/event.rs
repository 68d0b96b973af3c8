//! What happens in a run, and what is known of a request under way.

use mulberrycourse::Moment;
use mulberrycourse::decide::{AttemptOutcome, Call, Ticket};

use super::trainer::Slot;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    Arrive(usize),
    Return { flow: usize, left: u32 },
    Sample { trainer: usize, slot: Slot },
    Trained(usize),
    Look { upstream: usize, version: u64 },
    Deliver { ticket: Ticket, attempt: u32, outcome: Ending },
    Deadline(Ticket),
    Begin(usize),
    End(usize),
    Leave(usize),
    Listed(usize, bool),
    Down(usize),
    Up(usize),
    Freeze(usize, bool),
    Crash(usize, Ticket, u32),
    Tick,
    Reports,
}

/// Outcomes in an order, for the heap.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Ending {
    Answered,
    Refused,
    Unsent,
    Unknown,
}

impl Ending {
    pub(super) fn outcome(self) -> AttemptOutcome {
        match self {
            Self::Answered => AttemptOutcome::Answered,
            Self::Refused => AttemptOutcome::Refused,
            Self::Unsent => AttemptOutcome::Unsent,
            Self::Unknown => AttemptOutcome::Unknown,
        }
    }
}

#[derive(Debug, Clone, Copy)]
pub(super) enum Source {
    Flow { index: usize, left: u32, returned: bool },
    Trainer { index: usize, slot: Slot, version: u32 },
}

#[derive(Debug)]
pub(super) struct Asked {
    pub(super) source: Source,
    pub(super) call: Call,
    pub(super) work: f64,
    pub(super) offered: Moment,
    pub(super) counted: bool,
    pub(super) attempt: u32,
    pub(super) sent: Moment,
    pub(super) at: Option<usize>,
    pub(super) spent: f64,
    pub(super) ran: u32,
}

impl Asked {
    pub(super) fn new(
        source: Source,
        call: Call,
        work: f64,
        offered: Moment,
        counted: bool,
    ) -> Self {
        let (attempt, sent, at, spent, ran) = (0, offered, None, 0.0, 0);
        Self { source, call, work, offered, counted, attempt, sent, at, spent, ran }
    }
}
