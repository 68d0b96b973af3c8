//! Sharing capacity that is insufficient for all callers.

mod sample_rank;
mod shares;
mod trainer;

pub use sample_rank::{OpenStep, SampleRank, StepOrder};
pub use shares::{
    ComputedShares, MAX_SHARE_AGE, Share, ShareOrder, ShareOutcome, ShareView, SlotPool,
    TrainerDemand, compute_shares,
};
pub use trainer::Trainer;
