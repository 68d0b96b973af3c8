//! How likely it is that an innocent request met its crashes by coincidence.
//!
//! Load pattern: a quarter of the replicas crash within seconds, with requests on each of them.
//! Interrupted requests run again elsewhere at once, so that some meet a second and a third crash
//! that they did not cause. A fixed number of crashes would quarantine them. An innocent request
//! runs for `ran` at a replica whose crashes come at `rate` per second; it meets a crash there with
//! the probability `rate * ran`, and a row of them with the product. Its own crashes count in the
//! rate: an innocent request did not cause them, so that they show how often replicas crash.

use std::time::Duration;

use crate::{Moment, Name};

/// Fewest crashes, one after the other, that may quarantine a fingerprint; one more if other
/// replicas of the service crashed around any of them.
pub const MIN_CRASHES: usize = 3;
/// Time from the crash with this number to the judgement. Crashes of other requests and their
/// notices become known in it, and an innocent request that runs again completes, most texts in
/// less. Callers allow such a request 3 s from then on.
pub const SETTLE_TIME: Duration = Duration::from_millis(1_000);
/// A fingerprint is quarantined if the probability of a coincidence is smaller. Of 20,000 simulated
/// times in which a quarter of 36 replicas crash within 5 s, none quarantined an innocent request
/// with this bound, and 2 did with ten times as much.
const MAX_COINCIDENCE: f64 = 1e-9;
/// The time over which the crashes around one of them are taken to be spread. They are counted
/// within this time before and after it, so that the rate is overestimated by up to a factor of
/// two.
pub(super) const RATE_WINDOW: Duration = Duration::from_secs(5);
/// The crashes that are added to those seen: a node sees only those that interrupt its requests.
const ASSUMED_CRASHES: f64 = 0.5;
/// Shortest time that a run counts with. Crashes and starts are only known that exactly.
const MIN_RAN: Duration = Duration::from_millis(20);

/// A crash during a run of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunCrash {
    /// The replica.
    pub upstream: Name,
    /// When it crashed.
    pub at: Moment,
    /// How long the request had run there.
    pub ran: Duration,
}

/// Returns the probability that these crashes of one request are a coincidence, if it is so small
/// that the request is to be quarantined now. `others` returns how many other replicas of the
/// service crashed around a time.
pub(super) fn conclusive(
    crashes: &[RunCrash],
    replicas: usize,
    others: impl Fn(Moment) -> usize,
    now: Moment,
) -> Option<f64> {
    let successive = successive(crashes);
    let alone = successive.iter().all(|crash| others(crash.at) == 0);
    let needed = if alone { MIN_CRASHES } else { MIN_CRASHES + 1 };
    let decisive = successive.get(needed - 1)?;
    if now.saturating_sub(decisive.at) < SETTLE_TIME || !differ(&successive, replicas) {
        return None;
    }
    let probability = |crash: &&RunCrash| {
        let own = successive.iter().filter(|c| c.at.abs_diff(crash.at) <= RATE_WINDOW).count();
        let count = (others(crash.at) + own) as f64 + ASSUMED_CRASHES;
        let rate = count / (replicas.max(1) as f64 * RATE_WINDOW.as_secs_f64());
        (rate * crash.ran.max(MIN_RAN).as_secs_f64()).min(1.0)
    };
    let coincidence: f64 = successive.iter().map(probability).product();
    (coincidence < MAX_COINCIDENCE).then_some(coincidence)
}

/// The crashes of runs that each began after the crash before. Several copies of a request that
/// were lost at the same time, as with a zone, count once.
fn successive(crashes: &[RunCrash]) -> Vec<&RunCrash> {
    let mut ordered: Vec<&RunCrash> = crashes.iter().collect();
    ordered.sort_by_key(|crash| crash.at);
    let mut successive: Vec<&RunCrash> = Vec::new();
    for crash in ordered {
        let began_at = crash.at.saturating_sub(crash.ran);
        if successive.last().is_none_or(|last| began_at >= last.at) {
            successive.push(crash);
        }
    }
    successive
}

/// Whether the crashes were at enough different replicas to blame the request: a replica that
/// crashes again and again interrupts each request that runs there.
fn differ(crashes: &[&RunCrash], replicas: usize) -> bool {
    let mut upstreams: Vec<&Name> = crashes.iter().map(|crash| &crash.upstream).collect();
    upstreams.sort_unstable();
    upstreams.dedup();
    upstreams.len() >= replicas.clamp(2, MIN_CRASHES)
}
