//! How many samples of a trainer's next step start before its weights are available.
//!
//! Load pattern: while a trainer trains, the engines have nothing to do for it, and while
//! they generate its samples, the trainer is idle. Samples that start early fill the gap, and
//! are one version older when they are used. The bundle's `idle_weight` sets which matters
//! more: the more samples start early, the less the trainer is idle, and the older they are.

/// Number of samples of the next step to start now.
///
/// `idle_weight` is between 0 (only staleness counts) and 1 (only idle time counts);
/// `staleness_bound` is in versions, and at 0 nothing starts early.
pub fn early_samples(idle_weight: f64, samples: u32, staleness_bound: u64) -> u32 {
    if staleness_bound == 0 {
        return 0;
    }
    (f64::from(samples) * idle_weight.clamp(0.0, 1.0)).round() as u32
}
