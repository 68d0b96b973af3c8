//! A platform that records the reports and orders of the leader, and a clock that tests can set.

mod clock;
mod ledger;

pub use clock::TestClock;
pub use ledger::{DutyLedger, ReceivedReport};
