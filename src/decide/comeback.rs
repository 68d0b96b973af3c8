//! When a client that was refused is to come back.
//!
//! Load pattern: a service that every request of a kind needs is away for some seconds. A
//! client has two or three tries. Told to come back at once it has spent them all before the
//! service is back, and many come in the same moment; told to come back late, it waits for
//! longer than it has to after a short outage.

use std::time::Duration;

/// After a refusal that has nothing to do with an outage: a replica that was full has places
/// again within some requests, and a client's objective is not spent by then.
pub const SOON: Duration = Duration::from_millis(60);
/// The least in an outage: nodes look for its end this often.
const LEAST: Duration = Duration::from_millis(250);
/// The most: a trainer's step stands still for it at worst.
const MOST: Duration = Duration::from_millis(1_000);
/// An outage that has lasted for a time is expected to last for this part of it longer.
const PART: u32 = 2;
/// Clients are spread over this part of the wait, so that they do not come in one moment.
const SPREAD: u32 = 4;

/// When to come back, where the service has been away for so long. `draw` spreads clients.
pub fn come_back(away: Option<Duration>, draw: u32) -> Duration {
    let Some(away) = away else { return SOON };
    let wait = (away / PART).clamp(LEAST, MOST);
    let spread = wait / SPREAD;
    wait + spread.mul_f64(f64::from(draw % 1_000) / 1_000.0)
}
