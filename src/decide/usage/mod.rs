//! Counts the requests of each organisation that began to run, by windows of the time of day.

mod agreed_clock;
mod ledger;
mod meter;
mod steady_clock;
mod windows;

pub use agreed_clock::AgreedClock;
pub use ledger::{Ledger, WindowTotal};
pub use meter::{Meter, WindowNote};
pub use steady_clock::SteadyClock;
pub use windows::Windows;

use std::collections::BTreeMap;

use crate::Name;

/// Number of requests by organisation.
pub type Counts = BTreeMap<Name, u64>;
