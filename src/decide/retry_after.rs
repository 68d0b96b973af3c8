//! The delay after which a refused client is asked to retry.
//!
//! Load pattern: a service that every request of a kind needs is unavailable for some seconds.
//! A client makes two or three attempts. If it is asked to retry at once, it has used them all
//! before the service is back, and many clients retry at the same moment; if it is asked to
//! retry late, it waits longer than necessary after a short outage.

use std::time::Duration;

/// Delay after a refusal that is not due to an outage: a replica that was full has free slots
/// again within a few requests, and the client's target latency is not yet used up.
pub const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(60);
/// Shortest delay during an outage: nodes check for its end this often.
const MIN_OUTAGE_DELAY: Duration = Duration::from_millis(250);
/// Longest delay during an outage, before the spread: in the worst case a trainer's step is
/// held up for this long.
const MAX_OUTAGE_DELAY: Duration = Duration::from_millis(1_000);
/// An outage is expected to last for its age so far divided by this.
const OUTAGE_AGE_DIVISOR: u32 = 2;
/// Clients are spread over the delay divided by this, so that they do not retry all at once.
const SPREAD_DIVISOR: u32 = 4;

/// Returns the retry delay, given how long the service has been unavailable (`None` outside an
/// outage). `draw` is a random number that spreads the clients.
pub fn retry_after(outage: Option<Duration>, draw: u32) -> Duration {
    let Some(outage) = outage else { return DEFAULT_RETRY_AFTER };
    let delay = (outage / OUTAGE_AGE_DIVISOR).clamp(MIN_OUTAGE_DELAY, MAX_OUTAGE_DELAY);
    let spread = delay / SPREAD_DIVISOR;
    delay + spread.mul_f64(f64::from(draw % 1_000) / 1_000.0)
}
