//! The interface to the clocks of the machine.

mod clock;

pub use clock::{Clock, ClockReading, SystemClock};
