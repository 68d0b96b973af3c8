//! Client libraries for callers and trainers.

mod addresses;
mod caller;
mod trainer;

pub use addresses::AddressBook;
pub use caller::{CallerClient, CallerError, CallerResponse};
pub use trainer::{StepPull, StepReport, TrainerClient, TrainerError};
