//! Decisions under hard load.

mod addresses;
mod call_queue;
mod connection_bounds;
mod event_intervals;
mod grant_rate;
mod head_limits;
mod memory_use;
mod move_budget;
mod node_capacity;
mod request_times;
mod sample_rank;
mod shares;
mod text_lengths;
mod trainer;

pub use addresses::{ClientNode, MAX_ADDRESSES, addresses_for_zone};
pub use call_queue::{CallDecision, CallQueue, CallRequest, CallTicket};
pub use connection_bounds::ConnectionBounds;
pub use event_intervals::{EventInterval, MachineSpeed, UnevenSpeed};
pub use head_limits::HeadLimits;
pub use memory_use::MemoryUse;
pub use move_budget::{MoveBudget, move_gain};
pub use node_capacity::{NodeCapacity, RESERVED_DESCRIPTORS};
pub use request_times::RequestTimes;
pub use sample_rank::{OpenStep, SampleRank, StepOrder};
pub use shares::{
    ComputedShares, MAX_SHARE_AGE, Share, ShareOrder, ShareOutcome, ShareView, SlotPool,
    TrainerDemand, compute_shares,
};
pub use text_lengths::{TextLength, TextLengths};
pub use trainer::Trainer;
