//! How many requests of each organisation began to run, by windows of the time of day.

mod agreed;
mod ledger;
mod meter;
mod steady;
mod windows;

pub use agreed::Agreed;
pub use ledger::{Ledger, Total};
pub use meter::{Meter, WindowNote};
pub use steady::Steady;
pub use windows::Windows;

use std::collections::BTreeMap;

use crate::Name;

/// Requests by organisation.
pub type Counts = BTreeMap<Name, u64>;
