//! Decisions under hard load.

mod call_queue;
mod event_intervals;
mod grant_rate;
mod move_budget;
mod sample_rank;
mod shares;
mod text_lengths;
mod trainer;

pub use call_queue::{CallDecision, CallQueue, CallRequest, CallTicket};
pub use event_intervals::{EventInterval, MachineSpeed, UnevenSpeed};
pub use move_budget::{MoveBudget, move_gain};
pub use sample_rank::{OpenStep, SampleRank, StepOrder};
pub use shares::{
    ComputedShares, MAX_SHARE_AGE, Share, ShareOrder, ShareOutcome, ShareView, SlotPool,
    TrainerDemand, compute_shares,
};
pub use text_lengths::{TextLength, TextLengths};
pub use trainer::Trainer;
