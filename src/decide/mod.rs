//! Decision logic: pure and synchronous, without I/O or network types.
//!
//! Each decision takes its state, an event and the current time, and returns typed actions.
//! The daemon turns sockets and timers into events, and actions into I/O.

mod adaptive_timeout;
mod admission;
pub mod affinity;
mod announcements;
mod call;
pub mod claim;
mod client_nodes;
mod concurrency;
mod deadlines;
mod demand;
mod departures;
mod dispatch;
mod early_samples;
mod ejection;
pub mod failures;
mod fair_queue;
pub mod fallback;
mod fleet;
mod freshness;
mod indexed_set;
pub mod job;
mod label;
mod latency;
mod listing;
pub mod load;
pub mod members;
mod organisations;
mod outcome;
pub mod quarantine;
mod queue;
mod ranges;
mod rendezvous;
mod retry;
pub mod retry_after;
mod ring;
mod rollout;
mod routes;
mod sample_order;
pub mod scale;
mod silence;
mod slow_engine;
mod step;
mod stop_plan;
mod subset;
mod transfer;
mod upstream_choice;
pub mod usage;
mod view_age;
mod watchers;
pub mod weight_loads;

pub use adaptive_timeout::AdaptiveTimeout;
pub use admission::{RetrySchedule, WaitEstimate};
pub use announcements::Announcements;
pub use call::{Call, Class, Repeat};
pub use client_nodes::{CandidateNode, MAX_CLIENT_NODES, nodes_for_client};
pub use concurrency::ConcurrencyLimit;
pub use deadlines::Deadlines;
pub use demand::{Demand, StepDemand};
pub use departures::{Departure, Departures};
pub use dispatch::{
    AttemptReport, CallerWeights, Dispatch, DispatchAction, LoadReport, ServiceLimits, Ticket,
    UpstreamKey, UpstreamView,
};
pub use early_samples::early_samples;
pub use ejection::{FailureTracker, max_ejected};
pub use fair_queue::FairQueue;
pub use fleet::{
    AttemptRequest, CallChoice, Fleet, Grant, ListedReplica, ReplicaOutcome, SlotQueue, SlotRequest,
};
pub use freshness::{EngineVersions, StartDecision, min_fresh_version};
pub use indexed_set::IndexedSet;
pub use label::{Label, Span, Unlabelled};
pub use latency::{LatencyEstimate, seconds_per_cost};
pub use listing::unlisted;
pub use organisations::{
    Caller, KeyDigest, Organisation, OrganisationFault, Organisations, public_job,
};
pub use outcome::{AttemptHistory, AttemptOutcome};
pub use queue::{QueuePosition, RequestQueue};
pub use ranges::Ranges;
pub use rendezvous::{WeightedScore, rendezvous_rank, rendezvous_score};
pub use retry::RetryBudget;
pub use ring::HashRing;
pub use rollout::{
    EngineObservation, OrderDecision, OrderReason, Rollout, RolloutStage, SwapChains,
    TargetWeights, WeightLoadBudget,
};
pub use routes::{RequestLimits, RetryPolicy, Route, Routes};
pub use sample_order::{
    NORMAL_PRIORITY, RAISED_PRIORITY, max_running, order_slots, sample_priority,
};
pub use silence::{SilenceDecision, SilentStream};
pub use slow_engine::SlowEngineDetector;
pub use step::{FillOutcome, Group, GroupSpec, Sample, Slot, Step, StepSpec};
pub use stop_plan::{StopDecision, StopPlan, StoppingRequest};
pub use subset::subset;
pub use transfer::Transfer;
pub use upstream_choice::{OtherLoad, expected_latency, two_random, within_load_bound};
pub use view_age::ViewAge;
pub use watchers::watcher_count;
