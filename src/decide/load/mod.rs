//! Sharing capacity that is insufficient for all callers.

mod sample_rank;
mod trainer;

pub use sample_rank::{OpenStep, SampleRank, StepOrder};
pub use trainer::Trainer;
