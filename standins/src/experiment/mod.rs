//! Experiments with the decisions under load, on virtual time.
//!
//! The real `Dispatch` runs in one thread against a model of service times and queues:
//! no nodes, no network, no platform. Everything random comes from a seed.

mod arrivals;
mod measure;
mod naive;
mod output;
mod plot;
mod policy;
mod run;
mod scenario;
mod trainer;
mod upstream;

pub use measure::{FlowResult, RunResult, TrainerResult};
pub use naive::Naive;
pub use output::{Row, rows, write_csv, write_table};
pub use plot::{plot_frontier, plot_goodput};
pub use policy::{Policy, PolicyKind};
pub use run::run;
pub use scenario::{Change, ChangeKind, Deployment, Flow, Scenario, TrainerFlow};
pub use upstream::{Finished, Job, Model, Upstream};
