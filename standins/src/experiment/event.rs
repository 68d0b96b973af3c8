//! The events of a simulation, and the state of a pending request.

use mulberrycourse::Moment;
use mulberrycourse::decide::{AttemptOutcome, Call, Ticket};

use super::trainer::SampleId;

/// An event that is scheduled at a virtual time. Flows, trainers, changes and upstreams are
/// identified by their index.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Event {
    /// The next request of a flow arrives.
    Arrive(usize),
    /// A refused request of a flow is sent again, with this many retries left after it.
    Retry { flow: usize, retries_left: u32 },
    /// A refused sample of a trainer is requested again.
    RetrySample { trainer: usize, sample: SampleId },
    /// A trainer has finished training on a step.
    TrainingDone(usize),
    /// The first running attempt of an upstream finishes, unless its schedule has changed
    /// since `schedule` was issued.
    CheckFinished { upstream: usize, schedule: u64 },
    /// The outcome of an attempt reaches the policy.
    Deliver { ticket: Ticket, attempt: u32, outcome: OrderedOutcome },
    /// The deadline of a request passes.
    Deadline(Ticket),
    /// A change of the scenario starts.
    ChangeStart(usize),
    /// A change of the scenario ends.
    ChangeEnd(usize),
    /// An upstream begins its replacement.
    Replace(usize),
    /// The list of upstreams begins or ceases to offer an upstream.
    SetListed(usize, bool),
    /// The process of an upstream dies.
    Down(usize),
    /// The process of an upstream is back.
    Up(usize),
    /// An upstream stops or resumes running requests.
    SetFrozen(usize, bool),
    /// An upstream crashes if this attempt of a poisonous request still runs on it.
    Crash(usize, Ticket, u32),
    /// The policy's timer fires.
    Tick,
    /// All upstreams report their load.
    LoadReports,
}

/// An [`AttemptOutcome`] with a total order, which the event heap needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum OrderedOutcome {
    Answered,
    Refused,
    Unsent,
    Unknown,
}

impl OrderedOutcome {
    /// The same outcome as an [`AttemptOutcome`].
    pub(super) fn outcome(self) -> AttemptOutcome {
        match self {
            Self::Answered => AttemptOutcome::Answered,
            Self::Refused => AttemptOutcome::Refused,
            Self::Unsent => AttemptOutcome::Unsent,
            Self::Unknown => AttemptOutcome::Unknown,
        }
    }
}

/// Who sent a request.
#[derive(Debug, Clone, Copy)]
pub(super) enum Source {
    /// A flow, with the retries that are left and whether this request is a retry.
    Flow { index: usize, retries_left: u32, is_retry: bool },
    /// A trainer, with the sample and the weight version that it is started with.
    Trainer { index: usize, sample: SampleId, version: u32 },
}

/// A request that has been submitted and has neither been answered nor refused.
#[derive(Debug)]
pub(super) struct PendingRequest {
    pub(super) source: Source,
    pub(super) call: Call,
    /// Units of work that the request takes, without prefill.
    pub(super) work: f64,
    pub(super) submitted: Moment,
    /// Whether the results include the request.
    pub(super) counted: bool,
    /// The number of attempts so far.
    pub(super) attempt: u32,
    /// When the last attempt was sent.
    pub(super) sent: Moment,
    /// The upstream that runs the last attempt.
    pub(super) upstream: Option<usize>,
    /// Units of work that upstreams have done on the request.
    pub(super) spent: f64,
    /// The number of attempts that upstreams have run, in full or until a crash.
    pub(super) runs: u32,
}

impl PendingRequest {
    /// A request before its first attempt.
    pub(super) fn new(
        source: Source,
        call: Call,
        work: f64,
        submitted: Moment,
        counted: bool,
    ) -> Self {
        let (attempt, sent, upstream, spent, runs) = (0, submitted, None, 0.0, 0);
        Self { source, call, work, submitted, counted, attempt, sent, upstream, spent, runs }
    }
}
