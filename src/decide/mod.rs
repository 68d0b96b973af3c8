//! The decisions: pure, synchronous, without I/O or network types.
//!
//! Each takes its state, an event and the present moment, and returns typed
//! actions. The daemon turns sockets and timers into events, and actions into I/O.

mod admission;
pub mod affinity;
mod ahead;
mod call;
pub mod claim;
mod client_nodes;
mod deadlines;
mod demand;
mod departures;
mod dispatch;
mod drag;
mod eject;
mod fair_queue;
pub mod fallback;
mod fleet;
mod freshness;
pub mod job;
mod label;
mod limit;
pub mod members;
mod open;
mod organisations;
mod outcome;
mod pace;
mod patience;
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
mod step;
mod subset;
mod transfer;
mod upstream_choice;
pub mod usage;
pub mod weight_loads;

pub use admission::{Outlook, Returns};
pub use ahead::ahead;
pub use call::{Call, Class, Repeat};
pub use client_nodes::{CandidateNode, MAX_CLIENT_NODES, nodes_for_client};
pub use deadlines::Deadlines;
pub use demand::Demand;
pub use departures::{Departure, Departures};
pub use dispatch::{
    Action, Dispatch, Limits, LoadReport, Report, Shares, Ticket, UpstreamKey, UpstreamView,
};
pub use drag::Drag;
pub use eject::{Failures, most_out};
pub use fair_queue::FairQueue;
pub use fleet::{
    AttemptRequest, Fleet, ListedReplica, ReplicaOutcome, SlotQueue, SlotRequest, WaitPosition,
};
pub use freshness::{EngineVersions, StartDecision, min_fresh_version};
pub use label::{Label, Span, Unlabelled};
pub use limit::Limit;
pub use open::Open;
pub use organisations::{
    Caller, KeyDigest, Organisation, OrganisationFault, Organisations, public_job,
};
pub use outcome::{History, Outcome};
pub use pace::{Pace, per_cost};
pub use patience::Patience;
pub use queue::{Place, Queue};
pub use ranges::Ranges;
pub use rendezvous::{rank, score};
pub use retry::Budget;
pub use ring::Ring;
pub use rollout::{Cause, Chains, Rollout, Sight, Stage, StoreShare, Turn, Wanted};
pub use routes::{RequestLimits, RetryPolicy, Route, Routes};
pub use sample_order::{
    NORMAL_PRIORITY, RAISED_PRIORITY, max_running, order_slots, sample_priority,
};
pub use step::{FillOutcome, Group, GroupSpec, Sample, Slot, Step, StepSpec};
pub use subset::subset;
pub use transfer::Transfer;
pub use upstream_choice::{OtherLoad, expected_latency, two_random, within_load_bound};
