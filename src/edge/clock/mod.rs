//! The edge to the time of day.

mod clock;

pub use clock::{Clock, ClockReading, SystemClock};
