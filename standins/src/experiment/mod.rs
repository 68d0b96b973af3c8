//! Load simulations of request dispatch, on virtual time.
//!
//! The real `Dispatch` runs in one thread against a model of service times and queues,
//! without nodes, network or platform. All random values come from a seed.

mod arrivals;
mod event;
mod faults;
mod naive;
mod output;
mod plot;
mod policy;
mod results;
mod scenario;
mod simulation;
mod trainer;
mod upstream;

pub use naive::NaiveDispatch;
pub use output::{ResultRow, result_rows, write_csv, write_table};
pub use plot::{plot_frontier, plot_goodput};
pub use policy::{Policy, PolicyKind};
pub use results::{FlowResult, RunResult, TrainerResult};
pub use scenario::{Change, ChangeKind, Deployment, Flow, Scenario, TrainerFlow};
pub use simulation::run_scenario;
pub use upstream::{AttemptKey, FinishedAttempt, SimulatedUpstream, UpstreamProfile};
