//! Decision logic: pure and synchronous, without I/O or network types.
//!
//! Each decision takes its state, an event and the current time, and returns typed actions.
//! The daemon turns sockets and timers into events, and actions into I/O.

mod adaptive_timeout;
mod address;
mod admission;
pub mod affinity;
mod call;
pub mod claim;
pub mod comeback;
mod concurrency;
mod deadlines;
mod demand;
pub mod detour;
mod dispatch;
mod early_samples;
mod ejection;
mod fleet;
mod freshness;
mod indexed_set;
pub mod job;
mod label;
mod latency;
mod leaving;
pub mod members;
pub mod moves;
mod organisations;
mod outcome;
pub mod quarantine;
mod queue;
mod ranges;
mod rendezvous;
mod retry;
mod ring;
mod rollout;
mod route;
mod routes;
pub mod scale;
mod slow_engine;
mod step;
mod straggler;
mod subset;
mod transfer;
mod turns;
pub mod usage;

pub use adaptive_timeout::AdaptiveTimeout;
pub use address::{ANSWER, Site, sites_of};
pub use admission::{RetrySchedule, WaitEstimate};
pub use call::{Call, Class, Repeat};
pub use concurrency::ConcurrencyLimit;
pub use deadlines::Deadlines;
pub use demand::Demand;
pub use dispatch::{
    AttemptReport, CallerWeights, Dispatch, DispatchAction, LoadReport, ServiceLimits, Ticket,
    UpstreamKey, UpstreamView,
};
pub use early_samples::early_samples;
pub use ejection::{FailureTracker, max_ejected};
pub use fleet::{
    AttemptRequest, Fleet, ListedReplica, ReplicaOutcome, SlotQueue, SlotRequest, WaitPosition,
};
pub use freshness::{Prospect, Served, floor};
pub use indexed_set::IndexedSet;
pub use label::{Label, Span, Unlabelled};
pub use latency::{LatencyEstimate, seconds_per_cost};
pub use leaving::{Departure, Leaving};
pub use organisations::{
    Caller, KeyDigest, Organisation, OrganisationFault, Organisations, public_job,
};
pub use outcome::{AttemptHistory, AttemptOutcome};
pub use queue::{QueuePosition, RequestQueue};
pub use ranges::Ranges;
pub use rendezvous::{rendezvous_rank, rendezvous_score};
pub use retry::RetryBudget;
pub use ring::HashRing;
pub use rollout::{
    EngineObservation, OrderDecision, OrderReason, Rollout, RolloutStage, SwapChains,
    TargetWeights, WeightLoadBudget,
};
pub use route::{Others, bounded, expected, two};
pub use routes::{Again, Bounds, Route, Routes};
pub use slow_engine::SlowEngineDetector;
pub use step::{Fill, Group, Prompt, Sample, Slot, Spec, Step};
pub use straggler::{ORDINARY, RAISED, order, priority, window};
pub use subset::subset;
pub use transfer::Transfer;
pub use turns::Turns;
