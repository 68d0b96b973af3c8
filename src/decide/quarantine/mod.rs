//! Quarantine of requests that crash each upstream that runs them.
//!
//! Load pattern: a caller sends a request that crashes its engine, gets an error and sends
//! it again, through another node. Every request that shared the engine fails too and is
//! tried again. Without quarantine one such request crashes engine after engine; with a
//! quarantine that is too broad, harmless requests are refused along with it.

mod coincidence;
mod crash_delay;
mod fingerprint_record;
mod notice;
mod quarantine;
mod recent_crashes;
mod reruns;
mod trial_locks;

pub use coincidence::{MIN_CRASHES, RunCrash, SETTLE_TIME};
pub use crash_delay::CrashDelay;
pub use notice::{CrashId, CrashNotice, CrashReport};
pub use quarantine::{
    FingerprintStatus, InFlightAttempt, LimitChange, MAX_FINGERPRINTS, Quarantine, QuarantineRule,
    Verdict,
};
pub use recent_crashes::RecentCrashes;
pub use reruns::RerunDecision;
pub use trial_locks::TrialLocks;
