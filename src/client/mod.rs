//! The shipped clients of callers and trainers.

mod addresses;
mod caller;
mod trainer;

pub use addresses::AddressBook;
pub use caller::{Caller, CallerError, Received};
pub use trainer::{Pulling, StepReport, Trainer, TrainerError};
