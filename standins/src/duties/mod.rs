//! A platform that takes duties, and a time of day that tests can set.

mod clock;
mod ledger;

pub use clock::TestClock;
pub use ledger::{DutyLedger, Reported};
