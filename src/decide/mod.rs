//! The decisions: pure, synchronous, without I/O or network types.
//!
//! Each takes its state, an event and the present moment, and returns typed
//! actions. The daemon turns sockets and timers into events, and actions into I/O.

mod address;
mod admission;
pub mod affinity;
mod ahead;
mod call;
pub mod claim;
pub mod comeback;
mod deadlines;
mod demand;
pub mod detour;
mod dispatch;
mod drag;
mod eject;
mod fleet;
mod freshness;
pub mod job;
mod label;
mod leaving;
mod limit;
pub mod members;
pub mod moves;
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
mod ring;
mod rollout;
mod route;
mod routes;
pub mod scale;
mod step;
mod straggler;
mod subset;
mod transfer;
mod turns;
pub mod usage;

pub use address::{ANSWER, Site, sites_of};
pub use admission::{Outlook, Returns};
pub use ahead::ahead;
pub use call::{Call, Class, Repeat};
pub use deadlines::Deadlines;
pub use demand::Demand;
pub use dispatch::{
    Action, Dispatch, Limits, LoadReport, Report, Shares, Ticket, UpstreamKey, UpstreamView,
};
pub use drag::Drag;
pub use eject::{Failures, most_out};
pub use fleet::{
    AttemptRequest, Fleet, ListedReplica, ReplicaOutcome, SlotQueue, SlotRequest, WaitPosition,
};
pub use freshness::{Prospect, Served, floor};
pub use label::{Label, Span, Unlabelled};
pub use leaving::{Departure, Leaving};
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
pub use route::{Others, bounded, expected, two};
pub use routes::{Again, Bounds, Route, Routes};
pub use step::{Fill, Group, Prompt, Sample, Slot, Spec, Step};
pub use straggler::{ORDINARY, RAISED, order, priority, window};
pub use subset::subset;
pub use transfer::Transfer;
pub use turns::Turns;
